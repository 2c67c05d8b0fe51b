package place

import (
	"math"
	"slices"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/level"
	"hawthornferry/core/request/table"
)

// Thresholds for choosing a target.
const (
	// onTimeShare is the share of an objective that the estimated time to the first
	// answer may use. The rest is a reserve for what the estimate does not cover, such
	// as prompts that other entries send at the same moment.
	onTimeShare = 0.85
	// lateAllowance is how much longer than the shortest possible time a request may
	// take that cannot be on time, as a share of its objective: as much as half of the
	// other requests spend waiting. A larger one lets in more requests that are late.
	lateAllowance = 0.4
	// tightShare is the share of the allowed time from which the shortest possible time
	// counts as tight: only an idle engine could then answer on time.
	tightShare = 0.85
	// baseRoundTrip is the round trip to the caller plus the one to a nearby target.
	baseRoundTrip = 12 * time.Millisecond
	// distancePenalty is how much longer a first answer may take at a nearby target
	// before a farther one is chosen, for each step of distance.
	distancePenalty = 25 * time.Millisecond
	// equalCostMargin is the difference in cost up to which targets count as equal, in
	// which case one is drawn at random. If every entry took the very best target, they
	// would all send to the same one.
	equalCostMargin = 8 * time.Millisecond
	// reportsLostPenalty is how much longer a first answer may take elsewhere before a
	// target is chosen whose side has stopped reporting. reportsLostShare, below, is
	// the share of its slots that such a target may use.
	reportsLostPenalty = 150 * time.Millisecond
	// outdatedPenalty is how much longer the rest of an interrupted answer may wait
	// elsewhere before a target is chosen that has yet to load the newest version. Such
	// an answer mostly has a single attempt left.
	outdatedPenalty  = maxResumeDelay
	reportsLostShare = 0.5
	// lateLoadShare is the share of an engine's slots up to which it accepts requests
	// whose objective has passed. lateDelayShare is the share of that objective that
	// reading the prompts ahead and one pass may take. Late answers are worth little to
	// their callers and use capacity that requests which can still be on time need.
	lateLoadShare  = 0.5
	lateDelayShare = 0.45
	// maxRetryAfter is the longest Retry-After that a refused caller gets, by which
	// time a burst of a second or two is over. retryAfterShare bounds it by a share of
	// the caller's own deadline.
	maxRetryAfter   = 1700 * time.Millisecond
	retryAfterShare = 1.0 / 3
	// queueAllowance is how many requests a target may have beyond its slots: a plain
	// one always, since it queues a few itself, an engine only for the rest of an
	// interrupted answer.
	queueAllowance = 2
	// defaultSlots is assumed for a target that does not declare its slots.
	defaultSlots = 8
	// maxResumeDelay bounds the estimated time to the first event for the rest of an
	// interrupted answer. Callers abandon a stream after two seconds without an event.
	maxResumeDelay = 700 * time.Millisecond
)

// tryPlace places a request if some target has room for it.
func (p *Placer) tryPlace(now time.Time, s *service, q *waitingRequest) (Verdict, bool) {
	o, ok := p.chooseTarget(now, s, &q.request)
	if !ok {
		return Verdict{}, false
	}
	return p.assign(now, s, q, o), true
}

// tryPlaceAt places a request at the given target if that has room for it.
func (p *Placer) tryPlaceAt(now time.Time, s *service, q *waitingRequest, t *target) (Verdict, bool) {
	o, ok := s.optionAt(now, t, &q.request)
	if !ok || p.lacksPermit(now, s, t) {
		return Verdict{}, false
	}
	return p.assign(now, s, q, o), true
}

// assign records a request as active at its target and returns the verdict.
func (p *Placer) assign(now time.Time, s *service, q *waitingRequest, o option) Verdict {
	t := o.target
	sendBy := p.usePermit(now, s, t)
	r := &activeRequest{request: q.request, target: t, since: now}
	if s.engine != nil {
		r.readTime, r.passDelay = t.extraRoundTrip+s.readTime(now, t, &q.request), s.passDelay(now, t)
	}
	p.active[q.request.ID] = r
	if q.levelled {
		r.levelledWork = q.work
	}
	s.recordPlacement(&q.request, true)
	s.count(now, level.Placed, q)
	t.ownRequests++
	t.unreadPrompt += q.request.PromptTokens
	t.unreported = append(t.unreported, sentRequest{at: now, prompt: q.request.PromptTokens})
	var serving uint64
	if s.engine != nil {
		serving = t.servedVersion(now, s.engine.Model)
	}
	return Verdict{
		ServedVersion: serving, SendBy: sendBy,
		ID: q.request.ID, Decision: Placed, Target: t.Target,
		Waited: now.Sub(q.since), ExpectedFirstAnswer: o.expected, Load: t.load(now),
	}
}

// chooseTarget picks one of the targets with room whose cost is about the lowest.
func (p *Placer) chooseTarget(now time.Time, s *service, w *Request) (option, bool) {
	return p.choosePermitted(now, s, s.openTo(now, w, func(*target) bool { return true }))
}

// openTo returns an option for each target that has room and satisfies suits.
func (s *service) openTo(now time.Time, w *Request, suits func(t *target) bool) []option {
	open := s.optionsAmong(now, s.searchedTargets(now, w), w, suits)
	if len(open) == 0 && w.Regions.Limited() {
		// The subset may have only few targets in the allowed regions.
		return s.optionsAmong(now, s.all, w, suits)
	}
	return open
}

func (s *service) optionsAmong(now time.Time, targets []*target, w *Request, suits func(t *target) bool) []option {
	var open []option
	for _, t := range targets {
		if o, ok := s.optionAt(now, t, w); ok && suits(t) {
			open = append(open, o)
		}
	}
	return open
}

// drawCheapest draws one of the options whose cost is within equalCostMargin of the
// lowest.
func (p *Placer) drawCheapest(open []option) (option, bool) {
	least := time.Duration(math.MaxInt64)
	for _, o := range open {
		least = min(least, o.cost)
	}
	open = slices.DeleteFunc(open, func(o option) bool { return o.cost > least+equalCostMargin })
	if len(open) == 0 {
		return option{}, false
	}
	return open[p.Rand.IntN(len(open))], true
}

// searchedTargets returns the targets to choose from: the entry's subset, or all
// targets of the service if none in the subset is usable.
func (s *service) searchedTargets(now time.Time, w *Request) []*target {
	if len(s.subset) == len(s.all) || slices.ContainsFunc(s.subset, func(t *target) bool { return usable(now, s, t, w) }) {
		return s.subset
	}
	return s.all
}

// outdated reports whether a target serves a version older than the newest. It is due
// to load that one, and rejects requests that it has not begun by then.
func (s *service) outdated(now time.Time, t *target, w *Request) bool {
	return s.engine != nil && t.servedVersion(now, s.engine.Model) < w.NewestVersion
}

// optionAt returns the option of placing the request at a target, if that has room.
func (s *service) optionAt(now time.Time, t *target, w *Request) (option, bool) {
	if !usable(now, s, t, w) {
		return option{}, false
	}
	expected := s.estimateFirstAnswer(now, t, w)
	if !s.hasRoom(now, t, w, expected) || !s.beginsInTime(now, t, w, expected) {
		return option{}, false
	}
	cost := expected + time.Duration(t.distance)*distancePenalty
	if t.reportsLost(now) {
		cost += reportsLostPenalty
	}
	if w.Resumed && s.outdated(now, t, w) {
		cost += outdatedPenalty
	}
	return option{t, expected, cost}, true
}

// beginsInTime reports whether the version that the target serves may still begin the
// request at the estimated time of its first answer.
func (s *service) beginsInTime(now time.Time, t *target, w *Request, expected time.Duration) bool {
	return s.engine == nil || w.mayBegin(t.servedVersion(now, s.engine.Model), now.Add(expected))
}

// option is a target that has room. cost is the estimated time to the first answer plus
// the penalties for distance, missing reports and an outdated version.
type option struct {
	target   *target
	expected time.Duration
	cost     time.Duration
}

// usable reports whether nothing but a lack of room keeps a target from getting the
// request.
func usable(now time.Time, s *service, t *target, w *Request) bool {
	return exclusionOf(now, s, t, w) == notExcluded
}

// estimateFirstAnswer estimates the time to the first answer at a target.
func (s *service) estimateFirstAnswer(now time.Time, t *target, w *Request) time.Duration {
	if s.engine == nil {
		over := max(0, t.load(now)+1-slotsOf(t.Target))
		return baseRoundTrip + t.answerTime*time.Duration(1+over)
	}
	return t.extraRoundTrip + s.readTime(now, t, w) + s.scalePassDelay(s.passDelay(now, t))
}

// readTime is the part of the time to a first answer that covers the round trip and the
// reading of this prompt and all unread prompts ahead of it.
func (s *service) readTime(now time.Time, t *target, w *Request) time.Duration {
	e := s.engine
	unreadPrompt := t.unreadPrompt + w.PromptTokens
	if t.reportFresh(now) {
		_, unseen := t.unseen()
		unreadPrompt += t.otherQueued*e.MeanPromptTokens + unseen
	}
	return baseRoundTrip + time.Duration(float64(prefillTime(e, unreadPrompt))*t.slowness(now))
}

// prefillTime is how long an engine takes to read prompt tokens, 0 if its speed is not known.
func prefillTime(e *table.Engine, tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second))
}

// passDelay is the rest of the time to a first answer: on average half of the pass that
// is running, and the whole pass that writes the first event.
func (s *service) passDelay(now time.Time, t *target) time.Duration {
	pass := passTime(s.engine, t.load(now)+1)
	return time.Duration(1.5 * float64(pass) * t.slowness(now))
}

// passTime is how long an engine takes to write one event for each of n requests.
func passTime(e *table.Engine, n int) time.Duration {
	step := e.StepTime + time.Duration(n)*e.StepTimePerSequence +
		time.Duration(float64(n*(e.MeanPromptTokens+e.MeanAnswerTokens/2))/1000*float64(e.StepTimePerThousandTokens))
	return time.Duration(e.TokensPerPass) * step
}

func slotsOf(t facts.Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// hasRoom reports whether a target can take the request now.
func (s *service) hasRoom(now time.Time, t *target, w *Request, expected time.Duration) bool {
	load := t.load(now)
	slots := slotsOf(t.Target)
	if s.engine == nil {
		return load < s.maxRequests(t)
	}
	if w.Resumed {
		return load < slots+queueAllowance && expected < maxResumeDelay
	}
	if t.reportsLost(now) && float64(load) >= reportsLostShare*float64(slots) {
		return false
	}
	if w.objectivePassed(now) {
		// It is late already and need not be quick, but it must not pile up ahead of
		// requests that can still be on time.
		soon := s.readTime(now, t, w) + s.passDelay(now, t)
		return soon < time.Duration(lateDelayShare*float64(w.Objective)) && float64(load) < lateLoadShare*float64(slots)
	}
	return load < slots && !s.isLate(now, w, expected)
}

// HasRoomElsewhere reports whether a target of the service in one of the given regions,
// other than the given one, has room.
func (p *Placer) HasRoomElsewhere(now time.Time, serviceName, target string, regions table.AllowedRegions) bool {
	p.initMaps()
	s := p.service(serviceName)
	w := &Request{FailedTargets: []string{target}, Resumed: true, Regions: regions}
	for _, t := range s.searchedTargets(now, w) {
		if usable(now, s, t, w) && s.hasRoom(now, t, w, 0) && !p.lacksPermit(now, s, t) {
			return true
		}
	}
	return false
}
