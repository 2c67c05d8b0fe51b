package gate

import (
	"hawthornferry/core/request/calls"
	"hawthornferry/io/process/trends"
)

// addMeasures counts the once-calls that the ledger did not run: repeats and refused
// ones. If repeats become more frequent, callers or entries are sending the same call
// again and again.
func (g *Proxy) addMeasures(a calls.Action) {
	switch a.Kind {
	case calls.ActionJoin, calls.ActionReplay:
		g.Recorder.AddCount("repeatsStopped", 1)
	case calls.ActionRefuse:
		g.Recorder.AddCount("refused", 1)
	}
}

// watchTables registers the proxy's tables whose sizes Recorder watches.
func (g *Proxy) watchTables() {
	g.Recorder.WatchTable(trends.Table{Name: "ledger", Bound: g.LedgerLimits.MaxRecords, Len: g.ledgerSize})
	g.Recorder.WatchTable(trends.Table{Name: "runs", Bound: g.LedgerLimits.MaxRecords, Len: g.executionsSize})
}

func (g *Proxy) ledgerSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Len()
}

func (g *Proxy) executionsSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.executions)
}
