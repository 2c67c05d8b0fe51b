package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/trail"
)

// Guards against refusals that cannot be explained afterwards. Callers of a plain
// service are refused as full: one target is leaving, one has just failed, and the
// third has all the requests that it may have. The refusal counts each case.
func TestRefusalCountsCandidates(t *testing.T) {
	f := testFacts(nil, 1, "a", "b", "c")
	f.Targets[0].Leaving = true
	p := testPlacer(f)
	first := p.Offer(start, testRequest("1"))[0]
	p.RequestEnded(start, "1", ResultFailed)
	for i := range 1 + queueAllowance {
		if v := p.Offer(start, testRequest(fmt.Sprint("w", i)))[0]; v.Decision != Placed || v.Target.ID == first.Target.ID {
			t.Fatalf("request %d: got %v, want it at the target that has not failed", i, decisions([]Verdict{v}))
		}
	}
	late := testRequest("late")
	late.Objective = 300 * time.Millisecond
	if vs := p.Offer(start, late); len(vs) != 0 {
		t.Fatalf("got %v, want the request to wait", decisions(vs))
	}
	got := p.Tick(start.Add(late.Objective / 2))
	if diff := cmp.Diff([]string{"late refused full"}, decisions(got)); diff != "" {
		t.Fatalf("decision (-want +got):\n%s", diff)
	}
	want := trail.CandidateCounts{Targets: 3, Usable: 1, Requests: 3, Waiting: 1, Leaving: 1, Paused: 1}
	if diff := cmp.Diff(want, got[0].Candidates); diff != "" {
		t.Errorf("candidates of the refusal (-want +got):\n%s", diff)
	}
}

// Guards against refusals that do not show which engine was excluded for what. Of three
// engines one is loading, one does not answer, and one still serves the version before
// the required one.
func TestRefusalCountsEngineExclusions(t *testing.T) {
	p := testPlacer(testFacts(usualEngine, 16, "a", "b", "c"))
	p.Report(start, "a", LoadReport{Alive: true, Loading: true, ServedVersion: 1})
	p.Report(start, "b", LoadReport{})
	p.Report(start, "c", LoadReport{Alive: true, ServedVersion: 1})
	w := testRequest("1")
	w.Limits = []VersionLimit{{Version: 2, Until: start}}
	got := p.Offer(start, w)
	if diff := cmp.Diff([]string{"1 refused noTarget"}, decisions(got)); diff != "" {
		t.Fatalf("decision (-want +got):\n%s", diff)
	}
	want := trail.CandidateCounts{Targets: 3, Silent: 1, Loading: 1, OldVersion: 1}
	if diff := cmp.Diff(want, got[0].Candidates); diff != "" {
		t.Errorf("candidates of the refusal (-want +got):\n%s", diff)
	}
}

// Guards against refusing a late request as full while engines have free slots. A
// caller that was refused comes back late; late requests may use only half of the
// slots. The refusal must not say full, which would be untrue of a service that has
// room.
func TestLateWorkIsNotRefusedAsFull(t *testing.T) {
	const slots = 4
	p := testPlacer(testFacts(usualEngine, slots, "a"))
	p.Report(start, "a", LoadReport{Alive: true, ServedVersion: 1, Active: slots / 2})
	w := testRequest("1")
	w.FirstRequestedAt = start.Add(-time.Second)
	got := p.Offer(start, w)
	if diff := cmp.Diff([]string{"1 refused noRoomForLate"}, decisions(got)); diff != "" {
		t.Fatalf("decision (-want +got):\n%s", diff)
	}
	want := trail.CandidateCounts{Targets: 1, Usable: 1, FreePlaces: slots / 2, Requests: slots / 2}
	if diff := cmp.Diff(want, got[0].Candidates); diff != "" {
		t.Errorf("candidates of the refusal (-want +got):\n%s", diff)
	}
}

// Guards against sending a request to an engine on an old version that would begin it
// only after the limit. It would be ended there and sent again.
func TestOldVersionIsNotUsedPastItsLimit(t *testing.T) {
	tests := []struct {
		name string
		left time.Duration
		want Decision
	}{
		{"time to begin", time.Second, Placed},
		{"over before the first answer", 20 * time.Millisecond, ""},
		{"over", -time.Millisecond, Refused},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(usualEngine, 16, "a"))
			p.Report(start, "a", LoadReport{Alive: true, ServedVersion: 1})
			w := testRequest("1")
			w.Limits = []VersionLimit{{Version: 2, Until: start.Add(tc.left)}}
			var got Decision
			for _, v := range p.Offer(start, w) {
				got = v.Decision
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a trial of a blocked request that reaches a target which it is not for, or that
// waits while the targets which it is for are paused or full.
func TestTrialIsPlacedAtItsTargetsOrRefused(t *testing.T) {
	p := testPlacer(testFacts(nil, 1, "a", "b", "c"))
	trialAt := func(id string, targets ...string) Request {
		w := testRequest(id)
		w.Objective, w.OnlyTargets = time.Second, targets
		return w
	}
	check := func(offer Request, want string) {
		t.Helper()
		if diff := cmp.Diff([]string{want}, decisions(p.Offer(start, offer))); diff != "" {
			t.Errorf("decision (-want +got):\n%s", diff)
		}
	}
	check(trialAt("first", "a"), "first placed a")
	p.RequestEnded(start, "first", ResultFailed)
	for i := range 1 + queueAllowance {
		id := fmt.Sprint(i)
		check(trialAt(id, "a"), id+" placed a")
	}
	check(trialAt("more", "a"), "more refused full")
	check(trialAt("gone", "d"), "gone refused full")
	check(trialAt("other", "d", "b"), "other placed b")
}
