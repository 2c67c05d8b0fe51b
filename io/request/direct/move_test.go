package direct

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/resend"
	"hawthornferry/core/request/spend"
	"hawthornferry/core/request/table"
)

// Guards against an engine that stands empty for a second before it loads, but for
// one long stream that could go on elsewhere.
func TestLastStreamsLeaveATargetThatWaitsToLoad(t *testing.T) {
	waits := place.Report{Alive: true, Busy: true, Active: 1, Serving: 1}
	tests := []struct {
		name       string
		repeatable bool
		begun      bool
		report     place.Report
		want       bool
	}{
		{"stream under way", true, true, waits, true},
		{"not begun", true, false, waits, false},
		{"must not run again", false, true, waits, false},
		{"no load", true, true, place.Report{Alive: true, Active: 1, Serving: 1}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newGuarded(t)
			w.server.Placer = &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}
			w.server.Rules.Retry = spend.Budget{Ratio: 1, Slack: 100, Window: time.Second}
			w.server.init()
			w.server.desk.update(engines("a", "b"))
			w.q.target = "a"
			w.q.tries = resend.Tries{Repeatable: tc.repeatable, Most: 2}
			w.q.tries.Sent()
			w.send()
			if tc.begun {
				w.guard.heard()
			}
			w.server.Report("a", tc.report)
			var why error
			select {
			case why = <-w.guard.moves:
			default:
			}
			if diff := cmp.Diff(tc.want, errors.Is(why, errLoading)); diff != "" {
				t.Errorf("to be moved (-want +got):\n%s", diff)
			}
		})
	}
}

// engines are idle engines that serve version 1.
func engines(ids ...string) *facts.Facts {
	t := &table.Table{Services: []table.Service{{Name: "svc", Engine: &table.Engine{Model: "m", Slots: 16, ReadRate: 1000, Stride: 1}}}}
	t.Index()
	f := &facts.Facts{Table: t}
	for i, id := range ids {
		f.Targets = append(f.Targets, facts.Target{
			ID: id, Service: "svc", Zone: "z", Slots: 16, Serving: map[string]uint64{"m": 1},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
		})
	}
	return f
}
