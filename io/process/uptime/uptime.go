// Package uptime provides a clock that also counts the time in which the machine is
// suspended (Now), and detects when this process stalled (StallDetector). Ages of information
// are measured with them: package hosted passes both to package feed, packages hosted and
// side pass Now to package order, and package adapt calls Now itself.
package uptime

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"hawthornferry/core/process/trail"
)

// Now returns the time since the machine's boot, including time in suspension. Go's monotonic
// clock stops while a machine is suspended, but what other machines measure from the same
// event does not.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// This does not fail on any system that has the clock; Go's monotonic clock is the
		// best substitute.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

const (
	// checkInterval is how often the detector checks the time.
	checkInterval = 50 * time.Millisecond
	// Two checks that are more than minStall apart show a stall. A machine that schedules
	// its processors in slices of a tenth of a second delays a process for less.
	minStall = 200 * time.Millisecond
)

// StallDetector detects when the process stalled: it was frozen, suspended with its machine,
// or got no processor time. Set the exported fields before Run.
type StallDetector struct {
	Clock   clockwork.Clock
	Now     func() time.Duration
	Log     trail.Log
	Metrics tally.Scope

	mu sync.Mutex
	// lastCheck is the time of the latest check, and stallEnd the end of the latest
	// stall; both as told by Now, zero before the first.
	lastCheck time.Duration
	stallEnd  time.Duration
}

// Run checks the time until ctx ends.
func (d *StallDetector) Run(ctx context.Context) error {
	tick := d.Clock.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		d.check()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
	}
}

// RanSince reports whether the process ran without a stall from the given time until now, as
// far as it has been checked. It checks the time itself, since after a stall the caller may
// be scheduled before Run.
func (d *StallDetector) RanSince(at time.Duration) bool {
	d.check()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stallEnd <= at
}

func (d *StallDetector) check() {
	d.mu.Lock()
	now := d.Now()
	gap := now - d.lastCheck
	stalled := d.lastCheck > 0 && gap > minStall
	d.lastCheck = now
	if stalled {
		d.stallEnd = now
	}
	d.mu.Unlock()
	if !stalled {
		return
	}
	d.Metrics.Counter("standstills_total").Inc(1)
	d.Log.Record(trail.Decision{Area: trail.AreaMember, Action: "stoodStill", TookMS: gap.Milliseconds()})
}
