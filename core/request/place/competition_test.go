package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

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
	// entryWeight weighs the demand at an entry, nil for 1.
	entryWeight func(now time.Duration, entry int) float64
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

const rushEngines = 36

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
	if c == nil || c.way == wayOrder {
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
			j.entry = pick(rng, l.entries, func(i int) float64 { return l.entryWeight(j.asked, i) })
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
		own = append(own, p.(leveled).Rates(simStart.Add(now))["svc"])
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
			p.(leveled).SetTotals(simStart.Add(now), "svc", t, simStart.Add(now+totalsUseable))
		})
	}
}

// classOutcomes is what the callers of one class got.
type classOutcomes struct {
	onTime, late, refused int
	owed, earned          float64
	asked, served         [sizeClasses]int
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

func TestCompareWays(t *testing.T) {
	for _, load := range []float64{.9, 1.1, 1.5, 2, 3} {
		for _, w := range []way{wayOrder, wayOwn, wayTotals} {
			l := rush(w, load, 12, 15*time.Second)
			o := l.simulate(newSimPlacer)
			t.Logf("%.1f %-10s credit %.3f bound %.3f", load, w, o.creditShare(), l.bound())
			for i, c := range o.classes {
				n := float64(c.onTime + c.late + c.refused)
				t.Logf("   class %d: share %.3f in time %.3f late %.3f refused %.3f; large %.3f %.3f", i, c.share(), float64(c.onTime)/n, float64(c.late)/n, float64(c.refused)/n,
					float64(c.served[sizeLargest])/float64(c.asked[sizeLargest]), float64(c.served[sizeLarge])/float64(c.asked[sizeLarge]))
			}
		}
	}
}

// leveled is a policy with an admission level.
type leveled interface {
	Rates(now time.Time) map[string]level.Rates
	SetTotals(now time.Time, service string, t level.Totals, until time.Time)
}

// knowing is a policy that admits by the demand and the capacity of the scenario, which no
// entry knows, and places as the Placer does.
type knowing struct {
	*Placer
	l     scenario
	share float64
	due   []float64
}

func (k *knowing) Offer(now time.Time, w Request) []Verdict {
	if now.Sub(w.FirstRequestedAt) < w.Objective {
		k.due[w.Priority] += k.shares(now.Sub(simStart))[w.Priority]
		if k.due[w.Priority] < 1 {
			return []Verdict{{ID: w.ID, Decision: Refused, Reason: ReasonLessUrgent, RetryAfter: w.retryAfter()}}
		}
		k.due[w.Priority]--
	}
	return k.Placer.Offer(now, w)
}

func (k *knowing) shares(now time.Duration) []float64 {
	total := 0.0
	for i, c := range k.l.classes {
		total += k.l.perSecond * k.l.classDemand(now, i) * c.work(k.l.engine)
	}
	amount := min(total, k.share*float64(k.l.engines))
	floor := .3 * amount / total
	rest := amount - floor*total
	var out []float64
	for i, c := range k.l.classes {
		offered := k.l.perSecond * k.l.classDemand(now, i) * c.work(k.l.engine)
		give := min(rest, (1-floor)*offered)
		rest -= give
		out = append(out, floor+give/offered)
	}
	return out
}
