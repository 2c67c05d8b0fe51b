package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/picker"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/conn/sessn"
)

// waitAvailability waits until the entry reports the wanted availability for the target.
func (fl *testFleet) waitAvailability(e *entry, name string, want picker.Availability) {
	for {
		for _, t := range e.front.Targets() {
			if t.VM.Name == name && t.Availability == want {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// A side drains while a payment is in flight. Its heartbeat informs the entry at once,
// and new payments go to another side. The drain must end only after the payment has
// been answered completely, as the process exits right after it.
func TestDrainingSideCompletesCalls(t *testing.T) {
	for range 20 {
		checkSideDrain(t)
	}
}

func checkSideDrain(t *testing.T) {
	fl := newTestFleet(t)
	p, other := newPayments(), newPayments()
	s := fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1", "b1")
	fl.waitReady(e, "booking", 1)
	got := fl.callAsync(e, "hold", nil)
	<-p.started
	drained := make(chan error, 1)
	go func() { drained <- s.gate.Drain(context.Background()) }()
	fl.waitAvailability(e, "b1", picker.AvailabilityLeaving)
	fl.addSide("b2", "booking", other)
	fl.waitReady(e, "booking", 1)
	check(t, "new call", "paid new", (<-fl.callAsync(e, "new", nil)).Body)
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

// An entry drains while a payment is in flight. It reports not ready, accepts no new
// callers once DrainNotice has passed, and completes the payment before the drain ends.
func TestDrainingEntryCompletesCalls(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	got := fl.callAsync(e, "hold", nil)
	<-p.started
	drained := make(chan error, 1)
	go func() { drained <- e.front.Drain(context.Background()) }()
	for e.front.Ready() {
		time.Sleep(time.Millisecond)
	}
	for !fl.call(e, http.MethodGet, "/v1/services/booking/x", "", nil).connectionRefused() {
		time.Sleep(time.Millisecond)
	}
	close(p.release)
	check(t, "call in flight", "paid hold", (<-got).Body)
	check(t, "drain", nil, <-drained)
}

func (r reply) connectionRefused() bool { return r.Truncated && r.Status == 0 }

// The VM list marks the VM as leaving before its side knows. The entry sends it no new
// calls, and the side refuses calls from an entry that has not seen the list yet.
func TestLeavingInVMListStopsNewWork(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	s := fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	s.vm.State = fleet.StateLeaving
	fl.setVM(s.vm)
	fl.waitAvailability(e, "b1", picker.AvailabilityLeaving)
	check(t, "caller result", "notRun", (<-fl.callAsync(e, "fee", nil)).Header.Get(headerOutcome))
	for !s.gate.Heartbeat().Leaving {
		time.Sleep(time.Millisecond)
	}
	r := fl.callDirectly(s, func(m *sessn.Start, _ *sessn.Client) {})
	check(t, "side", calls.ReasonLeaving, r.Reason)
	check(t, "runs", 0, p.ran("fee"))
}

// A paused entry resumes and sends a call with the clock reading from before the pause.
// Its caller has long been told to try elsewhere, so the side must refuse the call. It
// judges the reading's age by its own clock.
func TestCallWithStaleReadingIsRefused(t *testing.T) {
	fl := newTestFleet(t)
	fl.limits = calls.DefaultLimits()
	fl.limits.MaxReadingAge = 100 * time.Millisecond
	p := newPayments()
	s := fl.addSide("b1", "booking", p)
	r := fl.callDirectly(s, func(m *sessn.Start, c *sessn.Client) {
		for {
			now, _ := c.ClockReading()
			if now.At-m.EchoedReading.At > fl.limits.MaxReadingAge {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	check(t, "reason", calls.ReasonStaleReading, r.Reason)
	check(t, "outcome", calls.OutcomeNotRun, r.Outcome)
	check(t, "runs", 0, p.ran("fee"))
}

// callDirectly sends a once-call to the side over a new session and returns the side's
// refusal. beforeSend runs after the clock reading is taken and before the call is
// sent.
func (fl *testFleet) callDirectly(s *side, beforeSend func(*sessn.Start, *sessn.Client)) *sessn.Refusal {
	fl.t.Helper()
	vm := s.vm
	vm.Role, vm.Name = fleet.RoleEntry, "direct"
	c := &sessn.Client{Self: &link.Self{VM: vm, Boot: "direct"}, Clock: clockwork.NewRealClock(), VM: s.vm, Timing: fastTiming}
	go func() { _ = c.Run(fl.ctx) }()
	for !c.Status().Connected {
		time.Sleep(time.Millisecond)
	}
	echo, _ := c.ClockReading()
	m := &sessn.Start{
		Request: "r", Method: http.MethodPost, Path: "/payments", Timeout: time.Minute, EchoedReading: echo,
		Ticket: &calls.Ticket{CallID: "c", Binding: calls.BindFree, Service: "booking", Side: s.vm.Name, Issued: echo},
	}
	beforeSend(m, c)
	call, err := c.Start(m, []byte("fee"))
	if err != nil {
		fl.t.Fatal(err)
	}
	msg, err := call.Next(fl.ctx)
	r, ok := msg.(*sessn.Refusal)
	if !ok {
		fl.t.Fatal(errors.Newf("got %v %v, want a refusal", msg, err))
	}
	return r
}

// Guards against calls that are cut without an answer when the grace of a stop ends, and against
// late ones that are passed on although they can go on beyond the end.
func TestCallsInTheGraceOfAStopAreAnswered(t *testing.T) {
	const grace = time.Second
	fl := newTestFleet(t)
	p := newPayments()
	defer close(p.release)
	fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	late := slowCaller(t, e, "hold late")
	early := fl.callAsync(e, "hold early", nil)
	<-p.started
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()
	drained := make(chan error, 1)
	go func() {
		err := e.front.Drain(ctx)
		fl.cancel()
		drained <- err
	}()
	time.Sleep(grace / 2)
	got := late()
	check(t, "late call", http.StatusServiceUnavailable, got.Status)
	check(t, "late call", string(calls.OutcomeNotRun), got.Header.Get(headerOutcome))
	got = <-early
	check(t, "early call", http.StatusGatewayTimeout, got.Status)
	check(t, "early call", string(calls.OutcomeUnknown), got.Header.Get(headerOutcome))
	check(t, "drain", nil, <-drained)
	check(t, "runs of the late call", 0, p.ran("hold late"))
}

// slowCaller sends a call but for its last byte. The returned function sends that and returns the
// answer.
func slowCaller(t *testing.T, e *entry, body string) func() reply {
	t.Helper()
	nc, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	last := len(body) - 1
	fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", payPath, len(body), body[:last])
	return func() reply {
		_, _ = io.WriteString(nc, body[last:])
		res, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			return reply{Truncated: true}
		}
		b, err := io.ReadAll(res.Body)
		return reply{Status: res.StatusCode, Header: res.Header, Body: string(b), Truncated: err != nil}
	}
}
