package place

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/request/level"
	"hawthornferry/core/request/table"
)

const (
	// levelInterval is how often the admission level is decided from the same totals.
	levelInterval = 100 * time.Millisecond
	// maxPassTime and maxPrefill bound what counts as a plausible speed of an engine: a
	// pass of a minute, and more prompt tokens a second than any engine reads.
	maxPassTime = time.Minute
	maxPrefill  = 1e9
	// maxWork bounds the engine seconds counted for one request, since callers name the
	// length of their answers.
	maxWork = 60.0
)

// levelState is the admission level of a service whose requests differ in priority.
type levelState struct {
	meter      level.Meter
	controller level.Controller
	updatedAt  time.Time
	totals     level.Totals
	until      time.Time
	// slotPass is the part of a pass that one of its sequences takes, in seconds.
	slotPass float64
}

// Rates returns this entry's demand for each service that has requests of different
// priorities.
func (p *Placer) Rates(now time.Time) map[string]level.Rates {
	out := map[string]level.Rates{}
	for name, s := range p.services {
		if s.level != nil {
			s.updateLevel(now)
			out[name] = s.level.meter.Rates(now)
		}
	}
	return out
}

// SetTotals sets the demand of all entries for a service. It is used until the given time;
// after that the entry's own demand takes its place.
func (p *Placer) SetTotals(now time.Time, name string, t level.Totals, until time.Time) {
	s := p.services[name]
	if s == nil || s.level == nil {
		return
	}
	s.level.totals, s.level.until = t, until
	slots, free := s.countSlots(now)
	s.level.update(now, slots, free)
}

// Levels returns the admission level of each service that has requests of different
// priorities.
func (p *Placer) Levels() map[string]level.State {
	out := map[string]level.State{}
	for name, s := range p.services {
		if s.level != nil {
			out[name] = s.level.controller.State()
		}
	}
	return out
}

// ImplausibleEngines returns the services whose requests differ in priority, but whose
// declared engine speed does not allow their work to be counted.
func (p *Placer) ImplausibleEngines() map[string]error {
	out := map[string]error{}
	for name, s := range p.services {
		if s.levelProblem != nil {
			out[name] = s.levelProblem
		}
	}
	return out
}

// HasLevel reports whether a service has an admission level by the configuration: its engines'
// declared speed is plausible, and its routes differ in priority. Customers that differ are
// ordered, but do not make an operator's routes compete.
func HasLevel(t *table.Table, name string) bool {
	s, ok := t.ServiceByName(name)
	if !ok || s.Engine == nil || !t.RoutesDiffer(name) {
		return false
	}
	_, err := slotPassOf(s.Engine)
	return err == nil
}

// setLevel turns admission by priority on or off after a change of the configuration.
func (s *service) setLevel(t *table.Table) {
	if s.levelTable == t && s.levelEngine == s.engine {
		return
	}
	if s.levelTable != nil && !t.SameRanks(s.levelTable, s.name) {
		// What was counted belongs to other ranks.
		s.level = nil
	}
	s.levelTable, s.levelEngine, s.levelProblem = t, s.engine, nil
	if s.engine == nil || !t.RoutesDiffer(s.name) {
		s.level = nil
		return
	}
	slotPass, err := slotPassOf(s.engine)
	if err != nil {
		s.level, s.levelProblem = nil, err
		return
	}
	if s.level == nil {
		s.level = &levelState{}
	}
	s.level.slotPass = slotPass
}

// slotPassOf returns the part of a pass of a full engine that one of its sequences takes,
// in seconds, or an error if the declared speed is not plausible.
func slotPassOf(e *table.Engine) (float64, error) {
	if e.Slots <= 0 || e.TokensPerPass <= 0 || e.StepTime <= 0 {
		return 0, errors.Newf("slots %d, tokens per pass %d, step time %v: want all above 0", e.Slots, e.TokensPerPass, e.StepTime)
	}
	if !(e.PrefillTokensPerSecond > 0 && e.PrefillTokensPerSecond <= maxPrefill) {
		return 0, errors.Newf("%g prompt tokens per second: want above 0 and up to %g", e.PrefillTokensPerSecond, maxPrefill)
	}
	pass := passTime(e, e.Slots)
	if pass <= 0 || pass > maxPassTime {
		return 0, errors.Newf("a pass of %v: want above 0 and up to %v", pass, maxPassTime)
	}
	return pass.Seconds() / float64(e.Slots), nil
}

// work returns the engine seconds that a request takes.
func (s *service) work(w *Request) float64 {
	answer := w.AnswerTokens
	if answer <= 0 {
		answer = s.engine.MeanAnswerTokens
	}
	v := float64(w.PromptTokens)/s.engine.PrefillTokensPerSecond +
		float64(answer)/float64(s.engine.TokensPerPass)*s.level.slotPass
	return min(max(v, 0), maxWork)
}

// countSlots returns the number of slots, and of the free ones, at the engines that this entry
// may use.
func (s *service) countSlots(now time.Time) (slots, free int) {
	for _, t := range s.subset {
		if t.Evacuated || t.isLeaving() || !t.reportFresh(now) || !t.alive || t.loading || t.reportedVersion == 0 {
			continue
		}
		n := slotsOf(t.Target)
		slots += n
		free += max(0, n-t.load(now))
	}
	return slots, free
}

// update decides the level anew. slots and free count the engines' slots.
func (l *levelState) update(now time.Time, slots, free int) {
	l.controller.SetSlots(slots, free)
	if !now.Before(l.until) {
		l.totals = level.Totals{}
	}
	l.updatedAt = now
	l.controller.Update(now, l.meter.Rates(now), l.totals)
}

// updateLevel decides the level of a service anew if that is due.
func (s *service) updateLevel(now time.Time) {
	if s.level != nil && now.Sub(s.level.updatedAt) >= levelInterval {
		slots, free := s.countSlots(now)
		s.level.update(now, slots, free)
	}
}

// admit reports whether the level lets a new request begin, and counts the request. It
// does not apply to requests that may have begun before, and to those that cannot be on
// time any more.
func (p *Placer) admit(now time.Time, s *service, q *waitingRequest) bool {
	w := &q.request
	if s.level == nil {
		return true
	}
	s.updateLevel(now)
	q.work = s.work(w)
	if w.Resumed || w.isTrial() || len(w.FailedTargets) > 0 {
		return true
	}
	if _, ok := p.worthWaiting(now, s, q); !ok {
		return true
	}
	q.levelled = true
	s.count(now, level.Offered, q)
	return s.level.controller.Admit(w.Priority)
}

// count adds the work of a request.
func (s *service) count(now time.Time, k level.Kind, q *waitingRequest) {
	if s.level != nil && q.work > 0 {
		s.level.meter.Add(now, k, q.request.Priority, q.work)
	}
}

// countRefusal counts a request that was refused for lack of capacity.
func (s *service) countRefusal(now time.Time, q *waitingRequest, reason Reason) {
	if !q.levelled {
		return
	}
	switch reason {
	case ReasonLate, ReasonFull, ReasonNoRoomForLate:
		s.count(now, level.Crowded, q)
	case ReasonNoTarget, ReasonNoAllowedTarget, ReasonEvacuated, ReasonRateLimited, ReasonBackoff, ReasonLessUrgent:
	}
}

// countLate counts a request whose first answer came too late as one without capacity.
// Entries that fill the same engines at the same moment make answers late before they
// refuse requests. A prompt too long to be answered on time at any load does not count.
func (s *service) countLate(now time.Time, r *activeRequest) {
	w := &r.request
	if s.level == nil || r.levelledWork == 0 || !w.objectivePassed(now) || s.minFirstAnswer(now, w) > w.Objective {
		return
	}
	s.level.meter.Add(now, level.Crowded, w.Priority, r.levelledWork)
}

// moreUrgentWaits reports whether a request waits that is more urgent than a new one and
// can still be on time.
func (s *service) moreUrgentWaits(now time.Time, w *Request) bool {
	if s.level == nil || w.Resumed || w.isTrial() {
		return false
	}
	for _, q := range s.waiting {
		if q.request.Priority < w.Priority && !q.request.objectivePassed(now) {
			return true
		}
	}
	return false
}
