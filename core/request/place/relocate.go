package place

import (
	"slices"
	"time"
)

// fewRequestsShare is the share of an engine's slots up to which its remaining requests
// count as few.
const fewRequestsShare = 0.2

// NearlyDrained reports whether a target that waits to load a version has few requests
// left. Its other slots stay empty until the last of them has ended. Moving them to
// another target costs only one prompt to read for each.
func (p *Placer) NearlyDrained(target string, r LoadReport) bool {
	t, ok := p.targets[target]
	if !ok || !r.Alive || !r.Loading || r.Active == 0 {
		return false
	}
	return float64(r.Active) <= fewRequestsShare*float64(slotsOf(t.Target))
}

// relocateLoadShare is the share of a target's slots that may be in use for it to
// receive a moved answer.
const relocateLoadShare = 0.5

// Relocate places an answer under way that could also end where it is. It only chooses
// a target that serves the newest version, is at most half full and is expected to go
// on within the given time, and only while no request waits. The request counts at its
// new target at once, so that answers that leave a target together do not overfill
// another.
func (p *Placer) Relocate(now time.Time, w Request, within time.Duration) (Verdict, bool) {
	p.initMaps()
	s := p.service(w.Service)
	if len(s.waiting) > 0 {
		return Verdict{}, false
	}
	open := s.openTo(now, &w, func(t *target) bool {
		return !s.outdated(now, t, &w) && float64(t.load(now)) <= relocateLoadShare*float64(slotsOf(t.Target))
	})
	open = slices.DeleteFunc(p.permitted(now, s, open), func(o option) bool { return o.expected > within })
	o, ok := p.drawCheapest(open)
	if !ok {
		return Verdict{}, false
	}
	return p.assign(now, s, &waitingRequest{request: w, since: now}, o), true
}

// Reassign places an answer under way whose target has gone silent at any other target
// that has room now.
func (p *Placer) Reassign(now time.Time, w Request) (Verdict, bool) {
	p.initMaps()
	return p.tryPlace(now, p.service(w.Service), &waitingRequest{request: w, since: now})
}
