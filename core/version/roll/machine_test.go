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
		WeightsVerified: true,
		TargetKnown:     true,
		Target:          Target{Boot: "b1", Serving: oldVersion, LastOrder: 4},
	}
}

func TestStepBlocked(t *testing.T) {
	tests := []struct {
		name string
		edit func(f *Facts)
		want Reason
	}{
		{"served", func(f *Facts) { f.Target.Serving = newVersion }, ReasonAlreadyServed},
		{"not placed", func(f *Facts) { f.Want.Placed = false }, ReasonNotPlaced},
		{"unverified", func(f *Facts) { f.WeightsVerified = false }, ReasonUnverified},
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
			if diff := cmp.Diff(noAction(tc.want), got); diff != "" {
				t.Errorf("Step (-want +got):\n%s", diff)
			}
		})
	}
}

// If the two replicas of a zone load at the same time, none serves. Each case names the
// state in which the other replica was when it answered.
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
		{"asks too", 0, func(s *Status) { s.Phase = PhaseAsking }, noAction(ReasonFloor)},
		{"loads", 0, func(s *Status) { s.Phase = PhaseLoading }, noAction(ReasonFloor)},
		{"serves nothing", 0, func(s *Status) { s.Serving = "" }, noAction(ReasonFloor)},
		{"leaves", 0, func(s *Status) { s.Leaving = true }, noAction(ReasonFloor)},
		{"knows a later document", 0, func(s *Status) { s.Revision = 3; s.Wanted = oldVersion }, noAction(ReasonOlderRevision)},
		{"later document, same version", 0, func(s *Status) { s.Revision = 3 }, order},
		{"asker was suspended", PermitLifetime + time.Millisecond, func(*Status) {}, noAction(ReasonPermitExpired)},
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
			f.ReadAt += tc.after
			got := m.AnswersReceived(start.Add(tc.after), f, []Status{s})
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("Answered (-want +got):\n%s", diff)
			}
		})
	}
}

// A zone stays below its floor for good if a lost load is never ordered again. Here the
// engine is restarted while it loads and has lost the order; the side must order again,
// with a number that the restarted engine accepts.
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

// A zone drops below its floor, or a side loads a version that was withdrawn, if a machine
// is suspended after its side asked: the monotonic clock stops meanwhile, and the answers
// are older than they seem. The side must ask again.
func TestPermissionExpiresDuringSuspension(t *testing.T) {
	f := facts()
	var m Machine
	if got := m.Step(start, f); got.Kind != ActionAsk {
		t.Fatalf("Step = %+v, want a question", got)
	}
	f.ReadAt += PermitLifetime + time.Millisecond
	other := Status{Name: "b", Phase: PhaseIdle, Serving: oldVersion, Wanted: newVersion, Revision: 2}
	if diff := cmp.Diff(noAction(ReasonPermitExpired), m.AnswersReceived(start, f, []Status{other})); diff != "" {
		t.Errorf("Answered (-want +got):\n%s", diff)
	}
	if got := m.Step(start.Add(minAskBackoff), f); got.Kind != ActionAsk {
		t.Errorf("Step = %+v, want a question", got)
	}
}
