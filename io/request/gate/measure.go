package gate

import (
	"hawthornferry/core/request/calls"
	"hawthornferry/io/process/trends"
)

// addMeasures counts the once-calls that the ledger did not run: repeats and refused
// ones. If repeats become more frequent, callers or entries are sending the same call
// again and again.
func (p *Proxy) addMeasures(a calls.Action) {
	switch a.Kind {
	case calls.ActionJoin, calls.ActionReplay:
		p.Recorder.AddCount("repeatsStopped", 1)
	case calls.ActionRefuse:
		p.Recorder.AddCount("refused", 1)
	}
}

// watchTables registers the proxy's tables whose sizes Recorder watches.
func (p *Proxy) watchTables() {
	p.Recorder.WatchTable(trends.Table{Name: "ledger", Bound: p.LedgerLimits.MaxRecords, Len: p.ledgerSize})
	p.Recorder.WatchTable(trends.Table{Name: "runs", Bound: p.LedgerLimits.MaxRecords, Len: p.executionsSize})
}

func (p *Proxy) ledgerSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.Len()
}

func (p *Proxy) executionsSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.executions)
}
