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

func startOf(id ID, b Binding, at time.Duration) Start {
	echo := lease.Reading{Boot: "b", At: at}
	return Start{Ticket: Ticket{Call: id, Bind: b, Service: "s", Side: "v", Issued: echo}, Echo: echo, Print: "p"}
}

func TestLedgerRefusals(t *testing.T) {
	now := 20 * time.Second
	otherBoot := startOf("x", BindTicket, now)
	otherBoot.Ticket.Issued.Boot = "a"
	leaving := startOf("x", BindFree, now)
	leaving.Refuse = ReasonLeaving
	otherPrint := startOf("done", BindTicket, now)
	otherPrint.Print = "q"
	tests := []struct {
		name  string
		start Start
		want  Action
	}{
		{"fresh", startOf("x", BindFree, now), Action{Act: ActRun}},
		{"old reading", startOf("x", BindFree, now-4*time.Second), refuse(NotRun, ReasonStale)},
		{"reading from the future", startOf("x", BindFree, now+time.Second), refuse(NotRun, ReasonStale)},
		{"leaving", leaving, refuse(NotRun, ReasonLeaving)},
		{"ticket of another boot", otherBoot, refuse(Unknown, ReasonBoot)},
		{"running", startOf("running", BindTicket, now), Action{Act: ActJoin}},
		{"done", startOf("done", BindTicket, now), Action{Act: ActReplay}},
		{"done, other request", otherPrint, refuse(NotRun, ReasonMismatch)},
		{"broken", startOf("broken", BindTicket, now), refuse(Unknown, ReasonBroken)},
		{"marked", startOf("marked", BindFree, now), refuse(NotRun, ReasonNever)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			limits := testLimits
			limits.Records = 8
			l := NewLedger("b", limits)
			for _, id := range []ID{"running", "done", "broken"} {
				l.Start(now, startOf(id, BindFree, now))
			}
			l.Settle(now, "done", StateDone)
			l.Settle(now, "broken", StateBroken)
			l.Query(now, Query{Ticket: startOf("marked", BindFree, now).Ticket, Mark: true})
			if diff := cmp.Diff(tc.want, l.Start(now, tc.start)); diff != "" {
				t.Errorf("action (-want +got):\n%s", diff)
			}
		})
	}
}

// Starts, queries, ends and pauses come in any order, also old ones again. No
// ID is run twice, and none that was said to be never or notRun for a bound
// call is run afterwards.
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
				sent = append(sent, startOf(ID(fmt.Sprint(len(sent))), bind, now))
				first := sent[len(sent)-1]
				first.Refuse = rapid.SampledFrom([]Reason{"", ReasonLeaving}).Draw(t, "refuse")
				act(t, l, now, first, runs, never)
			case "again":
				if len(sent) > 0 {
					act(t, l, now, rapid.SampledFrom(sent).Draw(t, "old"), runs, never)
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
			if bound := testLimits.Records + testLimits.Records/marksOver + 1; l.Len() > bound {
				t.Fatalf("%d records, want at most %d", l.Len(), bound)
			}
		}
	})
}

func act(t *rapid.T, l *Ledger, now time.Duration, s Start, runs map[ID]int, never map[ID]bool) {
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

// The attempt settles as notRun only where the call never left or the side
// has marked it.
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
