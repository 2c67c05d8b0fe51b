package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/level"
	"hawthornferry/core/request/table"
)

// The path of the totals in the simulation.
const (
	totalsEvery   = 250 * time.Millisecond
	totalsDelay   = 250 * time.Millisecond
	totalsUseable = time.Second
)

// way is how admission by priority is decided in a simulated run.
type way string

const (
	// wayOrder orders only what waits at an entry, wayOwn admits by each entry's own
	// demand, and wayTotals by that of all entries.
	wayOrder  way = "order only"
	wayOwn    way = "own rates"
	wayTotals way = "totals"
	// wayKnown admits by the demand and the capacity of the whole run.
	wayKnown way = "known"
)

// simClass is a class of requests. Its index is its priority.
type simClass struct {
	prompt, answer int
	objective      time.Duration
	credit         float64
	perSecond      float64
}

// competition is the part of a scenario in which classes of requests compete.
type competition struct {
	way     way
	classes []simClass
	// factor multiplies the demand of a class at a time, nil for 1.
	factor func(now time.Duration, class int) float64
	// entryWeight weighs the demand of a class at an entry, nil for 1.
	entryWeight func(now time.Duration, class, entry int) float64
	// reaches reports whether the totals that an entry gets include another's demand, nil
	// for all. An entry that is not even reached by its own gets none.
	reaches func(now time.Duration, from, to int) bool
}

// rushEngine and rushClasses are those of a large deployment whose callers compete.
var rushEngine = &table.Engine{
	Model: "m", Slots: 12, TokensPerPass: 7, StepTime: 6730 * time.Microsecond,
	StepTimePerSequence: 21900 * time.Nanosecond, StepTimePerThousandTokens: 6800 * time.Nanosecond,
	PrefillTokensPerSecond: 30600, MeanPromptTokens: 902, MeanAnswerTokens: 124,
}

var rushClasses = []simClass{
	{prompt: 1290, answer: 147, objective: 400 * time.Millisecond, credit: 3.7, perSecond: .333},
	{prompt: 787, answer: 147, objective: 400 * time.Millisecond, credit: 1.7, perSecond: .374},
	{prompt: 607, answer: 70, objective: 800 * time.Millisecond, credit: .51, perSecond: .293},
}

const rushEngines = 24

// rush returns a scenario of competing classes whose demand is the given multiple of the
// engines' capacity.
func rush(w way, load float64, entries int, length time.Duration) scenario {
	work := 0.0
	for _, c := range rushClasses {
		work += c.perSecond * c.work(rushEngine)
	}
	return scenario{
		engine: rushEngine, engines: rushEngines, entries: entries, length: length,
		perSecond:   load * rushEngines / work,
		competition: &competition{way: w, classes: rushClasses},
	}
}

// work is the mean of the engine seconds that a request of the class takes.
func (c simClass) work(e *table.Engine) float64 {
	return float64(c.prompt)/e.PrefillTokensPerSecond + float64(c.answer)/float64(e.TokensPerPass)*passTime(e, e.Slots).Seconds()/float64(e.Slots)
}

func (c *competition) classCount() int {
	if c == nil {
		return 1
	}
	return len(c.classes)
}

// routes returns a route of each priority, which turns the admission level on.
func (c *competition) routes() []table.Route {
	if c == nil || c.way == wayOrder || c.way == wayKnown {
		return nil
	}
	var out []table.Route
	for priority := range c.classes {
		out = append(out, table.Route{Priority: priority, TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}}})
	}
	return out
}

func (c *competition) classDemand(now time.Duration, class int) float64 {
	if c.factor == nil {
		return c.classes[class].perSecond
	}
	return c.classes[class].perSecond * c.factor(now, class)
}

// demand is the demand at a time as a multiple of the scenario's perSecond.
func (c *competition) demand(now time.Duration) float64 {
	if c == nil {
		return 1
	}
	sum := 0.0
	for class := range c.classes {
		sum += c.classDemand(now, class)
	}
	return sum
}

// draw sets the size of a request, and its class and entry where classes compete.
func (l scenario) draw(rng *rand.Rand, j *job) {
	c := simClass{prompt: 979, answer: 92, objective: l.objective}
	if l.competition != nil {
		j.class = pick(rng, len(l.classes), func(i int) float64 { return l.classDemand(j.asked, i) })
		if l.entryWeight != nil {
			j.entry = pick(rng, l.entries, func(i int) float64 { return l.entryWeight(j.asked, j.class, i) })
		}
		c = l.classes[j.class]
		j.objective = c.objective
	}
	size := rng.NormFloat64()
	switch {
	case size > 1.2816:
		j.size = sizeLargest
	case size > .5244:
		j.size = sizeLarge
	}
	j.prompt = min(int(float64(c.prompt)*math.Exp(size*0.8-0.32)), c.prompt*3880/979)
	j.answer = max(5, min(int(float64(c.answer)*math.Exp(rng.NormFloat64()*0.8-0.32)), c.answer*250/92))
}

// pick draws one of n by weight.
func pick(rng *rand.Rand, n int, weight func(i int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	at := rng.Float64() * sum
	for i := range n {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return n - 1
}

// exchange sends the demand of the entries to each other.
func (c *competition) exchange(now time.Duration, policies []policy, after func(at time.Duration, do func(now time.Duration))) {
	if c.way != wayTotals {
		return
	}
	var own []level.Rates
	for _, p := range policies {
		own = append(own, p.(*Placer).Rates(simStart.Add(now))["svc"])
	}
	for to, p := range policies {
		var t level.Totals
		for from := range own {
			if c.reaches == nil || c.reaches(now, from, to) {
				t.Entries++
				t.Add(&own[from])
			}
		}
		if t.Entries == 0 {
			continue
		}
		after(now+totalsDelay, func(now time.Duration) {
			p.(*Placer).SetTotals(simStart.Add(now), "svc", t, simStart.Add(now+totalsUseable))
		})
	}
}

// classOutcomes is what the callers of one class got.
type classOutcomes struct {
	onTime, late, refused int
	// heldBack counts those that the admission level refused when they were new.
	heldBack      int
	owed, earned  float64
	asked, served [sizeClasses]int
}

func (o *classOutcomes) ask(j *job, credit float64) {
	o.owed += credit
	o.asked[j.size]++
}

func (o *classOutcomes) refuse(earned float64) {
	o.refused++
	o.earned += earned
}

func (o *classOutcomes) serve(j *job, onTime bool, earned float64) {
	o.earned += earned
	o.served[j.size]++
	if onTime {
		o.onTime++
	} else {
		o.late++
	}
}

func (o *classOutcomes) share() float64 { return o.earned / max(o.owed, 1e-9) }

// bound returns the credit that can be earned at most, as a share of that owed, if the
// demand and the capacity are known and engines are never idle.
func (l scenario) bound() float64 {
	owed, earned := 0.0, 0.0
	for now := time.Duration(0); now < l.length; now += 100 * time.Millisecond {
		left := float64(l.engines)
		classes := slices.Clone(l.classes)
		for i := range classes {
			classes[i].perSecond = l.perSecond * l.classDemand(now, i)
		}
		slices.SortFunc(classes, func(a, b simClass) int {
			return -int(math.Copysign(1, a.credit/a.work(l.engine)-b.credit/b.work(l.engine)))
		})
		for _, c := range classes {
			served := min(c.perSecond, left/c.work(l.engine))
			left -= served * c.work(l.engine)
			owed += c.perSecond * c.credit
			earned += served * c.credit
		}
	}
	return earned / owed
}

// count is the number of requests of the class.
func (o *classOutcomes) count() int { return o.onTime + o.late + o.refused }

// admitted is the share of the requests that the level let begin.
func (o *classOutcomes) admitted() float64 {
	return 1 - float64(o.heldBack)/float64(max(1, o.count()))
}

// servedShare is the share of the requests of the given sizes that were served.
func (o *classOutcomes) servedShare(sizes ...sizeClass) float64 {
	asked, served := 0, 0
	for _, s := range sizes {
		asked += o.asked[s]
		served += o.served[s]
	}
	return float64(served) / float64(max(1, asked))
}

// knowing is a policy that admits by the demand and the capacity of the scenario, which no
// entry knows, and places as the Placer does.
type knowing struct {
	*Placer
	load scenario
	due  [level.Priorities]float64
}

// knownShare is the share of the capacity that knowing admits: the one with the highest
// credit among .8 to 1.05.
const knownShare = .95

// placerOf returns the policy of an entry by the scenario's way.
func (l scenario) placerOf(entry int, f *facts.Facts) policy {
	p := newSimPlacer(entry, f)
	if l.way == wayKnown {
		return &knowing{Placer: p.(*Placer), load: l}
	}
	return p
}

func (k *knowing) Offer(now time.Time, w Request) []Verdict {
	if !w.objectivePassed(now) {
		k.due[w.Priority] += k.share(now.Sub(simStart), w.Priority)
		if k.due[w.Priority] < 1 {
			return []Verdict{{ID: w.ID, Decision: Refused, Reason: ReasonLessUrgent, RetryAfter: w.retryAfter()}}
		}
		k.due[w.Priority]--
	}
	return k.Placer.Offer(now, w)
}

// share allocates the capacity with the same floor and order as package level.
func (k *knowing) share(now time.Duration, priority int) float64 {
	var offered []float64
	total := 0.0
	for i, c := range k.load.classes {
		offered = append(offered, k.load.perSecond*k.load.classDemand(now, i)*c.work(k.load.engine))
		total += offered[i]
	}
	amount := min(total, knownShare*float64(k.load.engines))
	floor := .3 * amount / total
	rest := amount - floor*total
	for _, o := range offered[:priority] {
		rest -= min(rest, (1-floor)*o)
	}
	return floor + min(rest/offered[priority], 1-floor)
}
