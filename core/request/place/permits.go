package place

import (
	"slices"
	"time"

	"hawthornferry/core/request/lease"
)

// Parameters of the questions for permits.
const (
	// leaseInterval is the shortest time between two questions for permits for the same
	// target; the first may be lost.
	leaseInterval = 100 * time.Millisecond
	// maxPermitsAsked bounds how many permits are asked for at a time. Those that are not
	// used before they expire are lost to the other entries.
	maxPermitsAsked = 4
)

// permitState holds the permits for a target, when its side was last asked for others, and
// from when on it can grant some, as far as it has said.
type permitState struct {
	held    lease.Permits
	askedAt time.Time
	nextAt  time.Time
}

// reset forgets what the side has said of permits that a former limit left.
func (s *permitState) reset() { s.askedAt, s.nextAt = time.Time{}, time.Time{} }

// mayAsk reports whether the side may be asked now.
func (s *permitState) mayAsk(now time.Time) bool {
	return now.Sub(s.askedAt) >= leaseInterval && !now.Before(s.nextAt)
}

// needsPermit reports whether a target takes only a limited number of requests now.
func (s *service) needsPermit(now time.Time, t *target) bool {
	return s.isCold(now, t) || t.notice.rate.limit.Limited
}

// lacksPermit reports whether a target takes only a limited number of requests and this
// entry may not send it one now. An engine's side grants permits; for a plain target, which
// has none, the entry keeps to a share of the limit.
func (p *Placer) lacksPermit(now time.Time, s *service, t *target) bool {
	if !s.needsPermit(now, t) {
		return false
	}
	if s.engine != nil {
		return !t.permits.held.Any(now)
	}
	if s.isCold(now, t) && !p.withinColdShare(now, s, t) {
		return true
	}
	return t.notice.rate.limit.Limited && !t.notice.rate.pacer.Allows(now, p.shareInterval(t), p.Rand.Float64)
}

// usePermit counts a request that is placed at a target, and returns by when it must be
// sent; the zero time if that needs no permit of a side.
func (p *Placer) usePermit(now time.Time, s *service, t *target) time.Time {
	if !s.needsPermit(now, t) {
		return time.Time{}
	}
	if s.engine != nil {
		expires, _ := t.permits.held.Take(now)
		return expires
	}
	if s.isCold(now, t) {
		t.cold.sentAt = append(t.cold.sentAt, now)
	}
	if t.notice.rate.limit.Limited {
		t.notice.rate.pacer.Use(now, p.shareInterval(t))
	}
	return time.Time{}
}

// choosePermitted draws one of the cheapest options that need no permit or have one. It
// asks for permits to use another one if there is none, or if that would cost no more.
func (p *Placer) choosePermitted(now time.Time, s *service, open []option) (option, bool) {
	lacking := p.lackingPermits(now, s, open)
	if len(lacking) == 0 {
		return p.drawCheapest(open)
	}
	o, ok := p.drawCheapest(p.permitted(now, s, open))
	if ok {
		// A cold target is left alone while others have room.
		lacking = slices.DeleteFunc(lacking, func(l option) bool {
			return l.cost > o.cost+equalCostMargin || s.isCold(now, l.target)
		})
	}
	p.askForPermits(now, s, lacking)
	return o, ok
}

// lackingPermits returns the options whose targets may not be sent a request now.
func (p *Placer) lackingPermits(now time.Time, s *service, open []option) []option {
	var lacking []option
	for _, o := range open {
		if p.lacksPermit(now, s, o.target) {
			lacking = append(lacking, o)
		}
	}
	return lacking
}

// permitted returns the options whose targets may be sent a request now.
func (p *Placer) permitted(now time.Time, s *service, open []option) []option {
	return slices.DeleteFunc(slices.Clone(open), func(o option) bool { return p.lacksPermit(now, s, o.target) })
}

// askForPermits asks the side of one engine for permits: of those that were not asked
// lately, one of the cheapest.
func (p *Placer) askForPermits(now time.Time, s *service, lacking []option) {
	if s.engine == nil || p.RequestLease == nil {
		return
	}
	o, ok := p.drawCheapest(slices.DeleteFunc(lacking, func(o option) bool {
		return !o.target.permits.mayAsk(now)
	}))
	if !ok {
		return
	}
	o.target.permits.askedAt = now
	p.RequestLease(o.target.ID, min(len(s.waiting)+1, maxPermitsAsked), o.target.notice.rate.limit)
}

// AddPermits records permits that the side of a target has granted, and places waiting
// requests there.
func (p *Placer) AddPermits(now time.Time, id string, g lease.Grant) []Verdict {
	t, ok := p.targets[id]
	if !ok {
		return nil
	}
	t.permits.held.Add(g.N, g.Expires)
	if g.N > 0 {
		t.permits.askedAt = time.Time{}
	}
	t.permits.nextAt = g.NextAt
	return p.placeAt(now, p.service(t.Service), t)
}
