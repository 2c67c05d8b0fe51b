//go:build !race

package place

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

// rushTests are the loads and failures under which the more urgent requests are to be
// served best.
func rushTests() []struct {
	name string
	load scenario
} {
	const length, change = 12 * time.Second, 4 * time.Second
	with := func(load float64, entries int, set func(c *competition)) scenario {
		l := rush(wayTotals, load, entries, length)
		if set != nil {
			set(l.competition)
		}
		return l
	}
	from := func(at time.Duration, before, after float64) func(now time.Duration) float64 {
		return func(now time.Duration) float64 {
			if now < at {
				return before
			}
			return after
		}
	}
	return []struct {
		name string
		load scenario
	}{
		{".9 times the capacity", with(.9, 12, nil)},
		{"1.1 times", with(1.1, 12, nil)},
		{"1.5 times", with(1.5, 12, nil)},
		{"2 times", with(2, 12, nil)},
		{"3 times", with(3, 12, nil)},
		{"step to twice the demand", with(.9, 12, func(c *competition) {
			step := from(change, 1, 2)
			c.factor = func(now time.Duration, _ int) float64 { return step(now) }
		})},
		{"burst of the least urgent", with(.8, 12, func(c *competition) {
			begin, end := from(change, 1, 6), from(change+3*time.Second, 1, 1./6)
			c.factor = func(now time.Duration, class int) float64 {
				if class < 2 {
					return 1
				}
				return begin(now) * end(now)
			}
		})},
		{"three times the demand in one zone", with(1.5, 12, func(c *competition) {
			c.entryWeight = func(_ time.Duration, _, entry int) float64 {
				if entry%len(simZones) == 0 {
					return 3
				}
				return 1
			}
		})},
		{"urgent callers at a third of the entries", with(1.5, 12, func(c *competition) { c.entryWeight = urgentApart })},
		{"3 entries", with(2, 3, nil)},
		{"60 entries that know of two thirds", with(1.5, 60, func(c *competition) {
			c.reaches = func(_ time.Duration, from, to int) bool { return (from+to)%3 != 0 || from == to }
		})},
		{"an entry ends", with(1.5, 6, func(c *competition) {
			weight := from(change, 1, 0)
			c.entryWeight = func(now time.Duration, _, entry int) float64 { return max(weight(now), min(1, float64(entry))) }
			c.reaches = func(now time.Duration, from, _ int) bool { return now < change || from > 0 }
		})},
		{"an entry starts", with(1.5, 6, func(c *competition) {
			weight := from(change, 0, 1)
			c.entryWeight = func(now time.Duration, _, entry int) float64 { return max(weight(now), min(1, float64(entry))) }
			c.reaches = func(now time.Duration, from, to int) bool { return now > change+time.Second || from > 0 && to > 0 }
		})},
		{"totals stop", with(1.5, 6, func(c *competition) {
			c.reaches = func(now time.Duration, _, _ int) bool { return now < change }
		})},
		{"half of the entries cut off with old totals", with(1.5, 6, func(c *competition) {
			c.reaches = func(now time.Duration, _, to int) bool { return now < change || to%2 == 0 }
		})},
	}
}

// Guards against serving the least urgent requests best under overload, since their
// objectives are long and their prompts small, and against starving them or the largest
// prompts of a class.
func TestMoreUrgentRequestsAreServedBest(t *testing.T) {
	// tolerance is how much larger the share of the credit of a less urgent class may be.
	const tolerance, floor, leastOfLarge = .05, .3, .5
	for _, tc := range rushTests() {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			o := tc.load.simulate(newSimPlacer)
			all, heldBack := 0, 0
			for _, c := range o.classes {
				all += c.count()
				heldBack += c.heldBack
			}
			for i, c := range o.classes {
				n := float64(c.count())
				t.Logf("priority %d: credit %.3f; in time %.3f, late %.3f, refused %.3f; admitted %.3f", i, c.share(),
					float64(c.onTime)/n, float64(c.late)/n, float64(c.refused)/n, c.admitted())
				if i > 0 && c.share() > o.classes[i-1].share()+tolerance {
					t.Errorf("priority %d earns %.3f of its credit, the more urgent %.3f", i, c.share(), o.classes[i-1].share())
				}
				if least := floor * (1 - float64(heldBack)/float64(all)); c.admitted() < least {
					t.Errorf("%.3f of priority %d admitted, want at least %.3f", c.admitted(), i, least)
				}
				usual := c.servedShare(sizeUsual, sizeLarge, sizeLargest)
				for _, size := range []sizeClass{sizeLarge, sizeLargest} {
					if got := c.servedShare(size); got < leastOfLarge*usual {
						t.Errorf("%.3f of size class %d of priority %d served, of all %.3f", got, size, i, usual)
					}
				}
			}
			if strings.HasPrefix(tc.name, ".9") && heldBack > 0 {
				t.Errorf("%d requests were held back though there is capacity for all", heldBack)
			}
		})
	}
}

// urgentApart sends a third of the entries the most urgent requests only, and the others
// none of them.
func urgentApart(_ time.Duration, class, entry int) float64 {
	if (class == 0) == (entry%3 == 0) {
		return 1
	}
	return 0
}

var compareSeeds = flag.Int("compare-seeds", 1, "seeds in the comparison of the ways of admission")

// Guards against an admission that earns less than the order of what waits alone. It logs
// the credit of each way, also that of one which knows all demand and the capacity.
func TestAdmissionEarnsMoreThanOrderAlone(t *testing.T) {
	tests := []struct {
		name        string
		entryWeight func(now time.Duration, class, entry int) float64
	}{{"alike", nil}, {"urgent apart", urgentApart}}
	for _, tc := range tests {
		for _, load := range []float64{.9, 1.1, 1.5, 2, 3} {
			t.Run(fmt.Sprintf("%s, %g times the capacity", tc.name, load), func(t *testing.T) {
				t.Parallel()
				credit := map[way]float64{}
				for _, w := range []way{wayOrder, wayOwn, wayTotals, wayKnown} {
					byClass := make([]float64, len(rushClasses))
					for seed := range *compareSeeds {
						l := rush(w, load, 12, 10*time.Second)
						l.seed, l.entryWeight = uint64(seed), tc.entryWeight
						o := l.simulate(l.placerOf)
						credit[w] += o.creditShare() / float64(*compareSeeds)
						for i, c := range o.classes {
							byClass[i] += c.share() / float64(*compareSeeds)
						}
					}
					t.Logf("%s %g %s: credit %.3f, by class %.3f", tc.name, load, w, credit[w], byClass)
				}
				t.Logf("%s %g never idle: credit %.3f", tc.name, load, rush(wayOrder, load, 12, time.Second).bound())
				if credit[wayTotals] < credit[wayOrder]-.01 {
					t.Errorf("totals earn %.3f, the order of what waits alone %.3f", credit[wayTotals], credit[wayOrder])
				}
			})
		}
	}
}
