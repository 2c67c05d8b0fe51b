// Package entry runs an entry: the process that accepts callers' requests, chooses a target for
// each, forwards it to the side next to that target and returns the outcome. The entry
// command in package cmds calls it. It combines package proc, which every process needs, with
// package front, which serves callers.
package entry

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/process/proc"
	"hawthornferry/io/request/front"
)

// Entry is one entry process. Before Run, Process must be opened and Callers must be listening.
type Entry struct {
	Process *proc.Process
	Callers net.Listener

	front *front.Server
}

// Run runs the entry until ctx ends and it has drained.
func (e *Entry) Run(ctx context.Context) error {
	h := e.Process
	limits := h.Settings.Limits
	e.front = &front.Server{
		Self:     h.Self,
		Clock:    h.Clock,
		Log:      h.Log,
		Metrics:  h.Metrics,
		Recorder: h.Recorder,
		Source:   h.Watcher,
		Listener: e.Callers,
		Limits: front.Limits{
			MaxBodyBytes:   int(limits.MaxBody),
			MaxHeaderBytes: int(limits.MaxHeader),
			HeaderTimeout:  limits.ReadTimeout,
			BodyTimeout:    limits.ReadTimeout,
			MaxInFlight:    limits.MaxInFlight,
			SubsetSize:     limits.Subset,
		},
	}
	h.Components = append(h.Components, proc.Component{Name: "callers", Run: e.front.Run})
	h.Ready = e.ready
	h.AddStatus = e.addStatus
	h.Drain = e.front.Drain
	return h.Run(ctx)
}

func (e *Entry) ready() error {
	if !e.front.Ready() {
		return errors.New("not serving callers")
	}
	return nil
}
