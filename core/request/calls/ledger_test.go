package calls

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hawthornferry/core/conn/fresh"
)

var testLimits = Limits{MaxReadingAge: 3 * time.Second, RecordMaxAge: time.Minute, KeyWindow: 10 * time.Second, MaxRecords: 4}

func newStart(id ID, b Binding, at time.Duration) StartRequest {
	echo := fresh.ClockReading{Boot: "b", At: at}
	return StartRequest{Ticket: Ticket{CallID: id, Binding: b, Service: "s", Side: "v", Issued: echo}, EchoedReading: echo, Fingerprint: "p"}
}

func TestLedgerRefusals(t *testing.T) {
	now := 20 * time.Second
	otherBoot := newStart("x", BindTicket, now)
	otherBoot.Ticket.Issued.Boot = "a"
	leaving := newStart("x", BindFree, now)
	leaving.RefuseReason = ReasonLeaving
	otherPrint := newStart("done", BindTicket, now)
	otherPrint.Fingerprint = "q"
	tests := []struct {
		name  string
		start StartRequest
		want  Action
	}{
		{"fresh", newStart("x", BindFree, now), Action{Kind: ActionRun}},
		{"old reading", newStart("x", BindFree, now-4*time.Second), refuse(OutcomeNotRun, ReasonStaleReading)},
		{"reading from the future", newStart("x", BindFree, now+time.Second), refuse(OutcomeNotRun, ReasonStaleReading)},
		{"leaving", leaving, refuse(OutcomeNotRun, ReasonLeaving)},
		{"ticket of another boot", otherBoot, refuse(OutcomeUnknown, ReasonOtherBoot)},
		{"running", newStart("running", BindTicket, now), Action{Kind: ActionJoin}},
		{"done", newStart("done", BindTicket, now), Action{Kind: ActionReplay}},
		{"done, other request", otherPrint, refuse(OutcomeNotRun, ReasonOtherRequest)},
		{"broken", newStart("broken", BindTicket, now), refuse(OutcomeUnknown, ReasonTargetBroke)},
		{"marked", newStart("marked", BindFree, now), refuse(OutcomeNotRun, ReasonMarkedNever)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			limits := testLimits
			limits.MaxRecords = 8
			l := NewLedger("b", limits)
			for _, id := range []ID{"running", "done", "broken"} {
				l.Start(now, newStart(id, BindFree, now))
			}
			l.Settle(now, "done", StateDone)
			l.Settle(now, "broken", StateBroken)
			l.Query(now, QueryRequest{Ticket: newStart("marked", BindFree, now).Ticket, MarkNever: true})
			if diff := cmp.Diff(tc.want, l.Start(now, tc.start)); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
		})
	}
}

// Calls start, are repeated, queried, settled and delayed in random order. No ID may
// run twice, and none may run after it was reported as never to run, or as notRun for
// a bound call.
func TestLedgerRunsAnIDOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger("b", testLimits)
		now := time.Duration(0)
		runs, never := map[ID]int{}, map[ID]bool{}
		var sent []StartRequest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"new", "again", "query", "settle", "wait"}).Draw(t, "step") {
			case "new":
				bind := rapid.SampledFrom([]Binding{BindFree, BindTicket}).Draw(t, "bind")
				sent = append(sent, newStart(ID(fmt.Sprint(len(sent))), bind, now))
				first := sent[len(sent)-1]
				first.RefuseReason = rapid.SampledFrom([]Reason{"", ReasonLeaving}).Draw(t, "refuse")
				startAndCheck(t, l, now, first, runs, never)
			case "again":
				if len(sent) > 0 {
					startAndCheck(t, l, now, rapid.SampledFrom(sent).Draw(t, "old"), runs, never)
				}
			case "query":
				if len(sent) > 0 {
					q := rapid.SampledFrom(sent).Draw(t, "asked").Ticket
					never[q.CallID] = l.Query(now, QueryRequest{Ticket: q, MarkNever: true}) == StateNever || never[q.CallID]
				}
			case "settle":
				if len(sent) > 0 {
					l.Settle(now, rapid.SampledFrom(sent).Draw(t, "ended").Ticket.CallID, StateDone)
				}
			case "wait":
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
			}
			if bound := testLimits.MaxRecords + testLimits.MaxRecords/extraMarksDivisor + 1; l.Len() > bound {
				t.Fatalf("%d records, want at most %d", l.Len(), bound)
			}
		}
	})
}

// startAndCheck starts a call and checks that it has run at most once, and not after
// it was reported never to run.
func startAndCheck(t *rapid.T, l *Ledger, now time.Duration, s StartRequest, runs map[ID]int, never map[ID]bool) {
	id := s.Ticket.CallID
	got := l.Start(now, s)
	if got.Kind == ActionRun {
		runs[id]++
	}
	if runs[id] > 1 || (runs[id] == 1 && never[id]) {
		t.Fatalf("call %s ran %d times, never %v", id, runs[id], never[id])
	}
	if got.Outcome == OutcomeNotRun && s.Ticket.Binding != BindFree {
		never[id] = true
	}
}

// The outcome may be notRun only if the call never left the entry or the side has
// marked it.
func TestAttemptOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		bind    Binding
		drive   func(a *Attempt)
		outcome Outcome
	}{
		{"answered", BindFree, func(a *Attempt) { a.Apply(EventSent); a.Apply(EventAnswered) }, OutcomeDone},
		{"unsent", BindFree, func(a *Attempt) { a.Apply(EventUnsent) }, OutcomeNotRun},
		{"bound, unsent, side gone", BindTicket, func(a *Attempt) { a.Apply(EventUnsent); a.Apply(EventSideGone) }, OutcomeUnknown},
		{"lost, side gone", BindFree, func(a *Attempt) { a.Apply(EventSent); a.Apply(EventConnectionLost); a.Apply(EventSideGone) }, OutcomeUnknown},
		{"lost, marked", BindFree, func(a *Attempt) { a.Apply(EventSent); a.Apply(EventConnectionLost); a.ApplyQueryResult(StateNever) }, OutcomeNotRun},
		{"lost, not marked", BindFree, func(a *Attempt) { a.Apply(EventSent); a.Apply(EventConnectionLost); a.ApplyQueryResult(StateAbsent) }, OutcomeUnknown},
		{"lost, done", BindFree, func(a *Attempt) {
			a.Apply(EventSent)
			a.Apply(EventConnectionLost)
			a.ApplyQueryResult(StateDone)
			a.Apply(EventAnswered)
		}, OutcomeDone},
		{"deadline", BindFree, func(a *Attempt) { a.Apply(EventSent); a.Apply(EventGiveUp) }, OutcomeUnknown},
		{"deadline before sending", BindFree, func(a *Attempt) { a.Apply(EventGiveUp) }, OutcomeNotRun},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := NewAttempt(tc.bind)
			tc.drive(&a)
			if diff := cmp.Diff(Attempt{Phase: PhaseSettled, Outcome: tc.outcome, Bound: tc.bind != BindFree}, a); diff != "" {
				t.Errorf("attempt (-want +got):\n%s", diff)
			}
		})
	}
}
