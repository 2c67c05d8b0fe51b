package place

import (
	"time"

	"hawthornferry/core/request/lease"
)

// rateState is the limit on the requests to a target that the target itself names.
type rateState struct {
	limit lease.RateLimit
	// confirmedAt is when the limit was last named.
	confirmedAt time.Time
}

// record takes the limit from a response to a request that was sent at the given time, and
// reports whether it has changed. A response to a request that was sent before the limit
// was last named does not lift it: it may have begun before the target set it.
func (r *rateState) record(now time.Time, limit lease.RateLimit, sentAt time.Time) bool {
	if !limit.Limited && sentAt.Before(r.confirmedAt) {
		return false
	}
	changed := limit != r.limit
	r.limit = limit
	if limit.Limited {
		r.confirmedAt = now
	}
	return changed
}

// RecordRateLimit records which limit a target names in the response to a request that was
// sent at the given time, and reports whether that is a change.
func (p *Placer) RecordRateLimit(now time.Time, id string, limit lease.RateLimit, sentAt time.Time) bool {
	t, ok := p.targets[id]
	return ok && t.rate.record(now, limit, sentAt)
}

// RateLimited counts the targets that have named a limit.
func (p *Placer) RateLimited() int {
	n := 0
	for _, t := range p.targets {
		if t.rate.limit.Limited {
			n++
		}
	}
	return n
}
