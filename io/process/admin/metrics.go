package admin

import (
	"io"
	"net/http"
	"time"
	"unicode"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is how often the scope passes its counts to the reporter, and so
// how old a value at /metrics may be.
const metricsInterval = time.Second

// metricsPrefix is the first part of the name of each metric.
const metricsPrefix = "hawthornferry"

// NewMetrics returns the scope in which a process counts its metrics, the HTTP
// handler that serves them in the Prometheus format, and a Closer that reports the
// last counts. Each process calls it once.
func NewMetrics() (tally.Scope, http.Handler, io.Closer) {
	// OnRegisterError ignores errors: two metrics with the same name and different
	// tag keys cannot both be registered, and by default the reporter panics. A missing
	// metric is better than a crashed process.
	// The registry is not the library's global one, in which the counts of several
	// processes in one binary, as in a test, would be added up.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return scope, reporter.HTTPHandler(), closer
}

// sanitizeOptions allows any character in the value of a tag, as the Prometheus
// format does. By default dashes become underscores, and a target or route would have
// different names in the metrics and in the log.
func sanitizeOptions() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}}
	return &o
}
