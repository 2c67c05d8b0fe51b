package place

import "time"

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

// Free reports whether a target of the service other than the given one serves the
// newest version and has clear room, and nothing waits for it. A stream that is moved
// has mostly one attempt left: at a target that has become full by then, or turns it
// away to load, it is lost in the middle.
func (p *Placer) Free(now time.Time, serviceName, target string, newest uint64) bool {
	s := p.services[serviceName]
	if s == nil || len(s.waiting) > 0 {
		return false
	}
	w := &Work{Avoid: []string{target}, Begun: true, Newest: newest}
	for _, t := range s.eligible(now, w) {
		if usable(now, s, t, w) && !s.mayLoad(now, t, w) && float64(t.load(now)) <= clearShare*float64(slotsOf(t.Target)) {
			return true
		}
	}
	return false
}
