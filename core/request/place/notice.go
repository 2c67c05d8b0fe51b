package place

import (
	"time"

	"hawthornferry/core/process/facts"
)

// Notice is what a target says of itself in a response.
type Notice struct {
	// Leaving is set if the target is about to stop and takes no more requests.
	Leaving bool
	// RetryAfter is for how long the target wants no requests from this entry, 0 if it does not
	// say.
	RetryAfter time.Duration
}

// RecordNotice records what a target says of itself in the response to a request that was
// sent at the given time, and returns the part of it that is new.
func (p *Placer) RecordNotice(now time.Time, t facts.Target, said Notice, sentAt time.Time) Notice {
	n, ok := p.noticeOf(t)
	if !ok {
		return Notice{}
	}
	return n.record(now, said, sentAt)
}

// noticeOf returns what a run of a target has said of itself. It returns false if a later run
// is known, or if the target is not listed and no start time tells one run from the next.
func (p *Placer) noticeOf(t facts.Target) (*noticeState, bool) {
	p.initMaps()
	if p.targets[t.ID] == nil && t.StartedAt.IsZero() {
		return nil, false
	}
	n := p.notices.ofRun(t)
	return n, !n.isOfRunAfter(t)
}

// TakesRequests reports whether a target takes requests, by what it says of itself.
func (p *Placer) TakesRequests(now time.Time, t facts.Target) bool {
	n := p.notices[t.ID]
	return n == nil || n.isOfRunAfter(t) || !n.leaving && !n.backingOff(now)
}

// NoticeCounts counts the listed targets by what they say of themselves.
type NoticeCounts struct {
	// RateLimited counts those that have named a limit.
	RateLimited int
	Leaving     int
	BackingOff  int
}

// NoticeCounts counts the listed targets by what they say of themselves.
func (p *Placer) NoticeCounts(now time.Time) NoticeCounts {
	var c NoticeCounts
	for _, t := range p.targets {
		if t.notice.rate.limit.Limited {
			c.RateLimited++
		}
		if t.notice.leaving {
			c.Leaving++
		}
		if t.notice.backingOff(now) {
			c.BackingOff++
		}
	}
	return c
}
