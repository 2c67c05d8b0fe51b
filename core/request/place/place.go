// Package place decides at an entry which target runs a request, which
// requests wait for one, and which are refused at the door. It answers the
// load of bursts on model engines, where what makes a first token late is the
// prompts that are still to be read before it and the writers beside it, not
// the number of requests.
//
// One Placer serves an entry. It has no clock and starts nothing; each method
// takes the time and returns the verdicts that follow from it, for the
// request at hand and for any other that the event let in or refused.
package place

import (
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/table"
)

// TickEvery is how often Tick is to be called: a request that waits in vain
// hears of it that soon.
const TickEvery = 20 * time.Millisecond

// Work is a request that wants a target. Objective is when its first answer
// is due, counted from Asked, the time at which its caller first asked.
type Work struct {
	ID      string
	Service string
	// Kind names the requests that it is compared with by size, such as its route.
	Kind   string
	Prompt int
	Answer int
	Asked  time.Time
	// Objective is zero for work without one.
	Objective time.Duration
	Deadline  time.Time
	Priority  int
	// Limits bound the use of older versions of the model.
	Limits []VersionLimit
	// Newest is the newest version that is named.
	Newest uint64
	// Avoid are the targets that have failed it.
	Avoid []string
	// Begun is set for an answer that its caller has a part of: it goes
	// before all others, and is not refused while there is a target.
	Begun bool
}

// VersionLimit is until when work may begin at a target that serves less than a
// version of its model.
type VersionLimit struct {
	Version uint64
	Until   time.Time
}

// mayBegin reports whether the work may begin at a time at a target that serves a
// version.
func (w *Work) mayBegin(serving uint64, at time.Time) bool {
	for _, l := range w.Limits {
		if serving < l.Version && !at.Before(l.Until) {
			return false
		}
	}
	return true
}

// Decision is what becomes of offered work.
type Decision string

// The decisions.
const (
	Placed  Decision = "placed"
	Refused Decision = "refused"
)

// Reason says why work was refused.
type Reason string

// The reasons of refusal.
const (
	ReasonNoTarget Reason = "noTarget"
	ReasonLate     Reason = "objectiveCannotBeMet"
	ReasonFull     Reason = "full"
	// ReasonLateFull is for a caller that came back after its objective: such work
	// gets only part of the places.
	ReasonLateFull Reason = "noRoomForLate"
)

// Verdict is the decision on one request. Target is set for a placed one,
// RetryAfter for a refused one.
type Verdict struct {
	ID         string
	Decision   Decision
	Target     facts.Target
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	// Expected is the time to the first answer that was foreseen; of one that
	// is refused as late, at an engine with a single place left.
	Expected time.Duration
	// Serving is the version of the model that the target is known to serve.
	Serving uint64
	// Load is the number of requests at the target, this one included.
	Load int
	// Candidates is what a refusal rests on.
	Candidates trail.Candidates
}

// Result says how a request ended at its target.
type Result string

// The results. Unreached is a request that never came to its target; Turned
// one that the target refused to run.
const (
	ResultDone      Result = "done"
	ResultFailed    Result = "failed"
	ResultUnreached Result = "unreached"
	ResultTurned    Result = "turnedAway"
	ResultLeft      Result = "callerLeft"
)

// Placer decides for one entry. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Placer struct {
	// Name is the entry's; it decides to which targets of a large service this
	// entry keeps.
	Name    string
	Zone    string
	Regions map[string]string
	Rand    *rand.Rand

	services map[string]*service
	targets  map[string]*target
	running  map[string]*run
	// ways holds the round trip to the targets of each zone, as far as known.
	ways map[string]time.Duration
}

// run is a request at its target.
type run struct {
	work   Work
	target *target
	since  time.Time
	begun  bool
	// reading and passing are the parts of the time to its first answer, as
	// foreseen.
	reading time.Duration
	passing time.Duration
}

// service is the state of one service.
type service struct {
	name   string
	engine *table.Engine
	// targets are those that the entry keeps to, and all the whole service's.
	targets []*target
	all     []*target
	waiting []*wait
	stretch stretch
	kinds   map[string]*kind
}

// Update takes the services and targets that are known now.
func (p *Placer) Update(now time.Time, f *facts.Facts) []Verdict {
	p.prepare()
	old := p.targets
	p.targets = make(map[string]*target, len(f.Targets))
	for _, t := range old {
		t.kept = false
	}
	for _, s := range p.services {
		s.targets, s.all = nil, nil
	}
	for _, t := range f.Targets {
		s := p.service(t.Service)
		if sv, ok := f.Table.ServiceByName(t.Service); ok {
			s.engine = sv.Engine
		}
		k := old[t.ID]
		if k == nil {
			k = &target{distance: p.distance(t.Zone)}
		}
		k.learn(now, t)
		k.way = p.wayTo(t.Zone)
		p.targets[t.ID] = k
		s.all = append(s.all, k)
	}
	for _, s := range p.services {
		p.keepTo(s)
	}
	return p.settle(now)
}

// keepTo has a service use the targets that this entry keeps to. Plain targets tell
// nothing of their load, so that all of them can be used.
func (p *Placer) keepTo(s *service) {
	if s.engine == nil {
		s.targets = s.all
		for _, t := range s.all {
			t.kept = true
		}
		return
	}
	listed := make([]facts.Target, 0, len(s.all))
	for _, t := range s.all {
		listed = append(listed, t.Target)
	}
	for i, kept := range Subset(p.Name, p.Zone, listed) {
		if kept {
			s.all[i].kept = true
			s.targets = append(s.targets, s.all[i])
		}
	}
}

// Offer takes a new request.
func (p *Placer) Offer(now time.Time, w Work) []Verdict {
	p.prepare()
	s := p.service(w.Service)
	q := &wait{work: w, since: now}
	if !w.Begun {
		s.kindOf(&w).learn(w.Prompt)
	}
	if !s.heldBack(&w) {
		if v, ok := p.try(now, s, q); ok {
			return []Verdict{v}
		}
	}
	if v, ok := p.hopeless(now, s, q); ok {
		return []Verdict{v}
	}
	s.waiting = append(s.waiting, q)
	return nil
}

// Withdraw takes back a request whose caller went away while it waited.
func (p *Placer) Withdraw(id, serviceName string) {
	p.prepare()
	s := p.service(serviceName)
	for i, q := range s.waiting {
		if q.work.ID == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Began tells that the target has sent the first part of an answer: its
// prompt is read.
func (p *Placer) Began(now time.Time, id string) []Verdict {
	r, ok := p.running[id]
	if !ok || r.begun {
		return nil
	}
	r.begun = true
	r.target.unread -= r.work.Prompt
	r.target.answered(now)
	s := p.service(r.work.Service)
	if s.engine != nil && r.passing > 0 {
		s.stretch.observe(float64(now.Sub(r.since)-r.reading) / float64(r.passing))
	}
	return p.fill(now, s, r.target)
}

// Done tells that a placed request has ended at its target.
func (p *Placer) Done(now time.Time, id string, result Result) []Verdict {
	r, ok := p.running[id]
	if !ok {
		return nil
	}
	delete(p.running, id)
	if !r.begun {
		r.target.unread -= r.work.Prompt
	}
	r.target.own--
	r.target.ended(now, result, now.Sub(r.since))
	s := p.service(r.work.Service)
	if result == ResultFailed {
		s.forgive(now)
		return p.settleService(now, s)
	}
	return p.fill(now, s, r.target)
}

// Report takes what a target says of its own load.
func (p *Placer) Report(now time.Time, id string, r Report) []Verdict {
	t, ok := p.targets[id]
	if !ok {
		return nil
	}
	t.report(now, r)
	return p.fill(now, p.service(t.Service), t)
}

// Tick refuses what has waited in vain.
func (p *Placer) Tick(now time.Time) []Verdict {
	p.prepare()
	return p.settle(now)
}

func (p *Placer) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{name: name}
		p.services[name] = s
	}
	return s
}

func (p *Placer) prepare() {
	if p.services != nil {
		return
	}
	p.services = map[string]*service{}
	p.targets = map[string]*target{}
	p.running = map[string]*run{}
}

// distance ranks a zone: 0 for the entry's own, 1 for one in its region, 2
// for any other.
func (p *Placer) distance(zone string) int {
	switch {
	case zone == p.Zone:
		return 0
	case p.Regions[zone] == p.Regions[p.Zone]:
		return 1
	default:
		return 2
	}
}
