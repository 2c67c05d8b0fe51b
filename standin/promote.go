package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/demo"
)

// errNotServed is returned when the limit passed before the rollout was done.
var errNotServed = errors.New("limit passed: not every replica serves the version, or an entry is not ready")

// promoteCommand promotes a version and waits until the rollout is done.
func promoteCommand() command {
	var dir string
	number, limit := 1, 3*time.Minute
	f := flaggy.NewSubcommand("promote")
	f.Description = "promote a version and wait until every replica serves it"
	f.String(&dir, "", "fleet", "directory of the plan")
	f.Int(&number, "", "number", "number of the version")
	f.Duration(&limit, "", "limit", "longest wait")
	return command{flags: f, run: func(ctx context.Context) error {
		p, err := demo.LoadFleet(dir)
		if err != nil {
			return usageError{err}
		}
		w := demo.Watcher{Fleet: p, Dir: dir, Limit: limit, Clock: clockwork.NewRealClock(), Out: os.Stdout}
		r, err := w.Run(ctx, number)
		if err != nil {
			return err
		}
		if !r.Served() || !r.Ready {
			return errNotServed
		}
		return nil
	}}
}
