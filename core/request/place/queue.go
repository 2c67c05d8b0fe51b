package place

import (
	"slices"
	"time"
)

// waitingRequest is a request that waits for a target.
type waitingRequest struct {
	request Request
	since   time.Time
	// work is the engine seconds that the request counts for in the service's level, and
	// levelled is set if the level applies to it.
	work     float64
	levelled bool
}

func (p *Placer) decideAll(now time.Time) []Verdict {
	var out []Verdict
	for _, s := range p.services {
		out = append(out, p.decideService(now, s)...)
	}
	return out
}

// decideService places waiting requests of a service and refuses those for which
// waiting is pointless.
func (p *Placer) decideService(now time.Time, s *service) []Verdict {
	return s.decideWaiting(now, func(q *waitingRequest, mayPlace bool) (Verdict, bool) {
		if mayPlace {
			if v, ok := p.tryPlace(now, s, q); ok {
				return v, true
			}
		}
		return p.refuseHopeless(now, s, q)
	})
}

// placeAt places waiting requests at a target that may have gained room. The other
// targets had no room at their own last change; requests that fit merely because time
// has passed are left to Tick. A target that was removed from the list still ends its
// requests but gets no new ones.
func (p *Placer) placeAt(now time.Time, s *service, t *target) []Verdict {
	if !t.inSubset || t.load(now) >= s.maxRequests(t)+queueAllowance {
		return nil
	}
	return s.decideWaiting(now, func(q *waitingRequest, mayPlace bool) (Verdict, bool) {
		if !mayPlace {
			return Verdict{}, false
		}
		return p.tryPlaceAt(now, s, q, t)
	})
}

// decideWaiting calls decide for each waiting request, the most urgent first, and keeps
// those without a decision. Once an underserved request stays in the queue, only
// interrupted answers may be placed after it.
func (s *service) decideWaiting(now time.Time, decide func(q *waitingRequest, mayPlace bool) (Verdict, bool)) []Verdict {
	if len(s.waiting) == 0 {
		return nil
	}
	s.sortByUrgency(now)
	var out []Verdict
	kept := s.waiting[:0]
	held := false
	for _, q := range s.waiting {
		if v, ok := decide(q, !held || q.request.Resumed); ok {
			out = append(out, v)
			continue
		}
		held = held || s.holdsBackOthers(&q.request)
		kept = append(kept, q)
	}
	s.waiting = kept
	return out
}

// sortByUrgency sorts interrupted answers first, then requests that can still be on
// time, then by priority, then by the latest time at which a request can be placed and
// be on time.
func (s *service) sortByUrgency(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *waitingRequest) int {
		if a.request.Resumed != b.request.Resumed {
			if a.request.Resumed {
				return -1
			}
			return 1
		}
		if late := a.request.objectivePassed(now); late != b.request.objectivePassed(now) {
			if late {
				return 1
			}
			return -1
		}
		if a.request.Priority != b.request.Priority {
			return a.request.Priority - b.request.Priority
		}
		return s.latestPlacement(&a.request).Compare(s.latestPlacement(&b.request))
	})
}

// latestPlacement is the latest time at which a request can be placed for its prompt to
// be read by its objective.
func (s *service) latestPlacement(w *Request) time.Time {
	at := w.FirstRequestedAt.Add(w.Objective)
	if s.engine != nil {
		at = at.Add(-prefillTime(s.engine, w.PromptTokens))
	}
	return at
}
