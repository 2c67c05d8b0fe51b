package place

import (
	"math"
	"slices"
	"time"
)

// isLate reports whether a first answer after the expected time comes too late.
func (s *service) isLate(now time.Time, w *Request, expected time.Duration) bool {
	if w.Objective <= 0 {
		return false
	}
	return now.Add(expected).Sub(w.FirstRequestedAt) > s.allowedTime(now, w)
}

// allowedTime is the longest time that a first answer may take. A request that no
// engine, or only an idle one, could answer on time, such as the longest prompts at
// slow engines, gets its shortest possible time plus an allowance. If it were held to
// its objective, the largest requests would hardly ever be served.
// An underserved request gets the allowance on top of its usual time.
func (s *service) allowedTime(now time.Time, w *Request) time.Duration {
	usual := time.Duration(onTimeShare * float64(w.Objective))
	if s.engine == nil {
		return usual
	}
	// The measured pass factor is left out: it grows with the load, so that a higher
	// load would let in more late requests.
	least, over := s.minFirstAnswer(now, w), time.Duration(lateAllowance*float64(w.Objective))
	if float64(least) > tightShare*float64(usual) {
		return least + over
	}
	if s.underserved(w) {
		return usual + over
	}
	return usual
}

// objectivePassed reports whether the objective has passed already, as for a caller
// that was refused before and has come back.
func (w *Request) objectivePassed(now time.Time) bool {
	return w.Objective > 0 && now.Sub(w.FirstRequestedAt) > w.Objective
}

// retryAfter returns the Retry-After for the caller. A caller that is told to come back
// after its deadline never does.
func (w *Request) retryAfter() time.Duration {
	whole := w.Deadline.Sub(w.FirstRequestedAt)
	return min(maxRetryAfter, time.Duration(retryAfterShare*float64(whole)))
}

// refuseHopeless refuses a request that cannot be served by waiting.
func (p *Placer) refuseHopeless(now time.Time, s *service, q *waitingRequest) (Verdict, bool) {
	reason, ok := p.worthWaiting(now, s, q)
	if ok {
		return Verdict{}, false
	}
	return p.refuse(now, s, q, reason), true
}

// refuse refuses a request.
func (p *Placer) refuse(now time.Time, s *service, q *waitingRequest, reason Reason) Verdict {
	w := &q.request
	s.recordPlacement(w, false)
	s.countRefusal(now, q, reason)
	v := Verdict{
		ID: w.ID, Decision: Refused, Reason: reason,
		RetryAfter: w.retryAfter(), Waited: now.Sub(q.since), Candidates: p.candidates(now, s, w),
	}
	switch reason {
	case ReasonLate:
		v.ExpectedFirstAnswer = s.minFirstAnswer(now, w)
	case ReasonBackoff:
		v.RetryAfter = min(v.RetryAfter, s.untilBackoffEnds(now, w))
	}
	return v
}

// holdBack refuses a request that the admission level does not let begin. It says nothing
// about how well prompts of its size are served.
func (p *Placer) holdBack(now time.Time, s *service, q *waitingRequest) Verdict {
	w := &q.request
	return Verdict{
		ID: w.ID, Decision: Refused, Reason: ReasonLessUrgent,
		RetryAfter: w.retryAfter(), Candidates: p.candidates(now, s, w),
	}
}

// worthWaiting reports whether waiting may still get the request served. If not, the
// reason says why.
func (p *Placer) worthWaiting(now time.Time, s *service, q *waitingRequest) (Reason, bool) {
	w := &q.request
	if w.isTrial() {
		return ReasonFull, false
	}
	if w.Resumed {
		// A refusal would lose the part that the caller has, so wait until the
		// deadline.
		return ReasonFull, now.Before(w.Deadline)
	}
	if !anyMayServe(now, s, w) {
		return s.noTargetReason(w), false
	}
	if s.backsOffTooLong(now, q) {
		return ReasonBackoff, false
	}
	if s.engine == nil {
		// A request at a plain service waits for at most half of its objective, and
		// one without an objective does not wait.
		return ReasonFull, now.Sub(q.since) < plainPatience(w)
	}
	if w.objectivePassed(now) {
		return ReasonNoRoomForLate, false
	}
	least := s.minFirstAnswer(now, w)
	if s.isLate(now, w, least) {
		return ReasonLate, false
	}
	return "", true
}

// backsOffTooLong reports whether this entry backs off from all targets that may run
// the request for longer than it can wait.
func (s *service) backsOffTooLong(now time.Time, q *waitingRequest) bool {
	w := &q.request
	backoff := s.untilBackoffEnds(now, w)
	switch {
	case backoff == 0:
		return false
	case now.Add(backoff).After(w.Deadline):
		return true
	case s.engine == nil:
		return now.Add(backoff).Sub(q.since) > plainPatience(w)
	default:
		return s.isLate(now, w, backoff+s.minFirstAnswer(now, w))
	}
}

// untilBackoffEnds returns for how long this entry backs off from all targets that may run the
// request, 0 if there is none.
func (s *service) untilBackoffEnds(now time.Time, w *Request) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, t := range s.all {
		if s.mayServe(now, t, w) {
			least = min(least, t.notice.backoffLeft(now))
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// plainPatience is how long a request waits for a plain target.
func plainPatience(w *Request) time.Duration { return w.Objective / 2 }

// minFirstAnswer is the estimated time to the first answer at an engine with a single
// slot left.
func (s *service) minFirstAnswer(now time.Time, w *Request) time.Duration {
	pass := passTime(s.engine, s.engine.Slots)
	return baseRoundTrip + s.minExtraRoundTrip(now, w) + pass + pass/2 + prefillTime(s.engine, w.PromptTokens)
}

// noTargetReason returns why no target may run the request.
func (s *service) noTargetReason(w *Request) Reason {
	allowed, evacuated := 0, 0
	for _, t := range s.all {
		if !w.Regions.Allows(t.region) {
			continue
		}
		allowed++
		if t.Evacuated {
			evacuated++
		}
	}
	switch {
	case allowed == 0 && len(s.all) > 0:
		return ReasonNoAllowedTarget
	case evacuated > 0 && evacuated == allowed:
		return ReasonEvacuated
	default:
		return ReasonNoTarget
	}
}

// anyMayServe reports whether some target may run the request now or once it has room.
func anyMayServe(now time.Time, s *service, w *Request) bool {
	return slices.ContainsFunc(s.all, func(t *target) bool {
		return s.mayServe(now, t, w)
	})
}

// mayServe reports whether a target may run the request now or once it has room.
func (s *service) mayServe(now time.Time, t *target, w *Request) bool {
	if !w.Regions.Allows(t.region) || t.Evacuated || t.isLeaving() || slices.Contains(w.FailedTargets, t.ID) || w.excludes(t) {
		return false
	}
	if s.engine == nil {
		return true
	}
	v := t.servedVersion(now, s.engine.Model)
	return v > 0 && w.mayBegin(v, now)
}
