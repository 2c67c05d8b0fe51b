// Package place decides for an entry (the process that accepts callers' requests) which
// target runs a request, which requests wait, and which are refused. It is made for
// bursts at model engines: what delays a first token there is the unread prompts ahead
// of it and the answers written beside it, not the number of requests.
//
// An engine works in passes, each of which writes one event of a few tokens for every
// active answer. The first answer is the first event of a stream, or the whole answer
// of a request without a stream. A plain service is one without a declared engine.
//
// It is for the entries of package hosted, which send requests to targets themselves
// (package direct). The entries of package entry, which send calls to the sides of
// targets (package front), use packages admit and picker instead.
//
// One Placer serves an entry; package direct calls it. It has no clock and starts no
// goroutines. Each method takes the current time and returns the resulting verdicts,
// both for the request that it is called for and for waiting requests that the event
// placed or refused. Package hosted uses Subset and EntryEstimator to choose which
// sides (the processes beside the targets) an entry listens to, and to count the
// entries.
package place

import (
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/lease"
	"hawthornferry/core/request/table"
)

// TickEvery is how often Tick is to be called. A request for which waiting has become
// pointless is refused within that time.
const TickEvery = 20 * time.Millisecond

// Request is a request to be placed. Objective is the time from FirstRequestedAt, when
// its caller first sent it, to when the first answer is due.
type Request struct {
	ID      string
	Service string
	// Kind groups requests whose sizes are compared with each other, such as by route.
	Kind             string
	PromptTokens     int
	AnswerTokens     int
	FirstRequestedAt time.Time
	// Objective is zero for a request without one.
	Objective time.Duration
	Deadline  time.Time
	// Priority is the rank of the request among those of its service, 0 for the most urgent.
	Priority int
	// Limits bound until when older versions of the model may begin the request.
	Limits []VersionLimit
	// NewestVersion is the newest version announced for the service's model, 0 without
	// an engine.
	NewestVersion uint64
	// FailedTargets lists the targets that have failed this request.
	FailedTargets []string
	// OnlyTargets, if not empty, lists the only targets that may get the request, also while
	// they are paused. Such a request does not wait.
	OnlyTargets []string
	// Resumed is set if the caller already has a part of the answer. Such a request
	// goes before all others, and waits until its deadline rather than being refused.
	Resumed bool
	// Regions are those in which the request may be served.
	Regions table.AllowedRegions
}

// VersionLimit is the time until which a request may begin at a target that serves an
// older version than Version.
type VersionLimit struct {
	Version uint64
	Until   time.Time
}

// mayBegin reports whether the request may begin at the given time at a target that
// serves the given version.
func (w *Request) mayBegin(serving uint64, at time.Time) bool {
	for _, l := range w.Limits {
		if serving < l.Version && !at.Before(l.Until) {
			return false
		}
	}
	return true
}

// Decision says whether a request was placed or refused.
type Decision string

// The decisions.
const (
	Placed  Decision = "placed"
	Refused Decision = "refused"
)

// Reason says why a request was refused.
type Reason string

// The reasons of refusal.
const (
	ReasonNoTarget Reason = "noTarget"
	// ReasonNoAllowedTarget means that the service has targets, but none in a region in
	// which the request may be served, and ReasonEvacuated that all targets there are in
	// zones that are being evacuated.
	ReasonNoAllowedTarget Reason = "noTargetInAllowedRegions"
	ReasonEvacuated       Reason = "zoneEvacuated"
	ReasonLate            Reason = "objectiveCannotBeMet"
	ReasonFull            Reason = "full"
	// ReasonRateLimited means that all targets have named a limit, and that the requests
	// which wait already take what it leaves.
	ReasonRateLimited Reason = "rateLimited"
	// ReasonBackoff means that all targets have asked this entry to back off until it is too
	// late for the request.
	ReasonBackoff Reason = "targetsBackOff"
	// ReasonNoRoomForLate is for a caller that came back after its objective had
	// passed. Such requests may use only part of the slots.
	ReasonNoRoomForLate Reason = "noRoomForLate"
	// ReasonLessUrgent is for a request that the admission level holds back in favour of
	// more urgent ones.
	ReasonLessUrgent Reason = "lessUrgent"
)

// Verdict is the decision on one request. Target is set for a placed one, RetryAfter
// for a refused one.
type Verdict struct {
	ID         string
	Decision   Decision
	Target     facts.Target
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
	// ExpectedFirstAnswer is the estimated time to the first answer. For a request
	// refused with ReasonLate it is that at an engine with a single slot left.
	ExpectedFirstAnswer time.Duration
	// ServedVersion is the version of the model that the target is known to serve.
	ServedVersion uint64
	// Load is the number of requests at the target, this one included.
	Load int
	// SendBy is when the permit for the target expires; zero if it needs none.
	SendBy time.Time
	// Candidates counts the targets that were considered for a refused request.
	Candidates trail.CandidateCounts
}

// Result says how a request ended at its target.
type Result string

// The results. ResultUnreached means that the request never reached its target,
// ResultRejected that the target rejected it, and ResultCallerGone that the caller went
// away.
const (
	ResultDone       Result = "done"
	ResultFailed     Result = "failed"
	ResultUnreached  Result = "unreached"
	ResultRejected   Result = "turnedAway"
	ResultCallerGone Result = "callerLeft"
)

// Placer places the requests of one entry. Set the exported fields before the first
// call. It is not safe for concurrent use.
type Placer struct {
	// Name is the name of the entry. It determines which subset of a large service's
	// targets the entry uses.
	Name    string
	Zone    string
	Regions map[string]string
	Rand    *rand.Rand
	// StartedAt is when the process started. What the process before has sent to cold
	// targets counts for a while longer.
	StartedAt time.Time
	// ColdRate limits the requests to cold targets. RequestLease asks the side of a target
	// for permits to send it requests, and tells it the limit that the target names; with a
	// want of 0 it only tells. It must not block.
	ColdRate     lease.Bound
	RequestLease func(target string, want int, limit lease.RateLimit)

	services map[string]*service
	targets  map[string]*target
	notices  notices
	active   map[string]*activeRequest
	// roundTrips holds the measured round trip to the targets of each zone.
	roundTrips map[string]time.Duration
	// entries is the highest estimate of the number of entries that a report has had.
	entries int
}

// activeRequest is a request that was placed and has not ended.
type activeRequest struct {
	request   Request
	target    *target
	since     time.Time
	answering bool
	// readTime and passDelay are the estimated parts of the time to its first answer.
	readTime  time.Duration
	passDelay time.Duration
	// levelledWork is what the request counted for in the service's level when it was
	// placed, 0 if that does not apply to it.
	levelledWork float64
}

// service is the state of one service.
type service struct {
	name   string
	engine *table.Engine
	// warmup is that of a target of the service, and coldLimit how many requests a cold
	// one may get in a second from all entries, 0 for any number.
	warmup    time.Duration
	coldLimit int
	// subset holds the targets that this entry uses by default, all holds every target
	// of the service.
	subset     []*target
	all        []*target
	waiting    []*waitingRequest
	passFactor passFactor
	kinds      map[string]*kind
	// level is nil for a service whose requests all have the same priority, or whose
	// engine's speed is not plausible; levelProblem says why it is not.
	level        *levelState
	levelProblem error
	// levelTable and levelEngine are the configuration from which these were derived.
	levelTable  *table.Table
	levelEngine *table.Engine
}

// Update sets the current services and targets.
func (p *Placer) Update(now time.Time, f *facts.Facts) []Verdict {
	p.initMaps()
	old := p.targets
	p.targets = make(map[string]*target, len(f.Targets))
	for _, t := range old {
		t.inSubset = false
	}
	for _, s := range p.services {
		s.subset, s.all = nil, nil
	}
	for _, t := range f.Targets {
		s := p.service(t.Service)
		if sv, ok := f.Table.ServiceByName(t.Service); ok {
			s.engine = sv.Engine
			s.warmup, s.coldLimit = sv.Warmup.Duration, p.ColdRate.PerSecond(sv.Warmup.MaxRate)
		}
		state := old[t.ID]
		if state == nil {
			state = &target{distance: p.distance(t.Zone)}
		}
		state.update(now, t, s.warmup)
		state.notice = p.notices.ofRun(t)
		state.region = p.Regions[t.Zone]
		state.extraRoundTrip = p.extraRoundTripTo(t.Zone)
		p.targets[t.ID] = state
		s.all = append(s.all, state)
	}
	p.notices.prune(now, p.targets)
	for _, s := range p.services {
		p.selectSubset(s)
		s.setLevel(f.Table)
	}
	return p.decideAll(now)
}

// selectSubset determines the subset of a service's targets that this entry uses. Plain
// targets do not report their load, so all of them are used.
func (p *Placer) selectSubset(s *service) {
	if s.engine == nil {
		s.subset = s.all
		for _, t := range s.all {
			t.inSubset = true
		}
		return
	}
	listed := make([]facts.Target, 0, len(s.all))
	for _, t := range s.all {
		listed = append(listed, t.Target)
	}
	for i, inSubset := range Subset(p.Name, p.Zone, listed) {
		if inSubset {
			s.all[i].inSubset = true
			s.subset = append(s.subset, s.all[i])
		}
	}
}

// Offer places, queues or refuses a new request.
func (p *Placer) Offer(now time.Time, w Request) []Verdict {
	p.initMaps()
	s := p.service(w.Service)
	q := &waitingRequest{request: w, since: now}
	if !w.Resumed {
		s.kindOf(&w).addPrompt(w.PromptTokens)
	}
	if !p.admit(now, s, q) {
		return []Verdict{p.holdBack(now, s, q)}
	}
	if !s.isHeldBack(&w) && !s.moreUrgentWaits(now, &w) {
		if v, ok := p.tryPlace(now, s, q); ok {
			return []Verdict{v}
		}
	}
	if v, ok := p.refuseHopeless(now, s, q); ok {
		return []Verdict{v}
	}
	if p.permitsComeTooLate(now, s, q) {
		return []Verdict{p.refuse(now, s, q, ReasonRateLimited)}
	}
	s.waiting = append(s.waiting, q)
	return nil
}

// Withdraw removes a waiting request whose caller went away.
func (p *Placer) Withdraw(id, serviceName string) {
	p.initMaps()
	s := p.service(serviceName)
	for i, q := range s.waiting {
		if q.request.ID == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// AnswerBegan records that the target has sent the first part of an answer, which means
// that it has read the prompt.
func (p *Placer) AnswerBegan(now time.Time, id string) []Verdict {
	r, ok := p.active[id]
	if !ok || r.answering {
		return nil
	}
	r.answering = true
	r.target.unreadPrompt -= r.request.PromptTokens
	r.target.resetFailures(now)
	s := p.service(r.request.Service)
	s.countLate(now, r)
	if s.engine != nil && r.passDelay > 0 {
		s.passFactor.observe(float64(now.Sub(r.since)-r.readTime) / float64(r.passDelay))
	}
	return p.placeAt(now, s, r.target)
}

// RequestEnded records that a placed request has ended at its target.
func (p *Placer) RequestEnded(now time.Time, id string, result Result) []Verdict {
	r, ok := p.active[id]
	if !ok {
		return nil
	}
	delete(p.active, id)
	if !r.answering {
		r.target.unreadPrompt -= r.request.PromptTokens
	}
	r.target.ownRequests--
	r.target.recordEnd(now, result, now.Sub(r.since))
	s := p.service(r.request.Service)
	if result == ResultFailed {
		s.undoSimultaneousPauses(now)
		return p.decideService(now, s)
	}
	return p.placeAt(now, s, r.target)
}

// Report records a load report of a target.
func (p *Placer) Report(now time.Time, id string, r LoadReport) []Verdict {
	t, ok := p.targets[id]
	if !ok {
		return nil
	}
	s := p.service(t.Service)
	p.entries = max(p.entries, r.TotalEntries)
	t.applyReport(now, r, s.warmup)
	return p.placeAt(now, s, t)
}

// Tick places waiting requests that now fit and refuses those for which waiting has
// become pointless.
func (p *Placer) Tick(now time.Time) []Verdict {
	p.initMaps()
	for _, s := range p.services {
		s.updateLevel(now)
	}
	return p.decideAll(now)
}

func (p *Placer) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{name: name}
		p.services[name] = s
	}
	return s
}

func (p *Placer) initMaps() {
	if p.services != nil {
		return
	}
	p.services = map[string]*service{}
	p.targets = map[string]*target{}
	p.notices = notices{}
	p.active = map[string]*activeRequest{}
}

// unknownEntries is the number of entries that is assumed before the first report tells one.
const unknownEntries = 12

// entryCount is the number of entries among which limits over all of them are shared.
func (p *Placer) entryCount() int {
	if p.entries == 0 {
		return unknownEntries
	}
	return p.entries
}

// distance ranks a zone: 0 for the entry's own, 1 for one in its region, 2 for any
// other.
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
