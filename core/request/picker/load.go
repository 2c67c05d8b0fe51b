package picker

import (
	"time"

	"hawthornferry/core/process/ttlmap"
)

// loadEstimator estimates the current load of targets from load reports that lag.
type loadEstimator struct {
	table        ttlmap.Map[string, baseline]
	reportMaxAge time.Duration
	capacity     int
}

// baseline holds how many calls this entry had in flight when a report arrived.
// reportedAt identifies the report.
type baseline struct {
	reportedAt time.Time
	inFlight   int
}

// load is an estimate of a target's load. Both fields count calls.
type load struct {
	calls    int
	capacity int
}

// utilization is the load divided by the capacity, if one more call were added.
func (l load) utilization() float64 { return float64(l.calls+1) / float64(l.capacity) }

// estimate returns the load of the last report, plus the calls that this entry has
// started since, minus those that have ended.
//
// With the report alone, all calls between two reports would go to the target that
// was least loaded in the last one, so that the load would oscillate between targets
// at the interval of the reports.
func (l *loadEstimator) estimate(now time.Time, c Candidate) load {
	capacity := c.Report.Capacity
	if capacity <= 0 {
		capacity = l.capacity
	}
	if c.Report.ReceivedAt.IsZero() || now.Sub(c.Report.ReceivedAt) > l.reportMaxAge {
		return load{calls: c.InFlight, capacity: capacity}
	}
	base, ok := l.table.Get(now, c.VM.Name)
	if !ok || !base.reportedAt.Equal(c.Report.ReceivedAt) {
		base = baseline{reportedAt: c.Report.ReceivedAt, inFlight: c.InFlight}
		l.table.Put(now, c.VM.Name, base)
	}
	calls := c.Report.Running + c.Report.Queued + c.InFlight - base.inFlight
	return load{calls: max(calls, c.InFlight, 0), capacity: capacity}
}
