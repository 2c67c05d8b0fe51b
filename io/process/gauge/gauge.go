// Package gauge keeps the measures by which a process is seen to decline
// slowly, and shows them as metrics and in the status.
package gauge

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

// publishEvery is how often sizes are read and metrics are set.
const publishEvery = time.Minute

// maxMetrics bounds the metrics that are ever made: a scope never forgets
// one, and services come and go for as long as the process lives.
const maxMetrics = 512

// Table is a table whose size is watched. Bound is 0 when the document in
// force sets it.
type Table struct {
	Name  string
	Bound int
	Len   func() int
}

// Gauge is a process's measures. Set the exported fields before the first
// use. A nil Gauge takes samples and drops them. It is safe for concurrent
// use.
type Gauge struct {
	Clock   clockwork.Clock
	Metrics tally.Scope

	mu      sync.Mutex
	tracker drift.Tracker
	tables  []Table
	scopes  map[string]tally.Scope
}

// Latency adds a duration to the measure called name.
func (g *Gauge) Latency(name string, d time.Duration) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Latency(g.Clock.Now(), name, d)
}

// Count adds n to the count called name.
func (g *Gauge) Count(name string, n int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Count(g.Clock.Now(), name, n)
}

// Watch adds a table whose size is read every publishEvery. Len must not use
// the gauge.
func (g *Gauge) Watch(t Table) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tables = append(g.tables, t)
}

// Run reads sizes and sets metrics until ctx ends.
func (g *Gauge) Run(ctx context.Context) error {
	tick := g.Clock.NewTicker(publishEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
			g.publish()
		}
	}
}

func (g *Gauge) publish() {
	rows := g.Tables()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	for _, r := range rows {
		g.tracker.Size(now, r.Name, r.Entries)
	}
	for _, l := range g.tracker.Lines(now) {
		if s := g.scopeLocked(l); s != nil {
			s.Gauge("drift_value").Update(l.Value)
			s.Gauge("drift_usual").Update(l.Usual)
			s.Gauge("drift_trend").Update(l.Trend)
		}
	}
}

func (g *Gauge) scopeLocked(l drift.Line) tally.Scope {
	key := fmt.Sprint(l.Name, l.Window)
	if s, ok := g.scopes[key]; ok {
		return s
	}
	if len(g.scopes) >= maxMetrics {
		return nil
	}
	if g.scopes == nil {
		g.scopes = map[string]tally.Scope{}
	}
	g.scopes[key] = g.Metrics.Tagged(map[string]string{
		"kind":    string(l.Name.Kind),
		"measure": l.Name.Name,
		"window":  l.Window.String(),
	})
	return g.scopes[key]
}

// Tables returns the watched tables with their sizes now.
func (g *Gauge) Tables() []admin.Table {
	g.mu.Lock()
	tables := slices.Clone(g.tables)
	g.mu.Unlock()
	out := make([]admin.Table, 0, len(tables))
	for _, t := range tables {
		out = append(out, admin.Table{Name: t.Name, Entries: t.Len(), Bound: t.Bound})
	}
	slices.SortFunc(out, func(a, b admin.Table) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Drift returns a row for each measure and scale that can be compared.
func (g *Gauge) Drift() []admin.Drift {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []admin.Drift
	for _, l := range g.tracker.Lines(g.Clock.Now()) {
		out = append(out, admin.Drift{
			Name:     l.Name.Name,
			Unit:     unit(l.Name.Kind),
			WindowMs: l.Window.Milliseconds(),
			Value:    l.Value,
			Previous: l.Usual,
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
