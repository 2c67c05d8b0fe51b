package main

import (
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/picker"
)

// call is one arrival on its way.
type call struct {
	arrival
	s         *simulation
	entry     *entry
	target    string
	begun     time.Time
	sent      time.Time
	first     time.Time
	ended     time.Time
	refused   bool
	gone      bool
	prefill   int
	computed  bool
	hitBlocks int
	tokens    int
}

// entry carries out what its policy decides.
type entry struct {
	s        *simulation
	vm       fleet.VM
	policy   policy
	calls    map[string]*call
	inFlight map[string]int
	reports  map[string]picker.LoadReport
}

func (n *entry) start() {
	n.calls = make(map[string]*call)
	n.inFlight = make(map[string]int)
	n.reports = make(map[string]picker.LoadReport)
	n.s.after(tickEvery, n.tick)
}

func (n *entry) tick() {
	n.deliver(n.policy.tick(n.s.now))
	n.s.after(tickEvery, n.tick)
}

func (n *entry) report(target string, r picker.LoadReport) {
	r.ReceivedAt = n.s.now
	n.reports[target] = r
	n.policy.report(n.s.now, target, r)
}

func (n *entry) event(target string, block uint64, stored bool) {
	n.policy.event(n.s.now, target, block, stored)
}

// arrive offers the call. The caller goes away when it has no first byte
// after its patience.
func (n *entry) arrive(c *call) {
	c.begun = n.s.now
	c.request.Deadline = n.s.now.Add(c.due)
	n.calls[c.request.ID] = c
	n.deliver(n.policy.offer(n.s.now, c.request))
	patience := callerGivesUp
	if c.request.Priority == picker.PriorityBatch {
		patience = batchGivesUp
	}
	n.s.after(patience, func() {
		if c.first.IsZero() && !c.refused {
			c.leave()
		}
	})
}

func (n *entry) deliver(vs []admit.Verdict) {
	for _, v := range vs {
		c := n.calls[v.ID]
		if v.Decision == admit.Refused {
			c.refused = true
			delete(n.calls, v.ID)
			continue
		}
		n.send(c)
	}
}

func (n *entry) send(c *call) {
	c.target = n.policy.choose(n.s.now, c.request, n.candidates())
	c.sent = n.s.now
	n.inFlight[c.target]++
	e := n.s.engineOf(c.target)
	n.s.after(n.s.distance(n, e), func() { e.submit(c) })
}

func (n *entry) candidates() []picker.Candidate {
	out := make([]picker.Candidate, 0, len(n.s.engines))
	for _, e := range n.s.engines {
		out = append(out, picker.Candidate{
			VM:           e.vm,
			Availability: picker.AvailabilityReady,
			InFlight:     n.inFlight[e.vm.Name],
			Report:       n.reports[e.vm.Name],
		})
	}
	return out
}

func (c *call) firstByte() {
	if c.gone {
		return
	}
	c.first = c.s.now
}

func (c *call) end() {
	if c.gone {
		return
	}
	c.ended = c.s.now
	if c.outputs > 1 {
		pace := c.ended.Sub(c.first) / time.Duration(c.outputs-1)
		c.entry.policy.paced(c.s.now, c.target, pace)
	}
	c.leave()
}

// leave frees what the call holds at its entry; an engine drops a call whose
// caller is gone at its next step.
func (c *call) leave() {
	c.gone = true
	n := c.entry
	delete(n.calls, c.request.ID)
	d := admit.Done{ID: c.request.ID}
	if c.target != "" {
		n.inFlight[c.target]--
	}
	if !c.first.IsZero() {
		d.FirstByte = c.first.Sub(c.sent)
	}
	n.deliver(n.policy.done(n.s.now, d))
}
