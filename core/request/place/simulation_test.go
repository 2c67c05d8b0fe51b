package place

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// The simulated engines and network, like a large day of the users: declared engine
// speeds, three zones, and prompts and answers that vary as theirs do.
const (
	simStep      = time.Millisecond
	simSlots     = 16
	simStride    = 5
	simReadChunk = 2048
	simReadRate  = 20700.0
	// slowSlots and slowReadRate are those of the slower engines of a large deployment.
	slowSlots      = 8
	slowReadRate   = 13800.0
	reportEvery    = 50 * time.Millisecond
	networkLatency = 3 * time.Millisecond
	simDeadline    = 6 * time.Second
	// simObjective is when a first event is due.
	simObjective = 450 * time.Millisecond
	// simLoadTime is how long an empty engine takes to load a version.
	simLoadTime = 300 * time.Millisecond
	simWindow   = 2 * time.Second
	// secondRefusalCost is deducted, as a share of the answer, for a caller that comes
	// back when it was told to and is refused again.
	secondRefusalCost = 0.3
)

var usualEngine = &table.Engine{
	Model: "m", Slots: simSlots, TokensPerPass: simStride, StepTime: 9270 * time.Microsecond,
	StepTimePerSequence: 23 * time.Microsecond, StepTimePerThousandTokens: 32 * time.Microsecond,
	PrefillTokensPerSecond: simReadRate, MeanPromptTokens: 979, MeanAnswerTokens: 92,
}

// slowEngine is an engine of a large deployment. An idle one needs most of an objective
// for its largest prompts.
var slowEngine = &table.Engine{
	Model: "m", Slots: slowSlots, TokensPerPass: simStride, StepTime: 13900 * time.Microsecond,
	StepTimePerSequence: 35 * time.Microsecond, StepTimePerThousandTokens: 48 * time.Microsecond,
	PrefillTokensPerSecond: slowReadRate, MeanPromptTokens: 979, MeanAnswerTokens: 70,
}

// job is one simulated request.
type job struct {
	id        string
	entry     int
	prompt    int
	answer    int
	objective time.Duration
	asked     time.Duration
	// class is the index of its class, 0 in a scenario without classes.
	class    int
	size     sizeClass
	returned bool
	first    time.Duration // 0 until the first event
	unread   int
	written  int
}

// engineSim simulates one engine. It reads prompts between the passes in which it
// writes an event for each request whose prompt is read.
type engineSim struct {
	*table.Engine

	id      string
	zone    string
	active  []*job
	queue   []*job
	passEnd time.Duration
	// loadAt is when it is ordered to load a version, 0 for never. loadEnd is when the
	// load ends, 0 until all active requests have ended.
	loadAt  time.Duration
	loadEnd time.Duration
}

// busy reports whether the engine starts no requests because it waits to load or loads
// a version.
func (e *engineSim) busy(now time.Duration) bool {
	return e.loadAt > 0 && now >= e.loadAt && (e.loadEnd == 0 || now < e.loadEnd)
}

func (e *engineSim) step(now time.Duration, begun, done func(j *job)) {
	if e.busy(now) && len(e.active) == 0 && e.loadEnd == 0 {
		e.loadEnd = now + simLoadTime
	}
	for !e.busy(now) && len(e.active) < e.Slots && len(e.queue) > 0 {
		e.active = append(e.active, e.queue[0])
		e.queue = e.queue[1:]
	}
	if now < e.passEnd || len(e.active) == 0 {
		return
	}
	writers := 0
	for _, j := range slices.Clone(e.active) {
		if j.unread > 0 {
			continue
		}
		writers++
		j.written += e.TokensPerPass
		if j.first == 0 {
			j.first = now
			begun(j)
		}
		if j.written >= j.answer {
			e.active = slices.DeleteFunc(e.active, func(o *job) bool { return o == j })
			done(j)
		}
	}
	read := 0
	for _, j := range e.active {
		n := min(j.unread, e.TokensPerPass*simReadChunk-read)
		j.unread -= n
		read += n
	}
	pass := time.Duration(float64(read) / e.PrefillTokensPerSecond * float64(time.Second))
	if writers > 0 || read > 0 {
		pass += passTime(e.Engine, max(writers, 1))
	}
	e.passEnd = now + max(pass, simStep)
}

// largePrompt is the prompt length that a tenth of the simulated prompts exceed.
const largePrompt = 2000

// outcomes sums up what the callers of a run got. credit is weighted by the size of
// requests, maxCredit is that of a run with all of them on time.
type outcomes struct {
	asked, onTime, late, refused int
	credit, maxCredit            float64
	largeAsked, largeServed      int
	largeOnTime                  int
	// windows counts, by time window, the requests asked in it and how many of them
	// were on time.
	windows []window
	classes []classOutcomes
}

type window struct{ asked, onTime int }

// worstWindow is the lowest share on time of any window.
func (o outcomes) worstWindow() float64 {
	least := 1.0
	for _, w := range o.windows {
		if w.asked > 0 {
			least = min(least, float64(w.onTime)/float64(w.asked))
		}
	}
	return least
}

// window returns the counts of the window in which a request is asked.
func (o *outcomes) window(asked time.Duration) *window {
	i := int(asked / simWindow)
	for len(o.windows) <= i {
		o.windows = append(o.windows, window{})
	}
	return &o.windows[i]
}

func (o outcomes) creditShare() float64 { return o.credit / o.maxCredit }

// policy places the requests of one simulated entry. Placer is the one under test.
type policy interface {
	Offer(now time.Time, w Request) []Verdict
	AnswerBegan(now time.Time, id string) []Verdict
	RequestEnded(now time.Time, id string, r Result) []Verdict
	Report(now time.Time, id string, r LoadReport) []Verdict
	Tick(now time.Time) []Verdict
}

var simStart = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// simZones are the simulated zones, to which engines and entries are assigned in turn.
var simZones = []string{"z0", "z1", "z2"}

// scenario is a load of perSecond requests a second, for a length of time, on engines
// that all entries share. loadTimes holds when each engine, in order, is to load a
// version.
type scenario struct {
	engine    *table.Engine
	objective time.Duration
	engines   int
	entries   int
	perSecond float64
	length    time.Duration
	loadTimes []time.Duration
	seed      uint64
	// competition is nil where all requests are alike.
	*competition
}

// usualScenario returns a scenario with usualEngine and simObjective.
func usualScenario(engines, entries int, perSecond float64, length time.Duration) scenario {
	return scenario{
		engine: usualEngine, objective: simObjective, engines: engines, entries: entries,
		perSecond: perSecond, length: length,
	}
}

// simulate runs the scenario with a separate policy at each entry.
func (l scenario) simulate(make func(entry int, f *facts.Facts) policy) outcomes {
	rng := rand.New(rand.NewPCG(1+l.seed, 2))
	t := &table.Table{Services: []table.Service{{Name: "svc", Engine: l.engine}}, Routes: l.routes()}
	t.BuildIndex()
	f := &facts.Facts{Table: t}
	var sims []*engineSim
	byID := map[string]*engineSim{}
	for i := range l.engines {
		e := &engineSim{Engine: l.engine, id: "i" + strconv.Itoa(i), zone: simZones[i%len(simZones)]}
		if i < len(l.loadTimes) {
			e.loadAt = l.loadTimes[i]
		}
		sims = append(sims, e)
		byID[e.id] = e
		f.Targets = append(f.Targets, facts.Target{
			ID: e.id, Service: "svc", Zone: e.zone, Slots: l.engine.Slots, Serving: map[string]uint64{"m": 1},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	var policies []policy
	for i := range l.entries {
		policies = append(policies, make(i, f))
	}
	o := outcomes{classes: slices.Repeat([]classOutcomes{{}}, l.classCount())}
	jobs := map[string]*job{}
	type later struct {
		at time.Duration
		do func(now time.Duration)
	}
	var timers []later
	after := func(at time.Duration, do func(now time.Duration)) { timers = append(timers, later{at, do}) }
	weight := func(j *job) float64 {
		if l.competition != nil {
			return l.classes[j.class].credit
		}
		return 0.3 + 0.7*float64(j.prompt+10*j.answer)/1900
	}
	var deliver func(now time.Duration, vs []Verdict)
	offer := func(now time.Duration, j *job) {
		deliver(now, policies[j.entry].Offer(simStart.Add(now), Request{
			ID: j.id, Service: "svc", PromptTokens: j.prompt, AnswerTokens: j.answer, FirstRequestedAt: simStart.Add(j.asked),
			Objective: j.objective, Deadline: simStart.Add(j.asked + simDeadline), Kind: strconv.Itoa(j.class), Priority: j.class,
		}))
	}
	deliver = func(now time.Duration, vs []Verdict) {
		for _, v := range vs {
			j := jobs[v.ID]
			if v.Reason == ReasonLessUrgent {
				o.classes[j.class].heldBack++
			}
			if v.Decision == Placed {
				after(now+networkLatency, func(time.Duration) { e := byID[v.Target.ID]; e.queue = append(e.queue, j) })
				continue
			}
			if j.returned || now+v.RetryAfter > j.asked+simDeadline/2 {
				o.refused++
				earned := 0.0
				if j.returned {
					earned = -secondRefusalCost * weight(j)
				}
				o.credit += earned
				o.classes[j.class].refuse(earned)
				continue
			}
			j.returned = true
			after(now+v.RetryAfter, func(now time.Duration) { offer(now, j) })
		}
	}
	next, n := time.Duration(0), 0
	for now := time.Duration(0); now < l.length+simDeadline; now += simStep {
		for next <= now && next < l.length {
			j := &job{id: strconv.Itoa(n), entry: n % l.entries, asked: next, objective: l.objective}
			l.draw(rng, j)
			j.unread = j.prompt
			jobs[j.id] = j
			n++
			o.asked++
			o.window(next).asked++
			o.maxCredit += weight(j)
			o.classes[j.class].ask(j, weight(j))
			if j.prompt > largePrompt {
				o.largeAsked++
			}
			offer(now, j)
			next += time.Duration(rng.ExpFloat64() / (l.perSecond * l.demand(next)) * float64(time.Second))
		}
		due := timers
		timers = nil
		for _, d := range due {
			if d.at > now {
				timers = append(timers, d)
				continue
			}
			d.do(now)
		}
		for _, e := range sims {
			e.step(now, func(j *job) {
				after(now+networkLatency, func(now time.Duration) { deliver(now, policies[j.entry].AnswerBegan(simStart.Add(now), j.id)) })
			}, func(j *job) {
				earned := weight(j) / 4
				on := j.first+networkLatency-j.asked <= j.objective
				if on {
					o.onTime++
					o.window(j.asked).onTime++
					if j.prompt > largePrompt {
						o.largeOnTime++
					}
					earned = weight(j)
				} else {
					o.late++
				}
				o.credit += earned
				o.classes[j.class].serve(j, on, earned)
				if j.prompt > largePrompt {
					o.largeServed++
				}
				after(now+networkLatency, func(now time.Duration) {
					deliver(now, policies[j.entry].RequestEnded(simStart.Add(now), j.id, ResultDone))
				})
			})
		}
		if l.competition != nil && now%totalsEvery == 0 {
			l.exchange(now, policies, after)
		}
		if now%reportEvery == 0 {
			for _, e := range sims {
				r := LoadReport{Alive: true, Active: len(e.active), Queued: len(e.queue), Slowness: 1, ServedVersion: 1, Loading: e.busy(now), Listeners: len(policies)}
				after(now+networkLatency, func(now time.Duration) {
					for _, p := range policies {
						deliver(now, p.Report(simStart.Add(now), e.id, r))
					}
				})
			}
		}
		if now%TickEvery == 0 {
			for _, p := range policies {
				deliver(now, p.Tick(simStart.Add(now)))
			}
		}
	}
	return o
}

// fewestRequests is the baseline policy. It chooses the target with the fewest of the
// entry's own requests, and refuses for a second once each has limit requests.
type fewestRequests struct {
	limit   int
	targets []facts.Target
	own     map[string]int
	at      map[string]string
}

func newFewestRequests(f *facts.Facts, limit int) *fewestRequests {
	return &fewestRequests{limit: limit, targets: f.Targets, own: map[string]int{}, at: map[string]string{}}
}

func (c *fewestRequests) Offer(_ time.Time, w Request) []Verdict {
	best := -1
	for i, t := range c.targets {
		if best < 0 || c.own[t.ID] < c.own[c.targets[best].ID] {
			best = i
		}
	}
	t := c.targets[best]
	if c.own[t.ID] >= c.limit {
		return []Verdict{{ID: w.ID, Decision: Refused, RetryAfter: time.Second}}
	}
	c.own[t.ID]++
	c.at[w.ID] = t.ID
	return []Verdict{{ID: w.ID, Decision: Placed, Target: t}}
}

func (c *fewestRequests) AnswerBegan(time.Time, string) []Verdict { return nil }

func (c *fewestRequests) RequestEnded(_ time.Time, id string, _ Result) []Verdict {
	c.own[c.at[id]]--
	return nil
}

func (c *fewestRequests) Report(time.Time, string, LoadReport) []Verdict { return nil }
func (c *fewestRequests) Tick(time.Time) []Verdict                       { return nil }

func newSimPlacer(entry int, f *facts.Facts) policy {
	p := &Placer{
		Zone:    simZones[entry%len(simZones)],
		Regions: map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"},
		Rand:    rand.New(rand.NewPCG(uint64(entry), 7)),
	}
	p.Update(simStart, f)
	return p
}
