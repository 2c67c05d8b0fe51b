package gate

import (
	"hawthornferry/core/request/calls"
	"hawthornferry/io/process/gauge"
)

// addMeasures counts the once-calls that the ledger did not run: repeats and refused
// ones. If repeats become more frequent, callers or entries are sending the same call
// again and again.
func (g *Gate) addMeasures(a calls.Action) {
	switch a.Kind {
	case calls.ActionJoin, calls.ActionReplay:
		g.Gauge.Count("repeatsStopped", 1)
	case calls.ActionRefuse:
		g.Gauge.Count("refused", 1)
	}
}

// watchTables registers the gate's tables whose sizes Gauge watches.
func (g *Gate) watchTables() {
	g.Gauge.Watch(gauge.Table{Name: "ledger", Bound: g.Limits.MaxRecords, Len: g.ledgerSize})
	g.Gauge.Watch(gauge.Table{Name: "runs", Bound: g.Limits.MaxRecords, Len: g.executionsSize})
}

func (g *Gate) ledgerSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Len()
}

func (g *Gate) executionsSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.executions)
}
