package place

import (
	"slices"
	"time"

	"hawthornferry/core/request/lease"
)

// Parameters of the requests to cold targets.
const (
	// leaseInterval is the shortest time between two questions for permits for the same
	// target: the first may be lost, or the target may have none left.
	leaseInterval = 100 * time.Millisecond
	// maxPermitsAsked bounds how many permits are asked for at a time. Those that are not
	// used before they expire are lost to the other entries.
	maxPermitsAsked = 4
)

// coldState limits the requests to a target that may be cold.
type coldState struct {
	until    time.Time
	reported bool
	permits  lease.Permits
	askedAt  time.Time
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

// isCold reports whether a target tolerates only a limited number of requests now.
func (s *service) isCold(now time.Time, t *target) bool {
	return s.coldLimit > 0 && now.Before(t.cold.until)
}

// lacksPermit reports whether a target is cold and this entry may not send it a request
// now. An engine's side grants permits; for a plain target, which has none, the entry keeps
// to a share of the limit.
func (p *Placer) lacksPermit(now time.Time, s *service, t *target) bool {
	if !s.isCold(now, t) {
		return false
	}
	if s.engine != nil {
		return !t.cold.permits.Any(now)
	}
	t.cold.sentAt = slices.DeleteFunc(t.cold.sentAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	return len(t.cold.sentAt) >= lease.Share(s.coldLimit, p.entries, p.Name, t.ID)
}

// usePermit counts a request that is placed at a target, and returns by when it must be
// sent; the zero time if the target is not cold.
func (p *Placer) usePermit(now time.Time, s *service, t *target) time.Time {
	if !s.isCold(now, t) {
		return time.Time{}
	}
	if s.engine == nil {
		t.cold.sentAt = append(t.cold.sentAt, now)
		return time.Time{}
	}
	expires, _ := t.cold.permits.Take(now)
	return expires
}

// permitted returns the options whose targets may be sent a request now.
func (p *Placer) permitted(now time.Time, s *service, open []option) []option {
	if s.coldLimit == 0 {
		return open
	}
	return slices.DeleteFunc(slices.Clone(open), func(o option) bool { return p.lacksPermit(now, s, o.target) })
}

// askForPermits asks the side of one cold engine for permits: of those that were not asked
// lately, one of the cheapest.
func (p *Placer) askForPermits(now time.Time, s *service, open []option) {
	if s.engine == nil || p.RequestLease == nil {
		return
	}
	o, ok := p.drawCheapest(slices.DeleteFunc(open, func(o option) bool {
		return now.Sub(o.target.cold.askedAt) < leaseInterval
	}))
	if !ok {
		return
	}
	o.target.cold.askedAt = now
	p.RequestLease(o.target.ID, min(len(s.waiting)+1, maxPermitsAsked))
}

// AddPermits records permits that the side of a target has granted, and places waiting
// requests there.
func (p *Placer) AddPermits(now time.Time, id string, n int, expires time.Time) []Verdict {
	t, ok := p.targets[id]
	if !ok {
		return nil
	}
	t.cold.permits.Add(n, expires)
	if n > 0 {
		t.cold.askedAt = time.Time{}
	}
	return p.placeAt(now, p.service(t.Service), t)
}
