package main

import (
	"time"

	"hawthornferry/core/request/admit"
)

// saturated measures the capacity: the calls that end in a second when every
// slot of every engine always has a call and the project's choice of target
// places them. Deadlines play no part in it.
func saturated(seed uint64) float64 {
	p := policies()[2]
	s := newSimulation(seed, p.make)
	w := newWork(seed)
	ended := 0
	var begin func(n *entry)
	begin = func(n *entry) {
		c := &call{arrival: w.next(s.now.Sub(epoch)), s: s, entry: n}
		c.begun = s.now
		n.calls[c.request.ID] = c
		n.deliver([]admit.Verdict{{ID: c.request.ID, Decision: admit.Admitted}})
		var poll func()
		poll = func() {
			if c.ended.IsZero() {
				s.after(time.Millisecond, poll)
				return
			}
			if s.now.Sub(epoch) > warm {
				ended++
			}
			begin(n)
		}
		s.after(time.Millisecond, poll)
	}
	for i := range engines * engineSlots {
		begin(s.entries[i%zones])
	}
	s.run(epoch.Add(warm + measured))
	return float64(ended) / measured.Seconds()
}
