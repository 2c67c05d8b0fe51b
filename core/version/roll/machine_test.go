package roll

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
)

const (
	oldVersion = chunk.Digest("old")
	newVersion = chunk.Digest("new")
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func facts() Facts {
	return Facts{
		Want: Want{
			Revision: 2,
			Service:  envdoc.Service{Name: "helper", Floor: 1},
			Placed:   true,
			Manifest: newVersion,
		},
		Verified:    true,
		TargetKnown: true,
		Target:      Target{Boot: "b1", Serving: oldVersion, LastOrder: 4},
	}
}

func TestStepBlocked(t *testing.T) {
	tests := []struct {
		name string
		edit func(f *Facts)
		want Reason
	}{
		{"served", func(f *Facts) { f.Target.Serving = newVersion }, ReasonServed},
		{"not placed", func(f *Facts) { f.Want.Placed = false }, ReasonNotPlaced},
		{"unverified", func(f *Facts) { f.Verified = false }, ReasonUnverified},
		{"target silent", func(f *Facts) { f.TargetKnown = false }, ReasonTargetSilent},
		{"target busy", func(f *Facts) { f.Target.Loading = oldVersion }, ReasonTargetBusy},
		{"draining", func(f *Facts) { f.Draining = true }, ReasonDraining},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := facts()
			tc.edit(&f)
			var m Machine
			got := m.Step(start, f)
			if diff := cmp.Diff(none(tc.want), got); diff != "" {
				t.Errorf("Step (-want +got):\n%s", diff)
			}
		})
	}
}

// Callers of a zone with two replicas see none serving if both load at once.
// The answers below arrive after a side asked; each case names the state in
// which the other replica was met.
func TestAnsweredKeepsFloor(t *testing.T) {
	serving := Status{Name: "b", Phase: PhaseIdle, Serving: oldVersion, Wanted: newVersion, Revision: 2}
	order := Action{Kind: ActionOrder, Manifest: newVersion, Number: 5, Reason: ReasonFloorHolds}
	tests := []struct {
		name  string
		after time.Duration
		edit  func(s *Status)
		want  Action
	}{
		{"serves", 0, func(*Status) {}, order},
		{"asks too", 0, func(s *Status) { s.Phase = PhaseAsking }, none(ReasonFloor)},
		{"loads", 0, func(s *Status) { s.Phase = PhaseLoading }, none(ReasonFloor)},
		{"serves nothing", 0, func(s *Status) { s.Serving = "" }, none(ReasonFloor)},
		{"leaves", 0, func(s *Status) { s.Leaving = true }, none(ReasonFloor)},
		{"knows a later document", 0, func(s *Status) { s.Revision = 3; s.Wanted = oldVersion }, none(ReasonBehind)},
		{"later document, same version", 0, func(s *Status) { s.Revision = 3 }, order},
		{"asker slept", PermitLife + time.Millisecond, func(*Status) {}, none(ReasonPermitOld)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := facts()
			var m Machine
			if got := m.Step(start, f); got.Kind != ActionAsk {
				t.Fatalf("Step = %+v, want a question", got)
			}
			s := serving
			tc.edit(&s)
			f.At += tc.after
			got := m.Answered(start.Add(tc.after), f, []Status{s})
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("Answered (-want +got):\n%s", diff)
			}
		})
	}
}

// The zone stays below its floor for good if a load that was lost is never
// given again: the engine starts anew while it loads and has forgotten the
// order; the side must order once more, under the number that the new engine
// asks for.
func TestStepOrdersAgainAfterTargetRestart(t *testing.T) {
	f := facts()
	f.Target.Serving = ""
	var m Machine
	if got := m.Step(start, f); got.Kind != ActionOrder {
		t.Fatalf("first Step = %+v, want an order", got)
	}
	if got := m.Step(start, f); got.Reason != ReasonTargetBusy {
		t.Fatalf("second Step = %+v, want none while loading", got)
	}
	f.Target = Target{Boot: "b2"}
	want := Action{Kind: ActionOrder, Manifest: newVersion, Number: 1, Reason: ReasonFirstLoad}
	if diff := cmp.Diff(want, m.Step(start, f)); diff != "" {
		t.Errorf("Step after restart (-want +got):\n%s", diff)
	}
}

// A zone drops below its floor, or a side loads a version that was withdrawn: its
// machine is suspended after it asked, and the steady clock stands still for as
// long. The answers are from before the suspension, so that it has to ask again.
func TestSuspensionEndsAPermission(t *testing.T) {
	f := facts()
	var m Machine
	if got := m.Step(start, f); got.Kind != ActionAsk {
		t.Fatalf("Step = %+v, want a question", got)
	}
	f.At += PermitLife + time.Millisecond
	other := Status{Name: "b", Phase: PhaseIdle, Serving: oldVersion, Wanted: newVersion, Revision: 2}
	if diff := cmp.Diff(none(ReasonPermitOld), m.Answered(start, f, []Status{other})); diff != "" {
		t.Errorf("Answered (-want +got):\n%s", diff)
	}
	if got := m.Step(start.Add(minBackoff), f); got.Kind != ActionAsk {
		t.Errorf("Step = %+v, want a question", got)
	}
}
