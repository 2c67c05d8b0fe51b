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

// metricsInterval is how often the scope hands its counts to the reporter.
const metricsInterval = time.Second

// metricsPrefix starts the name of each metric.
const metricsPrefix = "hawthornferry"

// NewMetrics returns the scope of the process's metrics, the handler that
// shows them and what to close at the end. There is one for each process.
func NewMetrics() (tally.Scope, http.Handler, io.Closer) {
	// Two metrics of one name with different tags cannot both be registered;
	// by default the reporter panics. A process that ends for the sake of a
	// metric is worse than a metric that is missing.
	// A registry of its own: two processes that share one binary, as in a test,
	// would add up in the library's common one.
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

// sanitizeOptions allow any character in the value of a tag, as the format does.
// By default dashes become underscores, and a target or route has another name
// in the metrics than in the log.
func sanitizeOptions() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', unicode.MaxRune}}}
	return &o
}
