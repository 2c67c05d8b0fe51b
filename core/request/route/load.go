package route

import (
	"time"

	"hawthornferry/core/process/aged"
)

// loads estimates the present load of targets from lagging reports.
type loads struct {
	table     aged.Table[string, baseline]
	reportAge time.Duration
	capacity  int
}

// baseline is what this entry had in flight when a report came in.
type baseline struct {
	report   time.Time
	inFlight int
}

// load is an estimate for one target in calls.
type load struct {
	calls    int
	capacity int
}

// ratio is the load per unit of capacity if one more call were added.
func (l load) ratio() float64 { return float64(l.calls+1) / float64(l.capacity) }

// estimate adds to the last report what this entry itself has begun and
// ended since. Going by the report alone, every call between two reports
// would go to the target that looked idle last: the herd then moves from
// target to target at the pace of the reports.
func (l *loads) estimate(now time.Time, c Candidate) load {
	capacity := c.Report.Capacity
	if capacity <= 0 {
		capacity = l.capacity
	}
	if c.Report.At.IsZero() || now.Sub(c.Report.At) > l.reportAge {
		return load{calls: c.InFlight, capacity: capacity}
	}
	base, ok := l.table.Get(now, c.VM.Name)
	if !ok || !base.report.Equal(c.Report.At) {
		base = baseline{report: c.Report.At, inFlight: c.InFlight}
		l.table.Put(now, c.VM.Name, base)
	}
	calls := c.Report.Running + c.Report.Queued + c.InFlight - base.inFlight
	return load{calls: max(calls, c.InFlight, 0), capacity: capacity}
}
