package place

import (
	"slices"
	"time"
)

// wait is a request that waits for a target.
type wait struct {
	work  Work
	since time.Time
}

func (p *Placer) settle(now time.Time) []Verdict {
	var out []Verdict
	for _, s := range p.services {
		out = append(out, p.settleService(now, s)...)
	}
	return out
}

// settleService places what waits, and refuses what has no hope left.
func (p *Placer) settleService(now time.Time, s *service) []Verdict {
	return s.decideWaiting(now, func(q *wait, mayPlace bool) (Verdict, bool) {
		if mayPlace {
			if v, ok := p.try(now, s, q); ok {
				return v, true
			}
		}
		return p.hopeless(now, s, q)
	})
}

// fill places what waits at a target that may have come to have room. The other
// targets have had none when they changed last; what time alone brings is for Tick.
// A target that is gone still ends what runs there, and gets nothing more.
func (p *Placer) fill(now time.Time, s *service, t *target) []Verdict {
	if !t.kept || t.load(now) >= s.places(t)+plainQueue {
		return nil
	}
	return s.decideWaiting(now, func(q *wait, mayPlace bool) (Verdict, bool) {
		if !mayPlace {
			return Verdict{}, false
		}
		return p.tryAt(now, s, q, t)
	})
}

// decideWaiting asks for a decision on each request that waits, the most pressing
// first, and keeps those that have none. Once one that is left out waits on, only
// begun answers may be placed before it.
func (s *service) decideWaiting(now time.Time, decide func(q *wait, mayPlace bool) (Verdict, bool)) []Verdict {
	if len(s.waiting) == 0 {
		return nil
	}
	s.sort(now)
	var out []Verdict
	kept := s.waiting[:0]
	held := false
	for _, q := range s.waiting {
		if v, ok := decide(q, !held || q.work.Begun); ok {
			out = append(out, v)
			continue
		}
		held = held || s.holdsBack(&q.work)
		kept = append(kept, q)
	}
	s.waiting = kept
	return out
}

// sort puts the most pressing first: begun answers, then what can still be on
// time, then by priority, then by the latest time at which the work can be placed
// and be on time.
func (s *service) sort(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *wait) int {
		if a.work.Begun != b.work.Begun {
			if a.work.Begun {
				return -1
			}
			return 1
		}
		if late := a.work.returned(now); late != b.work.returned(now) {
			if late {
				return 1
			}
			return -1
		}
		if a.work.Priority != b.work.Priority {
			return a.work.Priority - b.work.Priority
		}
		return s.latest(&a.work).Compare(s.latest(&b.work))
	})
}

// latest is when a request must be placed to be answered on time.
func (s *service) latest(w *Work) time.Time {
	at := w.Asked.Add(w.Objective)
	if s.engine != nil {
		at = at.Add(-time.Duration(float64(w.Prompt) / s.engine.ReadRate * float64(time.Second)))
	}
	return at
}
