package place

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestFewLeft(t *testing.T) {
	tests := []struct {
		name   string
		report Report
		want   bool
	}{
		{"a few before a load", Report{Alive: true, Busy: true, Active: 3}, true},
		{"many before a load", Report{Alive: true, Busy: true, Active: 8}, false},
		{"none", Report{Alive: true, Busy: true}, false},
		{"no load", Report{Alive: true, Active: 3}, false},
		{"silent", Report{Busy: true, Active: 3}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(modelEngine, 16, "a"))
			if diff := cmp.Diff(tc.want, p.FewLeft("a", tc.report)); diff != "" {
				t.Errorf("few left (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a stream that is taken from its target while every other place is
// taken: it would wait behind its own prompt.
func TestStreamMovesToAFreePlaceOnly(t *testing.T) {
	p := testPlacer(testFacts(modelEngine, 2, "a", "b"))
	p.Report(start, "a", Report{Alive: true, Busy: true, Active: 1, Serving: 1})
	for i := range 2 {
		if diff := cmp.Diff(true, p.Free(start, "svc", "a", 1)); diff != "" {
			t.Errorf("free with %d requests at the other (-want +got):\n%s", i, diff)
		}
		w := testWork(fmt.Sprint(i))
		w.Prompt = 10
		p.Offer(start, w)
	}
	if diff := cmp.Diff(false, p.Free(start, "svc", "a", 1)); diff != "" {
		t.Errorf("free with all places taken (-want +got):\n%s", diff)
	}
}

// Guards against a stream that is taken from its target and lost in the middle: the
// target that it goes on at is full by then, or others wait for it.
func TestStreamMovesToClearRoomOnly(t *testing.T) {
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
			p := testPlacer(testFacts(modelEngine, slots, "a", "b"))
			p.Report(start, "a", Report{Alive: true, Busy: true, Active: 1, Serving: 1})
			p.Report(start, "b", Report{Alive: true, Serving: 1, Active: slots})
			if tc.waiting && len(p.Offer(start, testWork("1"))) > 0 {
				t.Fatal("the request does not wait")
			}
			p.targets["b"].others = tc.active
			if diff := cmp.Diff(tc.want, p.Free(start, "svc", "a", 1)); diff != "" {
				t.Errorf("free (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a stream that goes on at an engine which is about to load and turns it
// away: it is neither moved there, nor sent there while another one can take it.
func TestBegunAnswerGoesWhereNoLoadIsDue(t *testing.T) {
	p := testPlacer(testFacts(modelEngine, 8, "a", "b", "c"))
	p.Report(start, "a", Report{Alive: true, Busy: true, Active: 1, Serving: 1})
	p.Report(start, "b", Report{Alive: true, Serving: 1})
	p.Report(start, "c", Report{Alive: true, Serving: 2, Active: 6})
	if diff := cmp.Diff(false, p.Free(start, "svc", "a", 2)); diff != "" {
		t.Errorf("free with only the old version idle (-want +got):\n%s", diff)
	}
	w := testWork("1")
	w.Begun, w.Newest, w.Avoid = true, 2, []string{"a"}
	if diff := cmp.Diff([]string{"1 placed c"}, decisions(p.Offer(start, w))); diff != "" {
		t.Errorf("where a begun answer goes on (-want +got):\n%s", diff)
	}
}
