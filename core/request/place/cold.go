package place

import (
	"slices"
	"time"

	"hawthornferry/core/request/lease"
)

// coldState tells until when a target is cold.
type coldState struct {
	until    time.Time
	reported bool
	// sentAt holds when requests were sent to a cold target without a side, in the last
	// second.
	sentAt []time.Time
}

// extend records that the target is cold until at least the given time.
func (c *coldState) extend(until time.Time) { c.until = later(c.until, until) }

// report records whether the target's side takes it for cold. It tells when that begins,
// but the reports may stop before it ends.
func (c *coldState) report(now time.Time, cold bool, warmup time.Duration) {
	if cold && !c.reported {
		c.extend(now.Add(warmup))
	}
	c.reported = cold
}

// isCold reports whether a target tolerates only a limited number of requests now, since it
// has just started.
func (s *service) isCold(now time.Time, t *target) bool {
	return s.coldLimit > 0 && now.Before(t.cold.until)
}

// withinColdShare reports whether this entry's share of what a cold target without a side
// tolerates in a second allows another request. The process before may have used the share
// until the start of this one.
func (p *Placer) withinColdShare(now time.Time, s *service, t *target) bool {
	if now.Sub(p.StartedAt) < time.Second {
		return false
	}
	t.cold.sentAt = slices.DeleteFunc(t.cold.sentAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return len(t.cold.sentAt) < lease.Share(s.coldLimit, p.entryCount(), p.Name, t.ID)
}
