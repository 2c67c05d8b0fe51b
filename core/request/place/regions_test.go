package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

// threeRegions returns facts with engines in three zones, each a region of its own, and a
// placer of an entry in the given zone.
func threeRegions(zone string, each int) (*facts.Facts, *Placer) {
	f := zonedFacts(3, each)
	p := testPlacer(f)
	p.Zone, p.Regions = zone, map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"}
	p.targets = nil
	p.Update(start, f)
	return f, p
}

// ways lists the ways on which a request reaches a target: when it is offered, once it has
// waited, after another request has ended or a target has reported, and when a begun answer
// is moved.
var ways = []struct {
	name  string
	place func(p *Placer, now time.Time, w Request) []Verdict
}{
	{"offer", func(p *Placer, now time.Time, w Request) []Verdict { return p.Offer(now, w) }},
	{"resumed", func(p *Placer, now time.Time, w Request) []Verdict {
		w.Resumed = true
		return p.Offer(now, w)
	}},
	{"tick", func(p *Placer, now time.Time, w Request) []Verdict {
		waitInQueue(p, now, w)
		return p.Tick(now)
	}},
	{"report", func(p *Placer, now time.Time, w Request) (out []Verdict) {
		waitInQueue(p, now, w)
		for id := range p.targets {
			out = append(out, p.Report(now, id, LoadReport{Alive: true, ServedVersion: 1})...)
		}
		return out
	}},
	{"end of another request", func(p *Placer, now time.Time, w Request) (out []Verdict) {
		for id := range p.targets {
			p.active["at "+id] = &activeRequest{request: Request{Service: "svc"}, target: p.targets[id], since: now}
		}
		waitInQueue(p, now, w)
		for id := range p.targets {
			out = append(out, p.RequestEnded(now, "at "+id, ResultDone)...)
		}
		return out
	}},
	{"handover of a silent target's answer", func(p *Placer, now time.Time, w Request) []Verdict {
		w.Resumed = true
		v, _ := p.Reassign(now, w)
		return []Verdict{v}
	}},
	{"relocation", func(p *Placer, now time.Time, w Request) []Verdict {
		w.Resumed = true
		v, _ := p.Relocate(now, w, time.Second)
		return []Verdict{v}
	}},
}

func waitInQueue(p *Placer, now time.Time, w Request) {
	s := p.service(w.Service)
	s.waiting = append(s.waiting, &waitingRequest{request: w, since: now})
}

// Guards against a request that reaches a target outside its allowed regions or in an
// evacuated zone, on any way and whatever state the other targets are in.
func TestNoWayLeadsOutOfTheAllowedRegions(t *testing.T) {
	regionSets := [][]string{nil, {"r0"}, {"r1"}, {"r0", "r2"}, {"elsewhere"}, {}}
	targetStates := map[string]func(t *facts.Target){
		"sound":     func(*facts.Target) {},
		"leaving":   func(t *facts.Target) { t.Leaving = true },
		"old":       func(t *facts.Target) { t.Serving = map[string]uint64{} },
		"evacuated": func(t *facts.Target) { t.Evacuated = true },
	}
	for _, way := range ways {
		for _, regions := range regionSets {
			for stateName, setState := range targetStates {
				for _, entryZone := range []string{"z0", "z1"} {
					name := fmt.Sprintf("%s, regions %q, targets of z1 %s, entry in %s", way.name, regions, stateName, entryZone)
					f, p := threeRegions(entryZone, 20)
					for i := range f.Targets {
						if f.Targets[i].Zone == "z1" {
							setState(&f.Targets[i])
						}
					}
					p.Update(start, f)
					w := testRequest("1")
					if regions != nil {
						w.Regions = table.OnlyRegions(regions...)
					}
					for _, v := range way.place(p, start, w) {
						if v.Decision != Placed {
							continue
						}
						if !w.Regions.Allows(p.Regions[v.Target.Zone]) || v.Target.Evacuated {
							t.Errorf("%s: placed in %s", name, v.Target.Zone)
						}
					}
				}
			}
		}
	}
}

// Guards against refusals whose reason hides that the operator has excluded all targets,
// and against requests that wait for targets that they may not use.
func TestRefusalNamesRegionsAndEvacuation(t *testing.T) {
	tests := []struct {
		name      string
		regions   table.AllowedRegions
		evacuated []string
		want      string
	}{
		{"no target in the region", table.OnlyRegions("r9"), nil, "1 refused noTargetInAllowedRegions"},
		{"the only allowed zone is evacuated", table.OnlyRegions("r1"), []string{"z1"}, "1 refused zoneEvacuated"},
		{"all zones are evacuated", table.AllowedRegions{}, []string{"z0", "z1", "z2"}, "1 refused zoneEvacuated"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f, p := threeRegions("z0", 2)
			evacuate(f, tc.evacuated...)
			p.Update(start, f)
			w := testRequest("1")
			w.Regions = tc.regions
			got := p.Offer(start, w)
			if diff := cmp.Diff([]string{tc.want}, decisions(got)); diff != "" {
				t.Fatalf("verdicts (-want +got):\n%s", diff)
			}
			if got[0].RetryAfter <= 0 {
				t.Error("the caller is not told when to come back")
			}
		})
	}
}

func evacuate(f *facts.Facts, zones ...string) {
	for i, t := range f.Targets {
		for _, z := range zones {
			f.Targets[i].Evacuated = f.Targets[i].Evacuated || t.Zone == z
		}
	}
}

// Guards against requests that wait on for a zone whose evacuation has just begun.
func TestWaitingRequestLeavesEvacuatedZone(t *testing.T) {
	f, p := threeRegions("z0", 2)
	w := testRequest("1")
	w.Regions = table.OnlyRegions("r1")
	waitInQueue(p, start, w)
	evacuate(f, "z1")
	if diff := cmp.Diff([]string{"1 refused zoneEvacuated"}, decisions(p.Update(start, f))); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// Guards against an entry that refuses requests for a distant region once the few targets
// there that it listens to are full.
func TestDistantRegionIsUsedBeyondTheSubset(t *testing.T) {
	_, p := threeRegions("z0", 200)
	w := testRequest("")
	w.Regions = table.OnlyRegions("r1")
	targets := map[string]bool{}
	for i := range 200 {
		w.ID = fmt.Sprint(i)
		for _, v := range p.Offer(start, w) {
			targets[v.Target.ID] = true
		}
	}
	if len(targets) < 100 {
		t.Errorf("200 requests were placed at %d targets of the region, want over 100 of 200", len(targets))
	}
}

// Guards against an entry of an evacuated zone that keeps to the few targets of other zones
// that it uses beside those of its own.
func TestSubsetMakesUpForEvacuatedZone(t *testing.T) {
	f := zonedFacts(3, 100)
	evacuate(f, "z1")
	usable := 0
	for i, kept := range Subset("entry", "z1", f.Targets) {
		if kept && !f.Targets[i].Evacuated {
			usable++
		}
	}
	if usable < ownZoneTargets {
		t.Errorf("the entry uses %d targets outside its zone, want %d", usable, ownZoneTargets)
	}
}
