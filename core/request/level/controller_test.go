package level

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func work(urgent, usual, least float64) [Priorities]float64 {
	return [Priorities]float64{0: urgent, 3: usual, 9: least}
}

// Guards against a level that starves the least urgent, that admits them before the more
// urgent, or that is in force without a shortage.
func TestLevelOfDemand(t *testing.T) {
	tests := []struct {
		name  string
		own   Rates
		total Totals
		want  State
	}{
		{"no demand", Rates{}, Totals{}, State{}},
		{
			"refused without capacity, but nothing less urgent was placed",
			Rates{Offered: work(10, 0, 0), Placed: work(6, 0, 0), Crowded: work(4, 0, 0)},
			Totals{},
			State{},
		},
		{
			"only the least urgent are refused",
			Rates{Offered: work(5, 5, 10), Placed: work(5, 5, 5), Crowded: work(0, 0, 5)},
			Totals{},
			State{},
		},
		{
			"half of the demand fits",
			Rates{Offered: work(10, 10, 20), Placed: work(5, 5, 10), Crowded: work(5, 5, 10)},
			Totals{},
			// Of 40, .94 of 20 fit, and .7 of that begins at first: .0987 of each, and the
			// rest from the most urgent on.
			State{InForce: true, Shares: [Priorities]float64{0: 1, 3: .119, 9: .099}},
		},
		{
			"own demand fits, that of all entries does not",
			Rates{Offered: work(1, 0, 0), Placed: work(1, 0, 0)},
			Totals{Entries: 2, Rates: Rates{Offered: work(10, 0, 30), Placed: work(5, 0, 15), Crowded: work(5, 0, 15)}},
			State{InForce: true, Shares: [Priorities]float64{0: 1, 9: .105}},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var c Controller
			got := c.Update(start, tc.own, tc.total)
			if tc.want.InForce {
				// Priorities without demand have the share that new demand would get.
				for p := range Priorities {
					if tc.total.Offered[p]+tc.own.Offered[p] == 0 {
						got.Shares[p] = 0
					}
				}
			}
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateApprox(0, .001)); diff != "" {
				t.Errorf("level (-want +got):\n%s", diff)
			}
		})
	}
}

// fluid is a model without queues: work beyond the capacity is refused at once, the same
// part of each priority. Every entry has a controller of its own.
type fluid struct {
	entries         []Controller
	capacity        float64
	offered         [Priorities]float64
	delayed         []Rates
	placed, crowded float64 // means of the second half of a run
	// unavoidable is the part of what is placed that lacks capacity at any load.
	unavoidable float64
}

// run lets time pass in steps of the interval of the totals, which arrive two steps later.
func (f *fluid) run(now *time.Time, length time.Duration) {
	const step = 250 * time.Millisecond
	n := float64(len(f.entries))
	end, steps := now.Add(length), float64(length/2/step)
	f.placed, f.crowded = 0, 0
	for ; now.Before(end); *now = now.Add(step) {
		r := Rates{Offered: f.offered}
		admitted := 0.0
		for i := range f.entries {
			s := f.entries[i].State()
			for p := range Priorities {
				share := 1.0
				if s.InForce {
					share = s.Shares[p]
				}
				r.Placed[p] += share * f.offered[p] / n
				admitted += share * f.offered[p] / n
			}
		}
		fits := min(1, f.capacity/max(admitted, 1e-9))
		for p := range Priorities {
			r.Crowded[p] = r.Placed[p] * max(1-fits, f.unavoidable)
			r.Placed[p] *= fits
		}
		if end.Sub(*now) <= length/2 {
			f.placed += sum(&r.Placed) / steps
			f.crowded += sum(&r.Crowded) / steps
		}
		f.delayed = append(f.delayed, r)
		if len(f.delayed) < 6 {
			continue
		}
		var mean Rates
		for _, old := range f.delayed[len(f.delayed)-6 : len(f.delayed)-2] {
			mean.Add(&old)
		}
		for p := range Priorities {
			mean.Offered[p], mean.Placed[p], mean.Crowded[p] = mean.Offered[p]/4, mean.Placed[p]/4, mean.Crowded[p]/4
		}
		for i := range f.entries {
			f.entries[i].Update(*now, Rates{}, Totals{Entries: len(f.entries), Rates: mean})
		}
	}
}

// Guards against a level that leaves capacity unused or admits more than fits, whether
// demand or capacity change, and against one that stays in force.
func TestLevelFollowsDemandAndCapacity(t *testing.T) {
	for _, entries := range []int{1, 300} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			f := &fluid{entries: make([]Controller, entries), capacity: 100}
			now := start
			steps := []struct {
				name             string
				length           time.Duration
				capacity, demand float64
			}{
				{"within capacity", 20 * time.Second, 100, 90},
				{"one and a half times", 20 * time.Second, 100, 150},
				{"step to twice that", 5 * time.Second, 100, 300},
				{"no engine for a while", 3 * time.Second, 0, 300},
				{"engines back", 20 * time.Second, 100, 300},
				{"half of the capacity lost", 10 * time.Second, 50, 300},
				{"a tenth left", 30 * time.Second, 10, 300},
				{"capacity back", 40 * time.Second, 100, 300},
				{"demand over", 20 * time.Second, 100, 90},
			}
			for _, s := range steps {
				f.capacity, f.offered = s.capacity, work(.3*s.demand, .4*s.demand, .3*s.demand)
				f.run(&now, s.length)
				if fits := min(s.capacity, s.demand); fits > 0 && (f.placed < .85*fits || f.crowded > .15*fits) {
					t.Errorf("%s: %.1f placed and %.1f refused of %.0f that fit", s.name, f.placed, f.crowded, fits)
				}
			}
			if f.entries[0].State().InForce {
				t.Error("the level is in force without a shortage")
			}
		})
	}
}

// Guards against a level that falls without end where requests are late for another reason
// than the load, as on a slow network.
func TestLevelKeepsHalfWhereLoadIsNotTheCause(t *testing.T) {
	f := &fluid{entries: make([]Controller, 1), capacity: 100, offered: work(30, 40, 30), unavoidable: .3}
	now := start
	f.run(&now, 2*time.Minute)
	if f.placed < leastAmount*100-1 {
		t.Errorf("%.1f of 100 placed, want half at least", f.placed)
	}
}

// Guards against admitted requests that come in clusters, and against a share that is not
// met by a caller's few requests.
func TestAdmittedRequestsAreSpacedEvenly(t *testing.T) {
	c := Controller{state: State{InForce: true, Shares: [Priorities]float64{0: 1, 3: .35, 9: .1}}}
	for priority, share := range map[int]float64{-1: 1, 3: .35, 12: .1} {
		admitted := 0
		for n := range 200 {
			if c.Admit(priority) {
				admitted++
			}
			if due := share * float64(n+1); math.Abs(float64(admitted)-due) > 1+1e-9 {
				t.Fatalf("priority %d: %d of %d admitted, want %.1f", priority, admitted, n+1, due)
			}
		}
	}
}

// Guards against rates that include what is older than a second, or that miss the present.
func TestMeterCoversTheLastSecond(t *testing.T) {
	var m Meter
	steps := []struct {
		after time.Duration
		add   Kind
		want  Rates
	}{
		{0, Offered, Rates{Offered: work(0, 0, 1)}},
		{500 * time.Millisecond, Placed, Rates{Offered: work(0, 0, 1), Placed: work(0, 0, 1)}},
		{949 * time.Millisecond, Placed, Rates{Offered: work(0, 0, 1), Placed: work(0, 0, 2)}},
		{1000 * time.Millisecond, Crowded, Rates{Placed: work(0, 0, 2), Crowded: work(0, 0, 1)}},
		{9 * time.Second, Offered, Rates{Offered: work(0, 0, 1)}},
	}
	for _, s := range steps {
		now := start.Add(s.after)
		m.Add(now, s.add, Priorities, 1)
		if diff := cmp.Diff(s.want, m.Rates(now)); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", s.after, diff)
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	totals := Totals{Entries: 300, Rates: Rates{Offered: work(100, 100, 200), Placed: work(50, 50, 100), Crowded: work(50, 50, 100)}}
	var c Controller
	for i := range b.N {
		c.Update(start.Add(time.Duration(i)*time.Millisecond), Rates{}, totals)
	}
}

func BenchmarkAdmit(b *testing.B) {
	c := Controller{state: State{InForce: true, Shares: [Priorities]float64{3: .35}}}
	for range b.N {
		c.Admit(3)
	}
}

func BenchmarkMeter(b *testing.B) {
	var m Meter
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		m.Add(now, Offered, 3, .1)
		if i%100 == 0 {
			m.Rates(now)
		}
	}
}

// Guards against callers who are held back, and engines that are left with free slots, because a
// few more urgent requests lack capacity as the others do.
func TestFewUrgentRequestsHoldNobodyBack(t *testing.T) {
	var r Rates
	r.Offered[0], r.Placed[0], r.Crowded[0] = 4, 3, 1
	r.Offered[1], r.Placed[1], r.Crowded[1] = 96, 72, 24
	var c Controller
	if s := c.Update(start, r, Totals{Entries: 16, Rates: r}); s.InForce {
		t.Errorf("shares %v for 4 in 100 that are more urgent", s.Shares[:2])
	}
	r.Offered[0], r.Placed[0], r.Crowded[0] = 40, 30, 10
	if s := c.Update(start, r, Totals{Entries: 16, Rates: r}); !s.InForce || s.Shares[0] != 1 || s.Shares[1] >= 1 {
		t.Errorf("in force %t, shares %v for 29 in 100 that are more urgent", s.InForce, s.Shares[:2])
	}
}

// Guards against engines that were added, and stay idle since the level grows slowly.
func TestLevelEndsSoonWithFreeSlots(t *testing.T) {
	var r Rates
	r.Offered[0], r.Placed[0], r.Crowded[0] = 40, 30, 10
	r.Offered[1], r.Placed[1], r.Crowded[1] = 60, 45, 15
	var c Controller
	c.Update(start, r, Totals{Entries: 16, Rates: r})
	r.Placed, r.Crowded = r.Offered, [Priorities]float64{}
	c.SetSlots(10, 4)
	const step = 100 * time.Millisecond
	for at := step; at <= 2*time.Second; at += step {
		if s := c.Update(start.Add(at), r, Totals{Entries: 16, Rates: r}); !s.InForce {
			return
		}
	}
	t.Error("the level is in force 2 s after engines with free slots were added")
}
