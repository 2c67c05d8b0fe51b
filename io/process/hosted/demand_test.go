package hosted

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/level"
	"hawthornferry/core/request/table"
	"hawthornferry/io/process/loads"
	"hawthornferry/io/request/direct"
)

// demandTest stands in for what is around a demandReports: the server, the connections to
// sides and the log.
type demandTest struct {
	*demandReports
	now    time.Duration
	rates  map[string]level.Rates
	levels map[string]level.State
	totals map[string]direct.DemandTotals
	sent   map[netip.AddrPort][]loads.Demand
	lines  []trail.Decision
}

func newDemandTest() *demandTest {
	t := &demandTest{
		rates: map[string]level.Rates{"svc": {}}, levels: map[string]level.State{}, totals: map[string]direct.DemandTotals{},
		sent: map[netip.AddrPort][]loads.Demand{},
	}
	t.demandReports = &demandReports{
		clock: clockwork.NewFakeClock(), uptime: func() time.Duration { return t.now }, log: t, metrics: tally.NewTestScope("", nil),
		sidePort: 7, source: t, sender: t,
	}
	return t
}

func (t *demandTest) Demand() (map[string]level.Rates, map[string]level.State) {
	return t.rates, t.levels
}

func (t *demandTest) SetDemandTotals(service string, d direct.DemandTotals) { t.totals[service] = d }

func (t *demandTest) DemandEntries(service string) int { return t.totals[service].Totals.Entries }

func (t *demandTest) Record(d trail.Decision)       { t.lines = append(t.lines, d) }
func (t *demandTest) Connected(netip.AddrPort) bool { return true }

func (t *demandTest) DescribeLevel(string, level.State, ...int) *trail.AdmissionLevel {
	return &trail.AdmissionLevel{}
}

func (t *demandTest) SendDemand(side netip.AddrPort, d loads.Demand) {
	t.sent[side] = append(t.sent[side], d)
}

// engineFacts returns a service of engines with two targets in each of two zones, and a route
// to it for each priority.
func engineFacts(engine *table.Engine, priorities ...int) *facts.Facts {
	f := &facts.Facts{Table: &table.Table{Services: []table.Service{{Name: "svc", Engine: engine}}}}
	for _, p := range priorities {
		f.Table.Routes = append(f.Table.Routes, table.Route{Priority: p, TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}}})
	}
	f.Table.BuildIndex()
	for i := range 4 {
		a := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
		f.Targets = append(f.Targets, facts.Target{Service: "svc", Zone: []string{"z1", "z2"}[i/2], Address: netip.AddrPortFrom(a, 80)})
	}
	return f
}

// Guards against connections, messages and gauges in deployments that do not need them, and
// against entries that are counted by sides whose load reports they do not use.
func TestDemandIsToldOnlyWhereThereArePriorities(t *testing.T) {
	engine := &table.Engine{Slots: 4, PrefillTokensPerSecond: 1000}
	tests := []struct {
		name       string
		engine     *table.Engine
		priorities []int
		collectors int
	}{
		{"two priorities", engine, []int{0, 2}, 3},
		{"one priority", engine, []int{1, 1}, 0},
		{"no engine", nil, []int{0, 2}, 0},
	}
	own := netip.MustParseAddrPort("10.0.0.1:7")
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			d := newDemandTest()
			sides := d.setTargets(engineFacts(tc.engine, tc.priorities...), []netip.AddrPort{own})
			d.tick()
			if diff := cmp.Diff(tc.collectors, len(d.sent)); diff != "" {
				t.Errorf("collectors that were told (-want +got):\n%s", diff)
			}
			for side, messages := range d.sent {
				if !slices.Contains(sides, side) {
					t.Errorf("no connection to collector %s", side)
				}
				if diff := cmp.Diff(side != own, messages[0].DemandOnly); diff != "" {
					t.Errorf("needs only demand of %s (-want +got):\n%s", side, diff)
				}
			}
			if tc.collectors == 0 && (len(sides) != 1 || len(d.gauges) > 0) {
				t.Errorf("%d sides and %d gauges, want only the side of before", len(sides), len(d.gauges))
			}
		})
	}
}

// Guards against totals that count for longer than they may, and a level that changes without
// a line and a metric.
func TestTotalsReachThePlacerAndTheMetrics(t *testing.T) {
	d := newDemandTest()
	d.setTargets(engineFacts(&table.Engine{Slots: 4, PrefillTokensPerSecond: 1000}, 0, 2), nil)
	d.levels["svc"] = level.State{InForce: true, Shares: [level.Priorities]float64{1, 1, .25}}
	d.now = time.Hour
	d.tick()
	var side netip.AddrPort
	for side = range d.sent {
		break
	}
	d.now += 100 * time.Millisecond
	want := level.Totals{Entries: 12}
	want.Placed[0] = 3
	d.receive(side, loads.Totals{Service: "svc", Totals: want, Seq: 1, Interval: 250 * time.Millisecond})
	now := d.clock.Now()
	if diff := cmp.Diff(direct.DemandTotals{Totals: want, AsOf: now.Add(-100 * time.Millisecond), Until: now.Add(900 * time.Millisecond)}, d.totals["svc"]); diff != "" {
		t.Errorf("totals (-want +got):\n%s", diff)
	}
	d.now += gaugeInterval
	d.tick()
	gauges := map[string]float64{}
	for name, g := range d.metrics.(tally.TestScope).Snapshot().Gauges() {
		gauges[name] = g.Value()
	}
	if diff := cmp.Diff(map[string]float64{
		"admission.share+priority=0,service=svc": 1, "admission.share+priority=2,service=svc": .25, "demand.entries+service=svc": 12,
	}, gauges); diff != "" {
		t.Errorf("gauges (-want +got):\n%s", diff)
	}
	if len(d.lines) != 1 || d.lines[0].Action != trail.ActionLevelChanged || d.lines[0].Level == nil {
		t.Errorf("lines %+v, want one change of the level", d.lines)
	}
}
