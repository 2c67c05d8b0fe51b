package place

import (
	"net/netip"
	"slices"
	"time"

	"hawthornferry/core/process/trail"
)

// obstacle says why a target may not have a request now.
type obstacle string

// The obstacles, in the order in which they are looked for.
const (
	obstacleNone       obstacle = ""
	obstacleLeaving    obstacle = "leaving"
	obstaclePaused     obstacle = "paused"
	obstacleTried      obstacle = "tried"
	obstacleSilent     obstacle = "silent"
	obstacleLoading    obstacle = "loading"
	obstacleUnheard    obstacle = "unheard"
	obstacleOldVersion obstacle = "oldVersion"
)

// obstacleTo finds what keeps a target from having the work, whatever its room.
func obstacleTo(now time.Time, s *service, t *target, w *Work) obstacle {
	switch {
	case t.Leaving:
		return obstacleLeaving
	case now.Before(t.pausedTo):
		return obstaclePaused
	case slices.Contains(w.Avoid, t.ID):
		return obstacleTried
	case s.engine == nil:
		return obstacleNone
	case t.fresh(now) && !t.alive:
		return obstacleSilent
	case t.fresh(now) && t.busy:
		return obstacleLoading
	}
	v := t.serves(now, s.engine.Model)
	if t.lost(now) && v < w.Newest {
		// It may arrive after the time for the old version is over, when its
		// caller and this entry have long given it up.
		return obstacleUnheard
	}
	if v == 0 || !w.mayBegin(v, now) {
		return obstacleOldVersion
	}
	return obstacleNone
}

// candidates counts the targets of the service as a refusal finds them. Without
// the counts, a log says that a service was full and not whether its targets
// had work, had failed or were about to leave.
func (s *service) candidates(now time.Time, w *Work) trail.Candidates {
	eligible := s.eligible(now, w)
	c := trail.Candidates{Targets: len(eligible), Waiting: len(s.waiting)}
	for _, t := range eligible {
		switch obstacleTo(now, s, t, w) {
		case obstacleNone:
			load := t.load(now)
			c.Usable++
			c.Requests += load
			c.FreePlaces += max(0, s.places(t)-load)
		case obstacleLeaving:
			c.Leaving++
		case obstaclePaused:
			c.Paused++
		case obstacleTried:
			c.Tried++
		case obstacleSilent:
			c.Silent++
		case obstacleLoading:
			c.Loading++
		case obstacleUnheard:
			c.Unheard++
		case obstacleOldVersion:
			c.OldVersion++
		}
	}
	return c
}

// places is how many requests a target may have.
func (s *service) places(t *target) int {
	if s.engine == nil {
		return slotsOf(t.Target) + plainQueue
	}
	return slotsOf(t.Target)
}

// Served is the version that a target serves, 0 for none.
type Served struct {
	Service string
	Address netip.AddrPort
	Version uint64
}

// Served returns what the targets of engines serve.
func (p *Placer) Served(now time.Time) []Served {
	var out []Served
	for _, s := range p.services {
		if s.engine == nil {
			continue
		}
		for _, t := range s.all {
			out = append(out, Served{Service: s.name, Address: t.Address, Version: t.serves(now, s.engine.Model)})
		}
	}
	return out
}
