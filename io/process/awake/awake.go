// Package awake tells the time that passes for a machine, suspension included,
// and whether this process ran all the while.
package awake

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"hawthornferry/core/process/trail"
)

// Now is the time since the machine's start, suspension included. The steady
// clock of the runtime stands still while a machine is suspended; what others
// count from an event goes on.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails on no system that has the clock at all; the steady
		// clock is the nearest there is.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

const (
	// beatEvery is how often the watch looks at the time.
	beatEvery = 50 * time.Millisecond
	// leastStandstill is how far two looks may lie apart before the process
	// counts as having stood still: a machine that shares out its processors in
	// slices of a tenth of a second holds one up for less.
	leastStandstill = 200 * time.Millisecond
)

// Watch notices when the process stands still: frozen, suspended with its
// machine, or without a processor. Set the exported fields before Run.
type Watch struct {
	Clock   clockwork.Clock
	Now     func() time.Duration
	Log     trail.Log
	Metrics tally.Scope

	mu sync.Mutex
	// last is the latest look, and ended when the latest standstill ended; both
	// on Now, zero before the first.
	last  time.Duration
	ended time.Duration
}

// Run looks at the time until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	tick := w.Clock.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		w.look()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
	}
}

// RanSince reports whether the process ran without a standstill from the given
// moment until now, as far as the watch covers it. Two threads may wake in any
// order, so that it looks for itself.
func (w *Watch) RanSince(at time.Duration) bool {
	w.look()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended <= at
}

func (w *Watch) look() {
	w.mu.Lock()
	now := w.Now()
	gap := now - w.last
	stood := w.last > 0 && gap > leastStandstill
	w.last = now
	if stood {
		w.ended = now
	}
	w.mu.Unlock()
	if !stood {
		return
	}
	w.Metrics.Counter("standstills_total").Inc(1)
	w.Log.Decide(trail.Decision{Area: trail.AreaMember, Action: "stoodStill", TookMS: gap.Milliseconds()})
}
