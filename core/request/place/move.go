package place

import (
	"slices"
	"time"
)

// fewShare is the part of an engine's slots below which the requests that it still
// has count as few.
const fewShare = 0.2

// FewLeft reports whether a target that waits to load has few requests left. Its
// other places stay empty until the last of them has ended; to go on elsewhere
// costs each of them one prompt to read.
func (p *Placer) FewLeft(target string, r Report) bool {
	t, ok := p.targets[target]
	if !ok || !r.Alive || !r.Busy || r.Active == 0 {
		return false
	}
	return float64(r.Active) <= fewShare*float64(slotsOf(t.Target))
}

// clearShare is the part of a target's slots up to which it has clear room.
const clearShare = 0.5

// Relocate places an answer under way that could end where it is: at another target
// that serves the newest version, has clear room and is to go on within the given time,
// while nothing waits. The place counts at once, so that answers that leave a target
// together do not meet there.
func (p *Placer) Relocate(now time.Time, w Work, within time.Duration) (Verdict, bool) {
	p.prepare()
	s := p.service(w.Service)
	if len(s.waiting) > 0 {
		return Verdict{}, false
	}
	open := s.openTo(now, &w, func(t *target) bool {
		return !s.mayLoad(now, t, &w) && float64(t.load(now)) <= clearShare*float64(slotsOf(t.Target))
	})
	o, ok := p.cheapest(slices.DeleteFunc(open, func(o option) bool { return o.expected > within }))
	if !ok {
		return Verdict{}, false
	}
	return p.send(now, s, &wait{work: w, since: now}, o), true
}

// Replace places an answer under way whose target is silent, at any other one that can
// take it now.
func (p *Placer) Replace(now time.Time, w Work) (Verdict, bool) {
	p.prepare()
	return p.try(now, p.service(w.Service), &wait{work: w, since: now})
}
