package main

import (
	"time"

	"hawthornferry/core/request/admit"
)

// measureCapacity returns how many calls end in a second while every slot of every
// engine is busy: each call that ends is replaced by a new one at the same entry.
// Targets are chosen by picker.Chooser, and every call is admitted; deadlines are
// ignored.
func measureCapacity(seed uint64) float64 {
	p := policies()[2]
	s := newSimulation(seed, p.make)
	w := newWorkload(seed)
	ended := 0
	var begin func(n *entry)
	begin = func(n *entry) {
		c := &call{arrival: w.nextCall(s.now.Sub(epoch)), s: s, entry: n}
		c.arrivedAt = s.now
		n.calls[c.request.ID] = c
		n.applyVerdicts([]admit.Verdict{{ID: c.request.ID, Decision: admit.Admitted}})
		var poll func()
		poll = func() {
			if c.ended.IsZero() {
				s.after(time.Millisecond, poll)
				return
			}
			if s.now.Sub(epoch) > warmUp {
				ended++
			}
			begin(n)
		}
		s.after(time.Millisecond, poll)
	}
	for i := range engines * engineSlots {
		begin(s.entries[i%zones])
	}
	s.run(epoch.Add(warmUp + measuredTime))
	return float64(ended) / measuredTime.Seconds()
}
