package place

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestFewLeft(t *testing.T) {
	tests := []struct {
		name   string
		report LoadReport
		want   bool
	}{
		{"a few before a load", LoadReport{Alive: true, Loading: true, Active: 3}, true},
		{"many before a load", LoadReport{Alive: true, Loading: true, Active: 8}, false},
		{"none", LoadReport{Alive: true, Loading: true}, false},
		{"no load", LoadReport{Alive: true, Active: 3}, false},
		{"silent", LoadReport{Loading: true, Active: 3}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(usualEngine, 16, "a"))
			if diff := cmp.Diff(tc.want, p.NearlyDrained("a", tc.report)); diff != "" {
				t.Errorf("few left (-want +got):\n%s", diff)
			}
		})
	}
}

// interruptedRequest is an answer under way at target a that is to go on elsewhere.
func interruptedRequest(id string, newest uint64) Request {
	w := testRequest(id)
	w.PromptTokens, w.Resumed, w.NewestVersion, w.FailedTargets = 10, true, newest, []string{"a"}
	return w
}

// Guards against streams that leave a target together for the same slot, and against
// one that leaves while every other slot is taken.
func TestStreamMovesToFreeSlotOnly(t *testing.T) {
	p := testPlacer(testFacts(usualEngine, 2, "a", "b"))
	p.Report(start, "a", LoadReport{Alive: true, Loading: true, Active: 1, ServedVersion: 1})
	var got []bool
	for i := range 3 {
		_, ok := p.Relocate(start, interruptedRequest(fmt.Sprint(i), 1), maxResumeDelay)
		got = append(got, ok)
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("moved to two places (-want +got):\n%s", diff)
	}
}

// Guards against a stream that is taken from its target and lost, because the new
// target is full by then or other requests wait for it.
func TestStreamMovesToLightlyLoadedTargetOnly(t *testing.T) {
	const slots = 8
	tests := []struct {
		name    string
		active  int
		waiting bool
		want    bool
	}{
		{"half of the places taken", slots / 2, false, true},
		{"more than half taken", slots/2 + 1, false, false},
		{"others wait", slots / 2, true, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(usualEngine, slots, "a", "b"))
			p.Report(start, "a", LoadReport{Alive: true, Loading: true, Active: 1, ServedVersion: 1})
			p.Report(start, "b", LoadReport{Alive: true, ServedVersion: 1, Active: slots})
			if tc.waiting && len(p.Offer(start, testRequest("1"))) > 0 {
				t.Fatal("the request does not wait")
			}
			p.targets["b"].otherRequests = tc.active
			_, ok := p.Relocate(start, interruptedRequest("2", 1), maxResumeDelay)
			if diff := cmp.Diff(tc.want, ok); diff != "" {
				t.Errorf("moved (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against resuming a stream at an engine that is about to load and rejects it:
// Relocate does not choose it, and Offer does not while another one has room.
func TestBegunAnswerAvoidsEngineDueToLoad(t *testing.T) {
	p := testPlacer(testFacts(usualEngine, 8, "a", "b", "c"))
	p.Report(start, "a", LoadReport{Alive: true, Loading: true, Active: 1, ServedVersion: 1})
	p.Report(start, "b", LoadReport{Alive: true, ServedVersion: 1})
	p.Report(start, "c", LoadReport{Alive: true, ServedVersion: 2, Active: 6})
	_, ok := p.Relocate(start, interruptedRequest("2", 2), maxResumeDelay)
	if diff := cmp.Diff(false, ok); diff != "" {
		t.Errorf("moved with only the old version idle (-want +got):\n%s", diff)
	}
	w := testRequest("1")
	w.Resumed, w.NewestVersion, w.FailedTargets = true, 2, []string{"a"}
	if diff := cmp.Diff([]string{"1 placed c"}, decisions(p.Offer(start, w))); diff != "" {
		t.Errorf("where a begun answer goes on (-want +got):\n%s", diff)
	}
}
