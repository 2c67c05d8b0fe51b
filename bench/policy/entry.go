package main

import (
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/picker"
)

// call is one simulated call. arrivedAt, sent, first and ended are when it arrived
// at its entry, was sent to its target, had its first byte and ended; they are zero
// until then. released is set once it has ended or its caller has gone away.
// prefillLeft is the number of prompt tokens that are still to be computed, and
// prefillDone is set if the current step computes the last of them.
type call struct {
	arrival
	s            *simulation
	entry        *entry
	target       string
	arrivedAt    time.Time
	sent         time.Time
	first        time.Time
	ended        time.Time
	refused      bool
	released     bool
	prefillLeft  int
	prefillDone  bool
	cachedBlocks int
	generated    int
}

// entry simulates an entry process: it offers each call to its policy and sends the
// admitted ones to the targets that the policy chooses.
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
	n.s.after(tickInterval, n.tick)
}

func (n *entry) tick() {
	n.applyVerdicts(n.policy.tick(n.s.now))
	n.s.after(tickInterval, n.tick)
}

func (n *entry) report(target string, r picker.LoadReport) {
	r.ReceivedAt = n.s.now
	n.reports[target] = r
	n.policy.report(n.s.now, target, r)
}

func (n *entry) event(target string, block uint64, stored bool) {
	n.policy.event(n.s.now, target, block, stored)
}

// arrive offers the call to the policy. The caller goes away if it has no first byte
// after interactiveCallerTimeout or batchCallerTimeout.
func (n *entry) arrive(c *call) {
	c.arrivedAt = n.s.now
	c.request.Deadline = n.s.now.Add(c.deadline)
	n.calls[c.request.ID] = c
	n.applyVerdicts(n.policy.offer(n.s.now, c.request))
	timeout := interactiveCallerTimeout
	if c.request.Priority == picker.PriorityBatch {
		timeout = batchCallerTimeout
	}
	n.s.after(timeout, func() {
		if c.first.IsZero() && !c.refused {
			c.release()
		}
	})
}

// applyVerdicts drops the calls that the policy refused and sends the ones that it
// admitted.
func (n *entry) applyVerdicts(vs []admit.Verdict) {
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

// send sends a call to the target that the policy chooses for it.
func (n *entry) send(c *call) {
	c.target = n.policy.choose(n.s.now, c.request, n.candidates())
	c.sent = n.s.now
	n.inFlight[c.target]++
	e := n.s.engineByName(c.target)
	n.s.after(n.s.delay(n, e), func() { e.submit(c) })
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
	if c.released {
		return
	}
	c.first = c.s.now
}

func (c *call) end() {
	if c.released {
		return
	}
	c.ended = c.s.now
	if c.outputTokens > 1 {
		pace := c.ended.Sub(c.first) / time.Duration(c.outputTokens-1)
		c.entry.policy.observeTokenInterval(c.s.now, c.target, pace)
	}
	c.release()
}

// release frees what the call holds at its entry and tells the policy that it is
// done. An engine that still has the call drops it at its next step.
func (c *call) release() {
	c.released = true
	n := c.entry
	delete(n.calls, c.request.ID)
	d := admit.Done{ID: c.request.ID}
	if c.target != "" {
		n.inFlight[c.target]--
	}
	if !c.first.IsZero() {
		d.FirstByte = c.first.Sub(c.sent)
	}
	n.applyVerdicts(n.policy.done(n.s.now, d))
}
