package place

import "time"

// When failures are the entry's own.
const (
	// togetherWithin is how close together the failures of targets are when the
	// entry's own network was cut: all its connections end in one moment.
	togetherWithin = 30 * time.Millisecond
	// leastTogether is how many targets must have failed so. Targets that fail
	// of themselves do so one at a time, or two that share a machine.
	leastTogether = 4
)

// failure is when a target last failed, and what its state was before.
type failure struct {
	at       time.Time
	failures int
	pausedTo time.Time
}

// noteFailure keeps the state from before the failures of one moment.
func (t *target) noteFailure(now time.Time) {
	if now.Sub(t.last.at) > togetherWithin {
		t.last = failure{at: now, failures: t.failures, pausedTo: t.pausedTo}
	}
}

// forgive takes back the pauses of targets that all failed in one moment, if
// hardly any other has requests. The cut was the entry's own then: with its
// targets paused as well, it refused callers just when it was in touch again.
func (s *service) forgive(now time.Time) {
	var together []*target
	untouched := 0
	for _, t := range s.all {
		switch {
		case now.Sub(t.last.at) <= togetherWithin:
			together = append(together, t)
		case t.own > 0:
			untouched++
		}
	}
	if len(together) < leastTogether || untouched >= len(together) {
		return
	}
	for _, t := range together {
		t.failures, t.pausedTo = t.last.failures, t.last.pausedTo
	}
}
