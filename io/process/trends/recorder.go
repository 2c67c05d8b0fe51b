// Package trends records measures that show a slow decline of a process (latencies, counts and
// table sizes), and publishes them as metrics and in the status. Package proc creates one
// Recorder for each process; packages front and gate record their measures in it.
package trends

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/drift"
	"hawthornferry/io/process/admin"
)

// publishInterval is how often table sizes are read and metrics are updated.
const publishInterval = time.Minute

// maxMetrics limits the metric scopes that are ever created: tally never removes one, and
// services come and go for as long as the process lives.
const maxMetrics = 512

// Table is a table whose size is recorded. Bound is its maximum size, or 0 if that is set by
// the document in force.
type Table struct {
	Name  string
	Bound int
	Len   func() int
}

// Recorder holds the measures of a process. Set the exported fields before the first use. It is
// safe for concurrent use. A nil Recorder ignores samples.
type Recorder struct {
	Clock   clockwork.Clock
	Metrics tally.Scope

	mu      sync.Mutex
	tracker drift.Tracker
	tables  []Table
	scopes  map[string]tally.Scope
}

// AddLatency adds a duration to the latency measure called name.
func (r *Recorder) AddLatency(name string, d time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.AddLatency(r.Clock.Now(), name, d)
}

// AddCount adds n to the counter called name.
func (r *Recorder) AddCount(name string, n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.AddCount(r.Clock.Now(), name, n)
}

// WatchTable adds a table whose size is read every publishInterval. Its Len must not use the
// recorder.
func (r *Recorder) WatchTable(t Table) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables = append(r.tables, t)
}

// Run reads sizes and updates metrics until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	tick := r.Clock.NewTicker(publishInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
			r.publish()
		}
	}
}

func (r *Recorder) publish() {
	rows := r.Tables()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	for _, row := range rows {
		r.tracker.AddSize(now, row.Name, row.Entries)
	}
	for _, l := range r.tracker.Results(now) {
		if s := r.scopeLocked(l); s != nil {
			s.Gauge("drift_value").Update(l.Value)
			s.Gauge("drift_usual").Update(l.Median)
			s.Gauge("drift_trend").Update(l.Trend)
		}
	}
}

func (r *Recorder) scopeLocked(l drift.Result) tally.Scope {
	key := fmt.Sprint(l.Name, l.Window)
	if s, ok := r.scopes[key]; ok {
		return s
	}
	if len(r.scopes) >= maxMetrics {
		return nil
	}
	if r.scopes == nil {
		r.scopes = map[string]tally.Scope{}
	}
	r.scopes[key] = r.Metrics.Tagged(map[string]string{
		"kind":    string(l.Name.Kind),
		"measure": l.Name.Name,
		"window":  l.Window.String(),
	})
	return r.scopes[key]
}

// Tables returns the watched tables with their current sizes.
func (r *Recorder) Tables() []admin.Table {
	r.mu.Lock()
	tables := slices.Clone(r.tables)
	r.mu.Unlock()
	out := make([]admin.Table, 0, len(tables))
	for _, t := range tables {
		out = append(out, admin.Table{Name: t.Name, Entries: t.Len(), Bound: t.Bound})
	}
	slices.SortFunc(out, func(a, b admin.Table) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Drift returns a row for each measure and time scale with enough windows to compare.
func (r *Recorder) Drift() []admin.Drift {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []admin.Drift
	for _, l := range r.tracker.Results(r.Clock.Now()) {
		out = append(out, admin.Drift{
			Name:     l.Name.Name,
			Unit:     unit(l.Name.Kind),
			WindowMs: l.Window.Milliseconds(),
			Value:    l.Value,
			Previous: l.Median,
			Trend:    l.Trend,
			Declined: l.Declined,
		})
	}
	return out
}

func unit(k drift.Kind) string {
	switch k {
	case drift.KindLatency:
		return "ms"
	case drift.KindCount:
		return "calls"
	default:
		return "entries"
	}
}
