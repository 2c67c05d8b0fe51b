package place

import (
	"slices"
	"time"
)

// late reports whether a first answer after expected comes too late.
func (s *service) late(now time.Time, w *Work, expected time.Duration) bool {
	if w.Objective <= 0 {
		return false
	}
	return now.Add(expected).Sub(w.Asked) > s.allowed(now, w)
}

// allowed is the time that a first answer may take. Work that no engine could
// answer on time, or only one that is idle, such as the longest prompts at slow
// engines, is served as soon as one can: held to its objective, the largest requests
// would hardly ever be served.
func (s *service) allowed(now time.Time, w *Work) time.Duration {
	usual := time.Duration(onTime * float64(w.Objective))
	if s.engine == nil {
		return usual
	}
	// What passes were seen to take is left out: it grows with the load, and more
	// work would be let in late the more there is.
	least, over := s.leastTime(now, w), time.Duration(overTime*float64(w.Objective))
	if float64(least) > tightShare*float64(usual) {
		return least + over
	}
	if s.behind(w) {
		return usual + over
	}
	return usual
}

// returned reports whether the objective has passed already: the caller was
// refused before and has come back.
func (w *Work) returned(now time.Time) bool {
	return w.Objective > 0 && now.Sub(w.Asked) > w.Objective
}

// retryAfter is what its caller is told to wait. One that is told to come back after
// its deadline never does.
func (w *Work) retryAfter() time.Duration {
	whole := w.Deadline.Sub(w.Asked)
	return min(mostRetryAfter, time.Duration(retryShare*float64(whole)))
}

// hopeless refuses a request that waiting does not help.
func (p *Placer) hopeless(now time.Time, s *service, q *wait) (Verdict, bool) {
	w := &q.work
	reason, ok := p.hope(now, s, q)
	if ok {
		return Verdict{}, false
	}
	s.noteChance(w, false)
	v := Verdict{
		ID: w.ID, Decision: Refused, Reason: reason,
		RetryAfter: w.retryAfter(), Waited: now.Sub(q.since), Candidates: s.candidates(now, w),
	}
	if reason == ReasonLate {
		v.Expected = s.leastTime(now, w)
	}
	return v, true
}

// hope reports whether the request may still be served by waiting, and why
// not.
func (p *Placer) hope(now time.Time, s *service, q *wait) (Reason, bool) {
	w := &q.work
	if w.Begun {
		// What its caller has would be lost; it waits for as long as it may.
		return ReasonFull, now.Before(w.Deadline)
	}
	if !anyUsable(now, s, w) {
		return ReasonNoTarget, false
	}
	if s.engine == nil {
		return ReasonFull, now.Sub(q.since) < w.Objective/2
	}
	if w.returned(now) {
		return ReasonLateFull, false
	}
	least := s.leastTime(now, w)
	if s.late(now, w, least) {
		return ReasonLate, false
	}
	return "", true
}

// leastTime is the time to the first answer at an engine with a single place
// left.
func (s *service) leastTime(now time.Time, w *Work) time.Duration {
	read := time.Duration(float64(w.Prompt) / s.engine.ReadRate * float64(time.Second))
	pass := passTime(s.engine, s.engine.Slots)
	return hop + s.leastWay(now, w) + pass + pass/2 + read
}

// anyUsable reports whether some target may run the work now or once it has
// room.
func anyUsable(now time.Time, s *service, w *Work) bool {
	return slices.ContainsFunc(s.all, func(t *target) bool {
		return s.mayServe(now, t, w)
	})
}

// mayServe reports whether a target may run the work now or once it has room.
func (s *service) mayServe(now time.Time, t *target, w *Work) bool {
	if t.Leaving || slices.Contains(w.Avoid, t.ID) {
		return false
	}
	if s.engine == nil {
		return true
	}
	v := t.serves(now, s.engine.Model)
	return v > 0 && w.mayBegin(v, now)
}
