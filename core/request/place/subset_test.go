package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
)

// zonedFacts has the same number of engines in each of several zones.
func zonedFacts(zones, each int) *facts.Facts {
	f := testFacts(usualEngine, 8)
	for z := range zones {
		for i := range each {
			f.Targets = append(f.Targets, facts.Target{
				ID: fmt.Sprintf("z%d-%d", z, i), Service: "svc", Zone: fmt.Sprintf("z%d", z), Slots: 8,
				Serving: map[string]uint64{"m": 1},
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)}), 80),
			})
		}
	}
	return f
}

func subsetOf(entry, zone string, f *facts.Facts) []string {
	var out []string
	for i, kept := range Subset(entry, zone, f.Targets) {
		if kept {
			out = append(out, f.Targets[i].ID)
		}
	}
	return out
}

// Guards against an entry whose cost grows with the fleet: the number of targets whose
// reports it receives is bounded. Without a bound, sending and receiving the reports of
// all targets takes most of the processors of 35 entries and 204 sides.
func TestSubsetDoesNotGrowWithTheFleet(t *testing.T) {
	tests := []struct {
		name        string
		zones, each int
		want        int
	}{
		{"small: all", 3, 8, 24},
		{"three zones, as many as a large zone: all", 3, 15, 45},
		{"one zone, not the entry's", 1, 200, ownZoneTargets},
		{"five zones", 5, 41, 41 + 4*otherZoneTargets},
		{"large zones", 5, 256, ownZoneTargets + 4*otherZoneTargets},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if got := len(subsetOf("entry", "z1", zonedFacts(tc.zones, tc.each))); got != tc.want {
				t.Errorf("the entry keeps to %d targets, want %d", got, tc.want)
			}
		})
	}
}

// Guards against targets that are in no entry's subset and would stay idle. With 7
// entries in each of 5 zones, each target is used by those of its own zone and a few
// others.
func TestEveryTargetIsInSomeSubsets(t *testing.T) {
	f := zonedFacts(5, 41)
	by := map[string]int{}
	for z := range 5 {
		for i := range 7 {
			for _, id := range subsetOf(fmt.Sprintf("entry%d-%d", z, i), fmt.Sprintf("z%d", z), f) {
				by[id]++
			}
		}
	}
	for _, target := range f.Targets {
		if n := by[target.ID]; n < 7 || n > 7+15 {
			t.Errorf("%d entries keep to %s, want 7 of its own zone and at most 15 others", n, target.ID)
		}
	}
}

// Guards against a leaving target that takes the place of a serving one in the subset.
func TestLeavingTargetIsNotCountedInSubset(t *testing.T) {
	const each = 60
	f := zonedFacts(2, each)
	for i := range f.Targets {
		f.Targets[i].Leaving = i >= each && i%2 == 0
	}
	live := 0
	for i, kept := range Subset("entry", "z0", f.Targets) {
		if kept && i >= each && !f.Targets[i].Leaving {
			live++
		}
	}
	if live != otherZoneTargets {
		t.Errorf("the entry keeps to %d targets of the other zone that do not leave, want %d", live, otherZoneTargets)
	}
}

// Guards against refusing callers while engines outside the entry's subset are free.
// The entry uses those if none in its subset is usable.
func TestTargetsOutsideSubsetServeWhenSubsetCannot(t *testing.T) {
	f := zonedFacts(2, 60)
	p := &Placer{Name: "entry", Zone: "z0", Regions: map[string]string{"z0": "r0", "z1": "r1"}, Rand: rand.New(rand.NewPCG(1, 1))}
	p.Update(start, f)
	kept := subsetOf("entry", "z0", f)
	for _, id := range kept[1:] {
		p.Report(start, id, LoadReport{})
	}
	v := p.Offer(start, testRequest("1"))[0]
	if diff := cmp.Diff(kept[0], v.Target.ID); diff != "" {
		t.Errorf("while one of its own serves (-want +got):\n%s", diff)
	}
	p.Report(start, kept[0], LoadReport{})
	v = p.Offer(start, testRequest("2"))[0]
	if v.Decision != Placed || cmp.Equal(kept[0], v.Target.ID) {
		t.Errorf("when none of its own serves: got %v, want it at another target", decisions([]Verdict{v}))
	}
}

// Guards against entries that use too much of the bound on repeated requests. Each has
// a part of it by the number of entries, of which a side sees only some.
func TestCensusCountsEntriesThatASideDoesNotHear(t *testing.T) {
	const zones, entries = 5, 7
	for _, each := range []int{4, 8, 24, 41, 100} {
		f := zonedFacts(zones, each)
		own, other := map[string]int{}, map[string]int{}
		for z := range zones {
			for i := range entries {
				zone := fmt.Sprintf("z%d", z)
				for _, id := range subsetOf(fmt.Sprintf("entry%d-%d", z, i), zone, f) {
					if id[:2] == zone {
						own[id]++
					} else {
						other[id]++
					}
				}
			}
		}
		var c EntryEstimator
		for i, kept := range Subset("entry0-0", "z0", f.Targets) {
			if kept {
				target := f.Targets[i]
				c.Record(target.Address.Addr(), own[target.ID], other[target.ID], each, zones)
			}
		}
		if got, want := float64(c.Entries()), float64(zones*entries); math.Abs(got-want) > want/5 {
			t.Errorf("%d targets a zone: %g entries, want %g within a fifth", each, got, want)
		}
	}
}

// Guards against a request that waits although a target that reports has room for it.
// An event leads to a check of its own target only; all others are checked at the next
// tick.
func TestWaitingWorkIsPlacedByAReport(t *testing.T) {
	p := testPlacer(testFacts(usualEngine, 8, "a", "b"))
	full := LoadReport{Alive: true, ServedVersion: 1, Active: 8}
	p.Report(start, "a", full)
	p.Report(start, "b", full)
	if vs := p.Offer(start, testRequest("1")); len(vs) != 0 {
		t.Fatalf("got %v, want the request to wait", decisions(vs))
	}
	now := start.Add(20 * time.Millisecond)
	if diff := cmp.Diff([]string(nil), decisions(p.Report(now, "a", full))); diff != "" {
		t.Errorf("by a report of a full target (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"1 placed b"}, decisions(p.Report(now, "b", LoadReport{Alive: true, ServedVersion: 1, Active: 2}))); diff != "" {
		t.Errorf("by a report of one with room (-want +got):\n%s", diff)
	}
}

// Guards against requests to a target that was removed from the list. A request that
// ends there frees a slot, which a waiting request would take.
func TestRemovedTargetGetsNoRequests(t *testing.T) {
	tests := []struct {
		name   string
		engine bool
	}{{"engine", true}, {"plain", false}}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			engine := usualEngine
			if !tc.engine {
				engine = nil
			}
			both := testFacts(engine, 1, "a", "b")
			p := testPlacer(both)
			placed := 0
			for i := 0; len(p.Offer(start, testRequest(fmt.Sprint(i)))) > 0; i++ {
				placed++
			}
			only := *both
			only.Targets = both.Targets[1:]
			p.Update(start, &only)
			now := start.Add(time.Millisecond)
			for i := range placed {
				id := fmt.Sprint(i)
				if r := p.active[id]; r == nil || r.target.ID != "a" {
					continue
				}
				for _, v := range append(p.AnswerBegan(now, id), p.RequestEnded(now, id, ResultDone)...) {
					if v.Target.ID == "a" {
						t.Errorf("request %s was placed at the target that is gone", v.ID)
					}
				}
			}
		})
	}
}

// BenchmarkReport processes a report while twenty requests wait for engines that are
// full, as on a busy day: 8 us at 30 and at 300 targets. The time must not grow with the
// number of targets, since a report leads to a check of its own target only. With a
// check of all targets for each report it is 121 us at 30 and 1.26 ms at 300.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := zonedFacts(5, n/5)
			p := &Placer{Name: "entry", Zone: "z0", Regions: map[string]string{}, Rand: rand.New(rand.NewPCG(1, 1))}
			p.Update(start, f)
			full := LoadReport{Alive: true, ServedVersion: 1, Active: 8, Slowness: 1}
			for _, t := range f.Targets {
				p.Report(start, t.ID, full)
			}
			for i := range 20 {
				p.Offer(start, testRequest(fmt.Sprint(i)))
			}
			for i := 0; b.Loop(); i++ {
				p.Report(start, f.Targets[i%len(f.Targets)].ID, full)
			}
		})
	}
}
