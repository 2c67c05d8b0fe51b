package direct

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/budget"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/resend"
	"hawthornferry/core/request/table"
)

// Guards against an engine that stays almost empty for a second before it loads a
// version, because of one long stream that could continue elsewhere.
func TestLastStreamsMoveFromTargetWaitingToLoad(t *testing.T) {
	waitingToLoad := place.LoadReport{Alive: true, Loading: true, Active: 1, ServedVersion: 1}
	tests := []struct {
		name       string
		repeatable bool
		begun      bool
		report     place.LoadReport
		want       bool
	}{
		{"stream under way", true, true, waitingToLoad, true},
		{"response not begun", true, false, waitingToLoad, false},
		{"not repeatable", false, true, waitingToLoad, false},
		{"not waiting to load", true, true, place.LoadReport{Alive: true, Active: 1, ServedVersion: 1}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWatchdogTest(t)
			w.server.Placer = &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}
			w.server.Rules.RetryBudget = budget.Budget{Ratio: 1, Slack: 100, Window: time.Second}
			w.server.init()
			w.server.dispatcher.update(idleEngines("a", "b"))
			w.q.targetID = "a"
			w.q.tries = resend.AttemptTracker{Repeatable: tc.repeatable, MaxAttempts: 2}
			w.q.tries.Sent()
			w.start()
			if tc.begun {
				w.watchdog.received()
			}
			w.server.Report("a", tc.report)
			var cause error
			select {
			case cause = <-w.watchdog.handoverRequests:
			default:
			}
			if diff := cmp.Diff(tc.want, errors.Is(cause, errLoading)); diff != "" {
				t.Errorf("handover requested (-want +got):\n%s", diff)
			}
		})
	}
}

// idleEngines returns facts with idle engines that serve version 1.
func idleEngines(ids ...string) *facts.Facts {
	t := &table.Table{Services: []table.Service{{Name: "svc", Engine: &table.Engine{Model: "m", Slots: 16, PrefillTokensPerSecond: 1000, TokensPerPass: 1}}}}
	t.BuildIndex()
	f := &facts.Facts{Table: t}
	for i, id := range ids {
		f.Targets = append(f.Targets, facts.Target{
			ID: id, Service: "svc", Zone: "z", Slots: 16, Serving: map[string]uint64{"m": 1},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
		})
	}
	return f
}
