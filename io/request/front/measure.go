package front

import (
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/picker"
	"hawthornferry/io/process/trends"
)

// addMeasures adds a finished request to the latencies and counts that Recorder watches
// for slow degradation.
func (s *Server) addMeasures(rq *request, res result) {
	if rq.timeToFirstByte > 0 {
		s.Recorder.AddLatency("firstByte "+rq.routing.Service, rq.timeToFirstByte)
	}
	switch {
	case res.outcome == calls.OutcomeUnknown:
		s.Recorder.AddCount("unknown "+rq.routing.Service, 1)
	case res.outcome == calls.OutcomeNotRun:
		s.Recorder.AddCount("notRun "+rq.routing.Service, 1)
	}
}

// watchTables registers the tables of the entry whose sizes Recorder watches.
func (s *Server) watchTables() {
	s.Recorder.WatchTable(trends.Table{Name: "prefixes", Bound: picker.DefaultMaxPrefixes, Len: s.policy.prefixCount})
	s.Recorder.WatchTable(trends.Table{Name: "admission", Bound: admit.MaxRemembered + s.Limits.MaxInFlight, Len: s.policy.admissionCount})
	s.Recorder.WatchTable(trends.Table{Name: "sessions", Len: s.pool.size})
}

// prefixCount is the number of prompt prefixes that the chooser remembers.
func (p *policy) prefixCount() (n int) {
	p.locked(func() { n = p.chooser.Sizes().Prefixes })
	return n
}

// admissionCount is the number of calls, services and customers that the admitter
// remembers.
func (p *policy) admissionCount() (n int) {
	p.locked(func() { n = p.admitter.Size(p.clock.Now()) })
	return n
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}
