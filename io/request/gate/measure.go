package gate

import (
	"hawthornferry/core/request/calls"
	"hawthornferry/io/process/gauge"
)

// measure counts the repeats of calls that the ledger stopped: a rise tells
// of callers or entries that send the same call again and again.
func (g *Gate) measure(a calls.Action) {
	switch a.Act {
	case calls.ActJoin, calls.ActReplay:
		g.Gauge.Count("repeatsStopped", 1)
	case calls.ActRefuse:
		g.Gauge.Count("refused", 1)
	}
}

// watchTables has the sizes of the gate's tables watched.
func (g *Gate) watchTables() {
	g.Gauge.Watch(gauge.Table{Name: "ledger", Bound: g.Limits.Records, Len: g.ledgerSize})
	g.Gauge.Watch(gauge.Table{Name: "runs", Bound: g.Limits.Records, Len: g.runsSize})
}

func (g *Gate) ledgerSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Len()
}

func (g *Gate) runsSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs)
}
