// Package entry is the process that callers reach: it admits their requests,
// chooses a target for each and tells the outcome.
package entry

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/process/host"
	"hawthornferry/io/request/front"
)

// Entry is one entry process. Host is opened and Callers is listening before
// Run.
type Entry struct {
	Host    *host.Host
	Callers net.Listener

	front *front.Front
}

// Run runs the entry until ctx ends and it has drained.
func (e *Entry) Run(ctx context.Context) error {
	h := e.Host
	limits := h.Settings.Limits
	e.front = &front.Front{
		Self:    h.Self,
		Clock:   h.Clock,
		Log:     h.Log,
		Metrics: h.Metrics,
		Gauge:   h.Gauge,
		Source:  h.Watcher,
		Net:     e.Callers,
		Limits: front.Limits{
			MaxBody:       int(limits.MaxBody),
			MaxHeader:     int(limits.MaxHeader),
			HeaderTimeout: limits.ReadTimeout,
			BodyTimeout:   limits.ReadTimeout,
			MaxInFlight:   limits.MaxInFlight,
			Subset:        limits.Subset,
		},
	}
	h.Parts = append(h.Parts, host.Part{Name: "callers", Run: e.front.Run})
	h.Ready = e.ready
	h.Fill = e.fill
	h.Drain = e.front.Drain
	return h.Run(ctx)
}

func (e *Entry) ready() error {
	if !e.front.Ready() {
		return errors.New("not serving callers")
	}
	return nil
}
