package calls

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hawthornferry/core/conn/lease"
)

var testLimits = Limits{MaxAge: 3 * time.Second, Keep: time.Minute, KeyWindow: 10 * time.Second, Records: 4}

func newStart(id ID, b Binding, at time.Duration) Start {
	echo := lease.Reading{Boot: "b", At: at}
	return Start{Ticket: Ticket{Call: id, Bind: b, Service: "s", Side: "v", Issued: echo}, Echo: echo, Print: "p"}
}

func TestLedgerRefusals(t *testing.T) {
	now := 20 * time.Second
	otherBoot := newStart("x", BindTicket, now)
	otherBoot.Ticket.Issued.Boot = "a"
	leaving := newStart("x", BindFree, now)
	leaving.Refuse = ReasonLeaving
	otherPrint := newStart("done", BindTicket, now)
	otherPrint.Print = "q"
	tests := []struct {
		name  string
		start Start
		want  Action
	}{
		{"fresh", newStart("x", BindFree, now), Action{Act: ActRun}},
		{"old reading", newStart("x", BindFree, now-4*time.Second), refuse(NotRun, ReasonStale)},
		{"reading from the future", newStart("x", BindFree, now+time.Second), refuse(NotRun, ReasonStale)},
		{"leaving", leaving, refuse(NotRun, ReasonLeaving)},
		{"ticket of another boot", otherBoot, refuse(Unknown, ReasonBoot)},
		{"running", newStart("running", BindTicket, now), Action{Act: ActJoin}},
		{"done", newStart("done", BindTicket, now), Action{Act: ActReplay}},
		{"done, other request", otherPrint, refuse(NotRun, ReasonMismatch)},
		{"broken", newStart("broken", BindTicket, now), refuse(Unknown, ReasonBroken)},
		{"marked", newStart("marked", BindFree, now), refuse(NotRun, ReasonNever)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			limits := testLimits
			limits.Records = 8
			l := NewLedger("b", limits)
			for _, id := range []ID{"running", "done", "broken"} {
				l.Start(now, newStart(id, BindFree, now))
			}
			l.Settle(now, "done", StateDone)
			l.Settle(now, "broken", StateBroken)
			l.Query(now, Query{Ticket: newStart("marked", BindFree, now).Ticket, Mark: true})
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
		var sent []Start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"new", "again", "query", "settle", "wait"}).Draw(t, "step") {
			case "new":
				bind := rapid.SampledFrom([]Binding{BindFree, BindTicket}).Draw(t, "bind")
				sent = append(sent, newStart(ID(fmt.Sprint(len(sent))), bind, now))
				first := sent[len(sent)-1]
				first.Refuse = rapid.SampledFrom([]Reason{"", ReasonLeaving}).Draw(t, "refuse")
				startAndCheck(t, l, now, first, runs, never)
			case "again":
				if len(sent) > 0 {
					startAndCheck(t, l, now, rapid.SampledFrom(sent).Draw(t, "old"), runs, never)
				}
			case "query":
				if len(sent) > 0 {
					q := rapid.SampledFrom(sent).Draw(t, "asked").Ticket
					never[q.Call] = l.Query(now, Query{Ticket: q, Mark: true}) == StateNever || never[q.Call]
				}
			case "settle":
				if len(sent) > 0 {
					l.Settle(now, rapid.SampledFrom(sent).Draw(t, "ended").Ticket.Call, StateDone)
				}
			case "wait":
				now += time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second
			}
			if bound := testLimits.Records + testLimits.Records/extraMarksDivisor + 1; l.Len() > bound {
				t.Fatalf("%d records, want at most %d", l.Len(), bound)
			}
		}
	})
}

// startAndCheck starts a call and checks that it has run at most once, and not after
// it was reported never to run.
func startAndCheck(t *rapid.T, l *Ledger, now time.Duration, s Start, runs map[ID]int, never map[ID]bool) {
	id := s.Ticket.Call
	got := l.Start(now, s)
	if got.Act == ActRun {
		runs[id]++
	}
	if runs[id] > 1 || (runs[id] == 1 && never[id]) {
		t.Fatalf("call %s ran %d times, never %v", id, runs[id], never[id])
	}
	if got.Outcome == NotRun && s.Ticket.Bind != BindFree {
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
		{"answered", BindFree, func(a *Attempt) { a.On(EventSent); a.On(EventAnswered) }, Done},
		{"unsent", BindFree, func(a *Attempt) { a.On(EventUnsent) }, NotRun},
		{"bound, unsent, side gone", BindTicket, func(a *Attempt) { a.On(EventUnsent); a.On(EventGone) }, Unknown},
		{"lost, side gone", BindFree, func(a *Attempt) { a.On(EventSent); a.On(EventLost); a.On(EventGone) }, Unknown},
		{"lost, marked", BindFree, func(a *Attempt) { a.On(EventSent); a.On(EventLost); a.OnVerdict(StateNever) }, NotRun},
		{"lost, not marked", BindFree, func(a *Attempt) { a.On(EventSent); a.On(EventLost); a.OnVerdict(StateAbsent) }, Unknown},
		{"lost, done", BindFree, func(a *Attempt) {
			a.On(EventSent)
			a.On(EventLost)
			a.OnVerdict(StateDone)
			a.On(EventAnswered)
		}, Done},
		{"deadline", BindFree, func(a *Attempt) { a.On(EventSent); a.On(EventGiveUp) }, Unknown},
		{"deadline before sending", BindFree, func(a *Attempt) { a.On(EventGiveUp) }, NotRun},
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
