package front

import (
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/route"
	"hawthornferry/io/process/gauge"
)

// measure adds an ended request to the measures of slow decline.
func (f *Front) measure(k *work, e ending) {
	if k.firstByte > 0 {
		f.Gauge.Latency("firstByte "+k.req.Service, k.firstByte)
	}
	switch {
	case e.outcome == calls.Unknown:
		f.Gauge.Count("unknown "+k.req.Service, 1)
	case e.outcome == calls.NotRun:
		f.Gauge.Count("notRun "+k.req.Service, 1)
	}
}

// watchTables has the sizes of the entry's tables watched.
func (f *Front) watchTables() {
	f.Gauge.Watch(gauge.Table{Name: "prefixes", Bound: route.DefaultPrefixes, Len: f.policy.prefixes})
	f.Gauge.Watch(gauge.Table{Name: "admission", Bound: admit.MaxRemembered + f.Limits.MaxInFlight, Len: f.policy.admission})
	f.Gauge.Watch(gauge.Table{Name: "sessions", Len: f.pool.size})
}

// prefixes is the number of prompt prefixes that the chooser remembers.
func (p *policy) prefixes() (n int) {
	p.use(func() { n = p.chooser.Sizes().Prefixes })
	return n
}

// admission is the number of calls, services and customers that the admitter
// remembers.
func (p *policy) admission() (n int) {
	p.use(func() { n = p.admitter.Size(p.clock.Now()) })
	return n
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members)
}
