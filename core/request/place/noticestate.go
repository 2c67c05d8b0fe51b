package place

import (
	"time"

	"hawthornferry/core/process/facts"
)

// noticeRetention is how long the notices of a target are kept that is no longer listed:
// its entry in the list may lapse while the platform's store is away, and come back.
const noticeRetention = 10 * time.Minute

// noticeState is what one run of a target has said of itself.
type noticeState struct {
	startedAt    time.Time
	leaving      bool
	backoffUntil time.Time
	// backoffSentAt is when the request was sent whose response asked to back off.
	backoffSentAt time.Time
	// rate is the limit on its requests. It outlasts the run, until a response without it.
	rate rateState
	// unlistedAt is when the target was first missing from the list, zero while it is
	// listed.
	unlistedAt time.Time
}

// backingOff reports whether the target wants no requests from this entry now.
func (n *noticeState) backingOff(now time.Time) bool { return n.backoffLeft(now) > 0 }

// backoffLeft returns for how long the target wants no requests from this entry.
func (n *noticeState) backoffLeft(now time.Time) time.Duration {
	return max(0, n.backoffUntil.Sub(now))
}

// isOfRunAfter reports whether a later run than the given one is known. Without a start time
// it is taken for the run that is known.
func (n *noticeState) isOfRunAfter(t facts.Target) bool {
	return !t.StartedAt.IsZero() && n.startedAt.After(t.StartedAt)
}

// record adds a notice from the response to a request that was sent at the given time, and
// returns the part of it that the target had not said before.
func (n *noticeState) record(now time.Time, said Notice, sentAt time.Time) Notice {
	news := said
	if n.leaving {
		news.Leaving = false
	}
	if n.backingOff(now) {
		news.RetryAfter = 0
	}
	n.leaving = n.leaving || said.Leaving
	if until := now.Add(said.RetryAfter); until.After(n.backoffUntil) {
		n.backoffUntil, n.backoffSentAt = until, sentAt
	}
	return news
}

// nextRun returns the state of the run that has started after this one. The list shows a
// start late, so that the next run may already have asked to back off.
func (n *noticeState) nextRun(startedAt time.Time) *noticeState {
	next := &noticeState{startedAt: startedAt, rate: n.rate}
	if !n.backoffSentAt.Before(startedAt) {
		next.backoffUntil, next.backoffSentAt = n.backoffUntil, n.backoffSentAt
	}
	return next
}

// notices holds what each target has said of itself, by its ID.
type notices map[string]*noticeState

// ofRun returns the state of a run of a target, or of a later one that is already known.
func (ns notices) ofRun(t facts.Target) *noticeState {
	n := ns[t.ID]
	switch {
	case n == nil:
		n = &noticeState{startedAt: t.StartedAt}
	case t.StartedAt.After(n.startedAt):
		n = n.nextRun(t.StartedAt)
	}
	ns[t.ID] = n
	return n
}

// prune notes which targets are not listed, and drops what need not be known of them. A
// target without a start time that is listed again may be another run.
func (ns notices) prune(now time.Time, listed map[string]*target) {
	for id, n := range ns {
		if listed[id] != nil {
			n.unlistedAt = time.Time{}
			continue
		}
		if n.unlistedAt.IsZero() {
			n.unlistedAt = now
		}
		inForce := n.leaving || n.backingOff(now) || n.rate.limit.Limited
		if n.startedAt.IsZero() || !inForce || now.Sub(n.unlistedAt) > noticeRetention {
			delete(ns, id)
		}
	}
}
