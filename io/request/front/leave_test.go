package front

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/route"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/conn/sessn"
)

// standing waits until the entry sees the target so.
func (w *world) standing(e *entry, name string, want route.Standing) {
	for {
		for _, t := range e.front.Targets() {
			if t.VM.Name == name && t.Standing == want {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// A side drains while a payment runs. Its heartbeat tells the entry at once:
// new payments go elsewhere. The one in flight is answered whole, and only
// then does the drain end: the process that ends right after it cuts nothing.
func TestDrainingSideCutsNothing(t *testing.T) {
	for range 20 {
		drainSide(t)
	}
}

func drainSide(t *testing.T) {
	w := newWorld(t)
	p, other := newPayments(), newPayments()
	s := w.addSide("b1", "booking", p)
	e := w.addEntry("e1", "b1")
	w.ready(e, "booking", 1)
	got := w.goCall(e, "hold", nil)
	<-p.began
	drained := make(chan error, 1)
	go func() { drained <- s.gate.Drain(context.Background()) }()
	w.standing(e, "b1", route.StandingLeaving)
	w.addSide("b2", "booking", other)
	w.ready(e, "booking", 1)
	check(t, "new call", "paid new", (<-w.goCall(e, "new", nil)).Body)
	check(t, "runs at the other", 1, other.ran("new"))
	select {
	case <-drained:
		t.Fatal("drain ended with a call in flight")
	default:
	}
	close(p.release)
	check(t, "drain", nil, <-drained)
	s.kill()
	check(t, "call in flight", "paid hold", (<-got).Body)
}

// An entry drains while a payment runs: it is not ready, takes no new caller
// after its notice, and answers the one in flight whole before the drain ends.
func TestDrainingEntryCutsNothing(t *testing.T) {
	w := newWorld(t)
	p := newPayments()
	w.addSide("b1", "booking", p)
	e := w.addEntry("e1")
	w.ready(e, "booking", 1)
	got := w.goCall(e, "hold", nil)
	<-p.began
	drained := make(chan error, 1)
	go func() { drained <- e.front.Drain(context.Background()) }()
	for e.front.Ready() {
		time.Sleep(time.Millisecond)
	}
	for !w.call(e, http.MethodGet, "/v1/services/booking/x", "", nil).refused() {
		time.Sleep(time.Millisecond)
	}
	close(p.release)
	check(t, "call in flight", "paid hold", (<-got).Body)
	check(t, "drain", nil, <-drained)
}

func (r reply) refused() bool { return r.Cut && r.Status == 0 }

// The VM list says that the VM leaves, before its side does. The entry sends
// it no new work, and the side refuses what a slower entry still sends.
func TestLeavingInVMListStopsNewWork(t *testing.T) {
	w := newWorld(t)
	p := newPayments()
	s := w.addSide("b1", "booking", p)
	e := w.addEntry("e1")
	w.ready(e, "booking", 1)
	s.vm.State = fleet.StateLeaving
	w.setVM(s.vm)
	w.standing(e, "b1", route.StandingLeaving)
	check(t, "told", "notRun", (<-w.goCall(e, "fee", nil)).Header.Get(headerOutcome))
	for !s.gate.Beat().Leaving {
		time.Sleep(time.Millisecond)
	}
	r := w.direct(s, func(m *sessn.Start, _ *sessn.Client) {})
	check(t, "side", calls.ReasonLeaving, r.Reason)
	check(t, "runs", 0, p.ran("fee"))
}

// A paused entry wakes up and sends a call with the reading it had before.
// Its caller was told long ago to look elsewhere; the side refuses the call
// by its own clock.
func TestOldReadingIsRefused(t *testing.T) {
	w := newWorld(t)
	w.limits = calls.DefaultLimits()
	w.limits.MaxAge = 100 * time.Millisecond
	p := newPayments()
	s := w.addSide("b1", "booking", p)
	r := w.direct(s, func(m *sessn.Start, c *sessn.Client) {
		for {
			now, _ := c.Reading()
			if now.At-m.Echo.At > w.limits.MaxAge {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	check(t, "reason", calls.ReasonStale, r.Reason)
	check(t, "outcome", calls.NotRun, r.Outcome)
	check(t, "runs", 0, p.ran("fee"))
}

// direct sends a once-call over a session of its own and returns the side's
// refusal. late runs between the reading and the sending.
func (w *world) direct(s *side, late func(*sessn.Start, *sessn.Client)) *sessn.Refusal {
	w.t.Helper()
	vm := s.vm
	vm.Role, vm.Name = fleet.RoleEntry, "direct"
	c := &sessn.Client{Self: &link.Self{VM: vm, Boot: "direct"}, Clock: clockwork.NewRealClock(), VM: s.vm, Timing: fastTiming}
	go func() { _ = c.Run(w.ctx) }()
	for !c.Status().Connected {
		time.Sleep(time.Millisecond)
	}
	echo, _ := c.Reading()
	m := &sessn.Start{
		Request: "r", Method: http.MethodPost, Path: "/payments", Timeout: time.Minute, Echo: echo,
		Ticket: &calls.Ticket{Call: "c", Bind: calls.BindFree, Service: "booking", Side: s.vm.Name, Issued: echo},
	}
	late(m, c)
	call, err := c.Start(m, []byte("fee"))
	if err != nil {
		w.t.Fatal(err)
	}
	msg, err := call.Next(w.ctx)
	r, ok := msg.(*sessn.Refusal)
	if !ok {
		w.t.Fatal(errors.Newf("got %v %v, want a refusal", msg, err))
	}
	return r
}
