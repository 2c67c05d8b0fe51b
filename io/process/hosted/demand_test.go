package hosted

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/level"
	"hawthornferry/core/request/table"
	"hawthornferry/io/process/loads"
	"hawthornferry/io/request/direct"
)

// demandRecorder stands in for the server and for the connections to sides.
type demandRecorder struct {
	sent map[netip.AddrPort]loads.Demand
}

func (*demandRecorder) Demand() (map[string]level.Rates, map[string]level.State) {
	return map[string]level.Rates{"svc": {}}, nil
}
func (*demandRecorder) SetDemandTotals(string, direct.DemandTotals) {}
func (*demandRecorder) DemandEntries(string) int                    { return 1 }
func (*demandRecorder) Connected(netip.AddrPort) bool               { return true }
func (r *demandRecorder) SendDemand(side netip.AddrPort, d loads.Demand) {
	r.sent[side] = d
}

func (*demandRecorder) DescribeLevel(string, level.State, ...int) *trail.AdmissionLevel { return nil }

// Guards against connections, messages and metrics in deployments that do not need them, and
// against entries that are counted by sides whose load reports they do not use.
func TestDemandIsToldOnlyWhereThereArePriorities(t *testing.T) {
	engine := &table.Engine{Slots: 4, TokensPerPass: 5, StepTime: 20 * time.Millisecond, PrefillTokensPerSecond: 1000}
	own := netip.MustParseAddrPort("10.0.0.1:7")
	tests := []struct {
		name       string
		engine     *table.Engine
		priorities []int
		collectors int
	}{
		{"two priorities", engine, []int{0, 2}, 3},
		{"one priority", engine, []int{1, 1}, 0},
		{"no engine", nil, []int{0, 2}, 0},
		{"an engine without a speed", &table.Engine{Slots: 4}, []int{0, 2}, 0},
	}
	for _, tc := range tests {
		f := &facts.Facts{Table: &table.Table{Services: []table.Service{{Name: "svc", Engine: tc.engine}}}}
		for i, p := range tc.priorities {
			f.Table.Routes = append(f.Table.Routes, table.Route{Priority: p, TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}}})
			for n := range 2 {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(n + 1)}), 80)
				f.Targets = append(f.Targets, facts.Target{Service: "svc", Zone: fmt.Sprint("z", i), Address: a})
			}
		}
		f.Table.BuildIndex()
		r := &demandRecorder{sent: map[netip.AddrPort]loads.Demand{}}
		d := &demandReports{uptime: func() time.Duration { return time.Hour }, metrics: tally.NoopScope, sidePort: 7, source: r, sender: r}
		sides := d.setTargets(f, []netip.AddrPort{own})
		d.tick()
		if len(r.sent) != tc.collectors || tc.collectors == 0 && (len(sides) != 1 || len(d.gauges) > 0) {
			t.Errorf("%s: %d collectors were told, %d sides and %d gauges; want %d collectors", tc.name, len(r.sent), len(sides), len(d.gauges), tc.collectors)
		}
		for side, m := range r.sent {
			if !slices.Contains(sides, side) || m.DemandOnly != (side != own) {
				t.Errorf("%s: collector %s is among the sides %v, and needed only for demand: %t", tc.name, side, sides, m.DemandOnly)
			}
		}
	}
}

// Guards against a side that sends only heartbeats for good, since it was a collector when this
// entry did not need its load reports yet.
func TestFormerCollectorIsAskedForLoadReports(t *testing.T) {
	side := netip.MustParseAddrPort("10.0.0.1:7")
	r := &demandRecorder{sent: map[netip.AddrPort]loads.Demand{}}
	d := &demandReports{
		uptime: func() time.Duration { return time.Hour }, metrics: tally.NoopScope, source: r, sender: r,
		demandOnly: map[netip.AddrPort]string{side: "svc"},
	}
	d.setTargets(&facts.Facts{Table: &table.Table{}}, []netip.AddrPort{side})
	for range 2 {
		d.tick()
	}
	if m, told := r.sent[side]; !told || m.DemandOnly || m.Service != "svc" || d.active() {
		t.Errorf("told %t: %+v, active %t", told, m, d.active())
	}
}
