package place

import (
	"math"
	"slices"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// The thresholds of placement.
const (
	// onTime is the part of an objective that a foreseen first answer may
	// take: the rest is for what is not foreseen, such as prompts that other
	// entries send at the same moment.
	onTime = 0.85
	// overTime is how much longer than the least, in objectives, work may take
	// that cannot be on time: as much as half of other work spends waiting.
	overTime = 0.4
	// tightShare is the part of the usual time from which work counts as such that
	// can hardly be on time: the engine that answers it then would have to be idle.
	tightShare = 0.85
	// hop is the round trip to the caller and a near target together.
	hop = 12 * time.Millisecond
	// distanceCost is how much longer a first answer may take at a near
	// target before a farther one is chosen, a step of distance each.
	distanceCost = 25 * time.Millisecond
	// alikeCost is how much longer a first answer may take at targets that count as
	// equal; one of them is drawn. Entries that all take the best meet there.
	alikeCost = 8 * time.Millisecond
	// lostCost is how much longer a first answer may take elsewhere before a
	// target is chosen whose side has fallen silent, and lostShare the part of
	// its slots that it then takes.
	lostCost = 150 * time.Millisecond
	// loadCost is how much longer a begun answer may wait elsewhere before a target is
	// chosen that is still to load: it has mostly one attempt left.
	loadCost  = mostExpected
	lostShare = 0.5
	// lateShare is the part of an engine's slots up to which it takes work
	// whose objective has passed, and lateSoon the part of that objective that the
	// prompts before it and a pass may take. Late answers are worth little to their
	// callers, and what they take is taken from those that can be on time.
	lateShare = 0.5
	lateSoon  = 0.45
	// mostRetryAfter is what a refused caller is told to wait at the most, and
	// retryShare the part of its deadline that callers keep to. A burst of
	// a second or two is over by then.
	mostRetryAfter = 1700 * time.Millisecond
	retryShare     = 1.0 / 3
	// plainQueue is how many requests a plain target may have beyond its
	// slots: it queues a few itself.
	plainQueue = 2
	// defaultSlots stands for a target that does not tell its slots.
	defaultSlots = 8
	// mostExpected bounds the prompts that begun work may queue behind: callers
	// leave a stream after two seconds without an event.
	mostExpected = 700 * time.Millisecond
)

// try places a request when a target can take it.
func (p *Placer) try(now time.Time, s *service, q *wait) (Verdict, bool) {
	o, ok := p.choose(now, s, &q.work)
	if !ok {
		return Verdict{}, false
	}
	return p.send(now, s, q, o), true
}

// tryAt places a request at the given target when that can take it.
func (p *Placer) tryAt(now time.Time, s *service, q *wait, t *target) (Verdict, bool) {
	o, ok := s.open(now, t, &q.work)
	if !ok {
		return Verdict{}, false
	}
	return p.send(now, s, q, o), true
}

// send counts a request at its target.
func (p *Placer) send(now time.Time, s *service, q *wait, o option) Verdict {
	t := o.target
	r := &run{work: q.work, target: t, since: now}
	if s.engine != nil {
		r.reading, r.passing = t.way+s.reading(now, t, &q.work), s.passing(now, t)
	}
	p.running[q.work.ID] = r
	s.noteChance(&q.work, true)
	t.own++
	t.unread += q.work.Prompt
	t.sent = append(t.sent, sending{at: now, prompt: q.work.Prompt})
	var serving uint64
	if s.engine != nil {
		serving = t.serves(now, s.engine.Model)
	}
	return Verdict{
		Serving: serving,
		ID:      q.work.ID, Decision: Placed, Target: t.Target,
		Waited: now.Sub(q.since), Expected: o.expected, Load: t.load(now),
	}
}

// choose returns a target with about the earliest first answer, among those that
// have room for the work.
func (p *Placer) choose(now time.Time, s *service, w *Work) (option, bool) {
	return p.cheapest(s.openTo(now, w, func(*target) bool { return true }))
}

// openTo returns what the targets that suit offer the work.
func (s *service) openTo(now time.Time, w *Work, suits func(t *target) bool) []option {
	var open []option
	for _, t := range s.eligible(now, w) {
		if o, ok := s.open(now, t, w); ok && suits(t) {
			open = append(open, o)
		}
	}
	return open
}

// cheapest draws one of the options that cost about the least.
func (p *Placer) cheapest(open []option) (option, bool) {
	least := time.Duration(math.MaxInt64)
	for _, o := range open {
		least = min(least, o.cost)
	}
	open = slices.DeleteFunc(open, func(o option) bool { return o.cost > least+alikeCost })
	if len(open) == 0 {
		return option{}, false
	}
	return open[p.Rand.IntN(len(open))], true
}

// eligible are the targets among which to choose: those that the entry keeps to,
// unless none of them may serve the work.
func (s *service) eligible(now time.Time, w *Work) []*target {
	if len(s.targets) == len(s.all) || slices.ContainsFunc(s.targets, func(t *target) bool { return usable(now, s, t, w) }) {
		return s.targets
	}
	return s.all
}

// mayLoad reports whether a target is still to load the newest version; what it has not
// begun by then it turns away.
func (s *service) mayLoad(now time.Time, t *target, w *Work) bool {
	return s.engine != nil && t.serves(now, s.engine.Model) < w.Newest
}

// open returns what a target offers the work, if it has room for it.
func (s *service) open(now time.Time, t *target, w *Work) (option, bool) {
	if !usable(now, s, t, w) {
		return option{}, false
	}
	expected := s.expect(now, t, w)
	if !s.room(now, t, w, expected) || !s.beginsInTime(now, t, w, expected) {
		return option{}, false
	}
	cost := expected + time.Duration(t.distance)*distanceCost
	if t.lost(now) {
		cost += lostCost
	}
	if w.Begun && s.mayLoad(now, t, w) {
		cost += loadCost
	}
	return option{t, expected, cost}, true
}

// beginsInTime reports whether the target may still begin the work on the version
// that it serves when the first answer is foreseen.
func (s *service) beginsInTime(now time.Time, t *target, w *Work, expected time.Duration) bool {
	return s.engine == nil || w.mayBegin(t.serves(now, s.engine.Model), now.Add(expected))
}

// option is a target that has room. Cost is when its first answer is foreseen,
// with what speaks against it added.
type option struct {
	target   *target
	expected time.Duration
	cost     time.Duration
}

// usable reports whether a target may have the work at all.
func usable(now time.Time, s *service, t *target, w *Work) bool {
	return obstacleTo(now, s, t, w) == obstacleNone
}

// expect foresees the time to the first answer at a target.
func (s *service) expect(now time.Time, t *target, w *Work) time.Duration {
	if s.engine == nil {
		over := max(0, t.load(now)+1-slotsOf(t.Target))
		return hop + t.spent*time.Duration(1+over)
	}
	return t.way + s.reading(now, t, w) + s.stretched(s.passing(now, t))
}

// reading is the part of the time to a first answer in which the engine reads
// the prompts before this one, and this one.
func (s *service) reading(now time.Time, t *target, w *Work) time.Duration {
	e := s.engine
	unread := t.unread + w.Prompt
	if t.fresh(now) {
		_, unseen := t.unseen()
		unread += t.othersWait*e.UsualPrompt + unseen
	}
	return hop + time.Duration(float64(unread)/e.ReadRate*float64(time.Second)*t.slowness(now))
}

// passing is the rest of it: the pass under way, half of one on average, and
// the one that writes the first event.
func (s *service) passing(now time.Time, t *target) time.Duration {
	pass := passTime(s.engine, t.load(now)+1)
	return time.Duration(1.5 * float64(pass) * t.slowness(now))
}

// passTime is how long an engine takes to write one event for n requests.
func passTime(e *table.Engine, n int) time.Duration {
	step := e.Step + time.Duration(n)*e.PerSequence +
		time.Duration(float64(n*(e.UsualPrompt+e.UsualAnswer/2))/1000*float64(e.PerContext))
	return time.Duration(e.Stride) * step
}

func slotsOf(t facts.Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// room reports whether a target can take the work now.
func (s *service) room(now time.Time, t *target, w *Work, expected time.Duration) bool {
	load := t.load(now)
	slots := slotsOf(t.Target)
	if s.engine == nil {
		return load < s.places(t)
	}
	if w.Begun {
		return load < slots+plainQueue && expected < mostExpected
	}
	if t.lost(now) && float64(load) >= lostShare*float64(slots) {
		return false
	}
	if w.returned(now) {
		// Late already, it need not be quick; but it must not pile up before
		// work that can be on time.
		soon := s.reading(now, t, w) + s.passing(now, t)
		return soon < time.Duration(lateSoon*float64(w.Objective)) && float64(load) < lateShare*float64(slots)
	}
	return load < slots && !s.late(now, w, expected)
}

// Other reports whether a target of the service but the given one has room.
func (p *Placer) Other(now time.Time, serviceName, target string) bool {
	p.prepare()
	s := p.service(serviceName)
	w := &Work{Avoid: []string{target}, Begun: true}
	for _, t := range s.eligible(now, w) {
		if usable(now, s, t, w) && s.room(now, t, w, 0) {
			return true
		}
	}
	return false
}
