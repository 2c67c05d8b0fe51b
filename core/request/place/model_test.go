package place

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// The load and the engines of the model, as large as a day of the users: their
// engines' declared speeds, three zones, prompts and answers that vary as
// theirs do.
const (
	modelStep     = time.Millisecond
	modelSlots    = 16
	modelStride   = 5
	modelChunk    = 2048
	modelReadRate = 20700.0
	// slowSlots and slowReadRate are those of the slower engines of a large
	// deployment.
	slowSlots     = 8
	slowReadRate  = 13800.0
	reportEvery   = 50 * time.Millisecond
	networkWay    = 3 * time.Millisecond
	modelDeadline = 6 * time.Second
	// modelObjective is when a first event is due.
	modelObjective = 450 * time.Millisecond
	// modelLoad is how long an empty engine takes to load.
	modelLoad   = 300 * time.Millisecond
	modelWindow = 2 * time.Second
	// backInVain is what a caller loses, in answers, that comes back as it was
	// told and is refused again.
	backInVain = 0.3
)

var modelEngine = &table.Engine{
	Model: "m", Slots: modelSlots, Stride: modelStride, Step: 9270 * time.Microsecond,
	PerSequence: 23 * time.Microsecond, PerContext: 32 * time.Microsecond,
	ReadRate: modelReadRate, UsualPrompt: 979, UsualAnswer: 92,
}

// slowEngine is of a large deployment: an idle one needs most of an objective for
// its largest prompts.
var slowEngine = &table.Engine{
	Model: "m", Slots: slowSlots, Stride: modelStride, Step: 13900 * time.Microsecond,
	PerSequence: 35 * time.Microsecond, PerContext: 48 * time.Microsecond,
	ReadRate: slowReadRate, UsualPrompt: 979, UsualAnswer: 70,
}

// job is one request of the model.
type job struct {
	id        string
	entry     int
	prompt    int
	answer    int
	objective time.Duration
	asked     time.Duration
	returned  bool
	first     time.Duration // 0 until the first event
	unread    int
	written   int
}

// engineSim is one engine: it reads prompts between the passes in which it
// writes an event for each request whose prompt is read.
type engineSim struct {
	*table.Engine

	id      string
	zone    string
	active  []*job
	queue   []*job
	passEnd time.Duration
	// loadAt is when it is ordered to load a version, 0 for never, and loadEnd
	// when it has, 0 until what runs has ended.
	loadAt  time.Duration
	loadEnd time.Duration
}

// busy reports whether the engine takes nothing new since it is to load.
func (e *engineSim) busy(now time.Duration) bool {
	return e.loadAt > 0 && now >= e.loadAt && (e.loadEnd == 0 || now < e.loadEnd)
}

func (e *engineSim) step(now time.Duration, begun, done func(j *job)) {
	if e.busy(now) && len(e.active) == 0 && e.loadEnd == 0 {
		e.loadEnd = now + modelLoad
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
		j.written += modelStride
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
		n := min(j.unread, modelStride*modelChunk-read)
		j.unread -= n
		read += n
	}
	pass := time.Duration(float64(read) / e.ReadRate * float64(time.Second))
	if writers > 0 || read > 0 {
		pass += passTime(e.Engine, max(writers, 1))
	}
	e.passEnd = now + max(pass, modelStep)
}

// topPrompt is the prompt above which a tenth of the model's lie.
const topPrompt = 2000

// outcomes is what the callers of a run got, weighed by size.
type outcomes struct {
	asked, onTime, late, refused int
	credit, owed                 float64
	largeAsked, largeServed      int
	largeOnTime                  int
	// windows count the requests asked in each window, and those on time.
	windows []window
}

type window struct{ asked, onTime int }

// worst is the least share on time of any window.
func (o outcomes) worst() float64 {
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
	i := int(asked / modelWindow)
	for len(o.windows) <= i {
		o.windows = append(o.windows, window{})
	}
	return &o.windows[i]
}

func (o outcomes) share() float64 { return o.credit / o.owed }

// policyOf decides for one entry of the model; Placer is the one under test.
type policyOf interface {
	Offer(now time.Time, w Work) []Verdict
	Began(now time.Time, id string) []Verdict
	Done(now time.Time, id string, r Result) []Verdict
	Report(now time.Time, id string, r Report) []Verdict
	Tick(now time.Time) []Verdict
}

var modelStart = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// modelZones are the zones of the model; engines and entries lie in them by turns.
var modelZones = []string{"z0", "z1", "z2"}

// load is what callers ask of engines that entries share: perSecond requests a second
// for a length of time. Loads are when the engines, in order, are ordered to load a
// version.
type load struct {
	engine    *table.Engine
	objective time.Duration
	engines   int
	entries   int
	perSecond float64
	length    time.Duration
	loads     []time.Duration
}

// usualLoad is one on the model's usual engines.
func usualLoad(engines, entries int, perSecond float64, length time.Duration) load {
	return load{
		engine: modelEngine, objective: modelObjective, engines: engines, entries: entries,
		perSecond: perSecond, length: length,
	}
}

// play plays the load, with a policy of its own at each entry.
func (l load) play(make func(entry int, f *facts.Facts) policyOf) outcomes {
	rng := rand.New(rand.NewPCG(1, 2))
	t := &table.Table{Services: []table.Service{{Name: "svc", Engine: l.engine}}}
	t.Index()
	f := &facts.Facts{Table: t}
	var sims []*engineSim
	byID := map[string]*engineSim{}
	for i := range l.engines {
		e := &engineSim{Engine: l.engine, id: "i" + strconv.Itoa(i), zone: modelZones[i%len(modelZones)]}
		if i < len(l.loads) {
			e.loadAt = l.loads[i]
		}
		sims = append(sims, e)
		byID[e.id] = e
		f.Targets = append(f.Targets, facts.Target{
			ID: e.id, Service: "svc", Zone: e.zone, Slots: l.engine.Slots, Serving: map[string]uint64{"m": 1},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	var policies []policyOf
	for i := range l.entries {
		policies = append(policies, make(i, f))
	}
	var o outcomes
	jobs := map[string]*job{}
	type later struct {
		at time.Duration
		do func(now time.Duration)
	}
	var timers []later
	after := func(at time.Duration, do func(now time.Duration)) { timers = append(timers, later{at, do}) }
	size := func(j *job) float64 { return 0.3 + 0.7*float64(j.prompt+10*j.answer)/1900 }
	var deliver func(now time.Duration, vs []Verdict)
	offer := func(now time.Duration, j *job) {
		deliver(now, policies[j.entry].Offer(modelStart.Add(now), Work{
			ID: j.id, Service: "svc", Prompt: j.prompt, Answer: j.answer, Asked: modelStart.Add(j.asked),
			Objective: j.objective, Deadline: modelStart.Add(j.asked + modelDeadline),
		}))
	}
	deliver = func(now time.Duration, vs []Verdict) {
		for _, v := range vs {
			j := jobs[v.ID]
			if v.Decision == Placed {
				after(now+networkWay, func(time.Duration) { e := byID[v.Target.ID]; e.queue = append(e.queue, j) })
				continue
			}
			if j.returned || now+v.RetryAfter > j.asked+modelDeadline/2 {
				o.refused++
				if j.returned {
					o.credit -= backInVain * size(j)
				}
				continue
			}
			j.returned = true
			after(now+v.RetryAfter, func(now time.Duration) { offer(now, j) })
		}
	}
	next, n := time.Duration(0), 0
	for now := time.Duration(0); now < l.length+modelDeadline; now += modelStep {
		for next <= now && next < l.length {
			j := &job{id: strconv.Itoa(n), entry: n % l.entries, asked: next, objective: l.objective}
			j.prompt = min(int(979*math.Exp(rng.NormFloat64()*0.8-0.32)), 3880)
			j.answer = max(5, min(int(92*math.Exp(rng.NormFloat64()*0.8-0.32)), 250))
			j.unread = j.prompt
			jobs[j.id] = j
			n++
			o.asked++
			o.window(next).asked++
			o.owed += size(j)
			if j.prompt > topPrompt {
				o.largeAsked++
			}
			offer(now, j)
			next += time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second))
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
				after(now+networkWay, func(now time.Duration) { deliver(now, policies[j.entry].Began(modelStart.Add(now), j.id)) })
			}, func(j *job) {
				on := j.first+networkWay-j.asked <= j.objective
				if on {
					o.onTime++
					o.window(j.asked).onTime++
					if j.prompt > topPrompt {
						o.largeOnTime++
					}
					o.credit += size(j)
				} else {
					o.late++
					o.credit += size(j) / 4
				}
				if j.prompt > topPrompt {
					o.largeServed++
				}
				after(now+networkWay, func(now time.Duration) { deliver(now, policies[j.entry].Done(modelStart.Add(now), j.id, ResultDone)) })
			})
		}
		if now%reportEvery == 0 {
			for _, e := range sims {
				r := Report{Alive: true, Active: len(e.active), Queued: len(e.queue), Pace: 1, Serving: 1, Busy: e.busy(now), Entries: len(policies)}
				after(now+networkWay, func(now time.Duration) {
					for _, p := range policies {
						deliver(now, p.Report(modelStart.Add(now), e.id, r))
					}
				})
			}
		}
		if now%TickEvery == 0 {
			for _, p := range policies {
				deliver(now, p.Tick(modelStart.Add(now)))
			}
		}
	}
	return o
}

// counting is the baseline: the target with the fewest of the entry's own
// requests, at most limit at each, refused for a second beyond.
type counting struct {
	limit   int
	targets []facts.Target
	own     map[string]int
	at      map[string]string
}

func newCounting(f *facts.Facts, limit int) *counting {
	return &counting{limit: limit, targets: f.Targets, own: map[string]int{}, at: map[string]string{}}
}

func (c *counting) Offer(_ time.Time, w Work) []Verdict {
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

func (c *counting) Began(time.Time, string) []Verdict { return nil }

func (c *counting) Done(_ time.Time, id string, _ Result) []Verdict {
	c.own[c.at[id]]--
	return nil
}

func (c *counting) Report(time.Time, string, Report) []Verdict { return nil }
func (c *counting) Tick(time.Time) []Verdict                   { return nil }

func newModelPlacer(entry int, f *facts.Facts) policyOf {
	p := &Placer{
		Zone:    modelZones[entry%len(modelZones)],
		Regions: map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"},
		Rand:    rand.New(rand.NewPCG(uint64(entry), 7)),
	}
	p.Update(modelStart, f)
	return p
}
