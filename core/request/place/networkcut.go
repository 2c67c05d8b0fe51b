package place

import "time"

// Thresholds that tell a cut of the entry's own network from failures of targets.
const (
	// simultaneousWindow is how close together targets fail when the entry's own
	// network is cut, which ends all its connections at once.
	simultaneousWindow = 30 * time.Millisecond
	// minSimultaneous is how many targets must fail within that window. Targets that
	// fail on their own do so one at a time, or two that share a machine.
	minSimultaneous = 4
)

// failureSnapshot is the time of a target's last failure and its state before that.
type failureSnapshot struct {
	at          time.Time
	failures    int
	pausedUntil time.Time
}

// snapshotFailure saves the target's state before the first failure within
// simultaneousWindow.
func (t *target) snapshotFailure(now time.Time) {
	if now.Sub(t.lastFailure.at) > simultaneousWindow {
		t.lastFailure = failureSnapshot{at: now, failures: t.failures, pausedUntil: t.pausedUntil}
	}
}

// undoSimultaneousPauses restores the state of targets that failed at the same moment,
// if fewer other targets have requests. The entry's own network was cut then. If its
// targets stayed paused, the entry would refuse callers just when it is connected
// again.
func (s *service) undoSimultaneousPauses(now time.Time) {
	var together []*target
	untouched := 0
	for _, t := range s.all {
		switch {
		case now.Sub(t.lastFailure.at) <= simultaneousWindow:
			together = append(together, t)
		case t.ownRequests > 0:
			untouched++
		}
	}
	if len(together) < minSimultaneous || untouched >= len(together) {
		return
	}
	for _, t := range together {
		t.failures, t.pausedUntil = t.lastFailure.failures, t.lastFailure.pausedUntil
	}
}
