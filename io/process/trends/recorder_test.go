package trends

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/io/process/admin"
)

// The latency of an entry's first bytes rises in the last window. The status must report the
// decline, and the same figures must be published as metrics.
func TestDeclineIsReportedInStatusAndMetrics(t *testing.T) {
	clock := clockwork.NewFakeClock()
	scope := tally.NewTestScope("", nil)
	g := &Recorder{Clock: clock, Metrics: scope}
	g.WatchTable(Table{Name: "prefixes", Bound: 10, Len: func() int { return 3 }})
	for i := range 4 {
		g.AddLatency("firstByte helper", time.Duration(1+i/3)*100*time.Millisecond)
		clock.Advance(5 * time.Minute)
	}
	g.publish()
	want := []admin.Drift{{
		Name: "firstByte helper", Unit: "ms", WindowMs: 300000, Value: 200, Previous: 100, Trend: 2, Declined: true,
	}}
	near := cmp.Comparer(func(a, b float64) bool { return a-b < 2 && b-a < 2 })
	if diff := cmp.Diff(want, g.Drift(), near); diff != "" {
		t.Errorf("drift rows (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]admin.Table{{Name: "prefixes", Entries: 3, Bound: 10}}, g.Tables()); diff != "" {
		t.Errorf("table rows (-want +got):\n%s", diff)
	}
	if got := len(scope.Snapshot().Gauges()); got != 3 {
		t.Errorf("%d metrics, want 3", got)
	}
}
