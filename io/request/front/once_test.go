package front

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/request/calls"
)

// payments is a target that counts its runs by request body. A body that starts with
// "hold" blocks until release is closed.
type payments struct {
	mu      sync.Mutex
	runs    map[string]int
	started chan string
	release chan struct{}
}

func newPayments() *payments {
	return &payments{runs: map[string]int{}, started: make(chan string, 16), release: make(chan struct{})}
}

func (p *payments) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	p.mu.Lock()
	p.runs[string(b)]++
	p.mu.Unlock()
	p.started <- string(b)
	if len(b) >= 4 && string(b[:4]) == "hold" {
		<-p.release
	}
	fmt.Fprintf(w, "paid %s", b)
}

func (p *payments) ran(body string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[body]
}

const payPath = "/v1/services/booking/payments"

// callerResult is the part of a reply that the tests of once-calls compare.
type callerResult struct {
	Outcome string
	Body    string
}

func callerResultOf(r reply) callerResult {
	t := callerResult{Outcome: r.Header.Get(headerOutcome)}
	if r.Problem.Outcome == "" {
		t.Body = r.Body
	}
	return t
}

func (fl *testFleet) callAsync(e *entry, body string, h http.Header) chan reply {
	c := make(chan reply, 1)
	go func() { c <- fl.call(e, http.MethodPost, payPath, body, h) }()
	return c
}

func (fl *testFleet) ticket(e *entry) (string, http.Header) {
	fl.t.Helper()
	r := fl.call(e, http.MethodPost, "/v1/tickets", `{"service":"booking"}`, nil)
	text := ticketOf(r)
	if text == "" {
		fl.t.Fatalf("no ticket: %d %s", r.Status, r.Body)
	}
	return text, http.Header{headerTicket: {text}}
}

func ticketOf(r reply) string {
	var a TicketResponse
	if json.Unmarshal([]byte(r.Body), &a) != nil {
		return ""
	}
	return a.Ticket
}

func check[T any](t *testing.T, what string, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// The side is killed while its target runs a payment, and nothing listens at its
// address any more. The caller must be told unknown at once rather than at its
// deadline, and no other replica may get the call, as it has already run.
func TestKilledSideMeansUnknown(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	s := fl.addSide("b1", "booking", p)
	other := newPayments()
	close(other.release)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	got := fl.callAsync(e, "hold", nil)
	<-p.started
	fl.addSide("b2", "booking", other)
	fl.waitReady(e, "booking", 2)
	s.kill()
	r := <-got
	close(p.release)
	check(t, "caller result", callerResult{Outcome: "unknown"}, callerResultOf(r))
	check(t, "retry after", "", r.Header.Get("Retry-After"))
	check(t, "runs", 1, p.ran("hold")+other.ran("hold"))
}

// The connection freezes while the target runs a payment, which then completes. The
// entry detects the silence, queries the side over a new connection, and the caller
// gets the complete answer of the single run.
func TestSilentConnectionIsQueriedOverAnother(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	s := fl.addSide("b1", "booking", p)
	px := newProxy(t, s.vm.Address)
	s.vm.Address = px.addr()
	fl.setVM(s.vm)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	got := fl.callAsync(e, "hold", nil)
	<-p.started
	px.freeze()
	close(p.release)
	check(t, "caller result", callerResult{Outcome: "done", Body: "paid hold"}, callerResultOf(<-got))
	check(t, "runs", 1, p.ran("hold"))
}

// The call itself is held up in a frozen connection. The side, queried over a new one,
// marks the call as never to run, and the entry sends it to another replica. When the
// connection resumes and the held-up call arrives, it must not run.
func TestCallStuckInSilentConnectionNeverRuns(t *testing.T) {
	fl := newTestFleet(t)
	log := make(decisions, 64)
	fl.log, fl.sideSilence = log, time.Minute
	first, second := newPayments(), newPayments()
	s := fl.addSide("b1", "booking", first)
	px := newProxy(t, s.vm.Address)
	s.vm.Address = px.addr()
	fl.setVM(s.vm)
	e := fl.addEntry("e1", "b1")
	fl.waitReady(e, "booking", 1)
	resume := px.freeze()
	got := fl.callAsync(e, "fee", nil)
	fl.log = nil
	fl.addSide("b2", "booking", second)
	check(t, "caller result", callerResult{Outcome: "done", Body: "paid fee"}, callerResultOf(<-got))
	resume()
	check(t, "stuck call", string(calls.ReasonMarkedNever), log.await("run", "refuse").Reason)
	check(t, "runs", 1, first.ran("fee")+second.ran("fee"))
}

// A caller repeats its call with the same ticket through another entry, once while the
// first attempt is in flight and once after it has completed. All three must get the
// answer of the single run.
func TestTicketThroughAnotherEntryRunsOnce(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	fl.addSide("b1", "booking", p)
	e1, e2 := fl.addEntry("e1"), fl.addEntry("e2")
	fl.waitReady(e1, "booking", 1)
	fl.waitReady(e2, "booking", 1)
	text, h := fl.ticket(e1)
	first := fl.callAsync(e1, "hold", h)
	<-p.started
	second := fl.callAsync(e2, "hold", h)
	running := fl.call(e2, http.MethodGet, "/v1/tickets/"+text, "", nil)
	check(t, "status", `{"state":"running"}`+"\n", running.Body)
	close(p.release)
	want := callerResult{Outcome: "done", Body: "paid hold"}
	check(t, "first", want, callerResultOf(<-first))
	check(t, "second", want, callerResultOf(<-second))
	check(t, "third", want, callerResultOf(<-fl.callAsync(e2, "hold", h)))
	check(t, "other request", "notRun", callerResultOf(<-fl.callAsync(e2, "other", h)).Outcome)
	check(t, "runs", 1, p.ran("hold")+p.ran("other"))
	counts := e2.front.Outcomes()
	check(t, "repeated", int64(2), counts[0].Repeated)
}

// The side is replaced: a new boot listens at the same address and has no record of the
// ticket. The call may have run on the earlier boot, so it must not run now, and the
// caller is told unknown.
func TestTicketOfEarlierBootIsUnknown(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	s := fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	text, h := fl.ticket(e)
	s = fl.replace(s)
	issued, err := calls.DecodeTicket(text)
	check(t, "ticket", nil, err)
	for s.gate.Heartbeat().Reading.At <= issued.Issued.At {
		// Until the new boot's clock passes the ticket's reading, the ticket is refused
		// for being from the future, which is not what this test checks.
		time.Sleep(time.Millisecond)
	}
	fl.waitReady(e, "booking", 1)
	check(t, "caller result", callerResult{Outcome: "unknown"}, callerResultOf(<-fl.callAsync(e, "fee", h)))
	status := fl.call(e, http.MethodGet, "/v1/tickets/"+text, "", nil)
	check(t, "status", `{"state":"gone","outcome":"unknown"}`+"\n", status.Body)
	check(t, "runs", 0, p.ran("fee"))
}

// Two entries receive the same idempotency key at the same time. Both send the call to
// the key's owner according to the document. The owner runs it once and answers both.
func TestKeyRunsOnceThroughTwoEntries(t *testing.T) {
	fl := newTestFleet(t)
	fl.limits = calls.DefaultLimits()
	fl.limits.KeyWindow = time.Nanosecond
	fl.setReplicas("booking", 2)
	p1, p2 := newPayments(), newPayments()
	fl.addSide("b1", "booking", p1)
	fl.addSide("b2", "booking", p2)
	e1, e2 := fl.addEntry("e1"), fl.addEntry("e2")
	fl.waitReady(e1, "booking", 2)
	fl.waitReady(e2, "booking", 2)
	h := http.Header{headerIdempotencyKey: {"order-7"}}
	first := fl.callAsync(e1, "hold", h)
	select {
	case <-p1.started:
	case <-p2.started:
	}
	second := fl.callAsync(e2, "hold", h)
	close(p1.release)
	close(p2.release)
	want := callerResult{Outcome: "done", Body: "paid hold"}
	check(t, "first", want, callerResultOf(<-first))
	check(t, "second", want, callerResultOf(<-second))
	check(t, "runs", 1, p1.ran("hold")+p2.ran("hold"))
}

// A side that has just booted can't know whether an earlier boot or an earlier owner
// ran the call of a key. It must run no calls with keys until the key window has
// passed.
func TestOwnerRunsNoKeyWithinWindowAfterBoot(t *testing.T) {
	fl := newTestFleet(t)
	fl.setReplicas("booking", 1)
	p := newPayments()
	fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	h := http.Header{headerIdempotencyKey: {"order-7"}}
	check(t, "caller result", callerResult{Outcome: "unknown"}, callerResultOf(<-fl.callAsync(e, "fee", h)))
	check(t, "runs", 0, p.ran("fee"))
}

// Nothing listens at the target's address. The failed dial proves that the call did not
// run there, so it goes to another replica.
func TestUnreachableTargetFailsOver(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	fl.runSide("b1", "booking", netip.MustParseAddrPort("127.0.0.1:1"), nil)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	r := <-fl.callAsync(e, "fee", nil)
	check(t, "alone", callerResult{Outcome: "notRun"}, callerResultOf(r))
	check(t, "retry after", "1", r.Header.Get("Retry-After"))
	fl.addSide("b2", "booking", p)
	fl.waitReady(e, "booking", 2)
	check(t, "with another", callerResult{Outcome: "done", Body: "paid fee"}, callerResultOf(<-fl.callAsync(e, "fee", nil)))
	check(t, "runs", 1, p.ran("fee"))
}

// The deadline passes while the target runs the call. For a repeatable call the caller
// is told when to retry. For a once-call it is told unknown, with a ticket to query and
// no Retry-After, as sending the call again could run it twice.
func TestRetryAfterDeadlineOnlyIfRepeatable(t *testing.T) {
	fl := newTestFleet(t)
	clock := clockwork.NewFakeClock()
	fl.entryClock = clock
	p := newPayments()
	fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	late := func(path string) reply {
		c := make(chan reply, 1)
		go func() { c <- fl.call(e, http.MethodPost, path, "hold", http.Header{headerDeadlineMs: {"100"}}) }()
		<-p.started
		clock.Advance(100 * time.Millisecond)
		return <-c
	}
	once, repeatable := late(payPath), late("/v1/services/booking/search")
	close(p.release)
	check(t, "once", "unknown", once.Header.Get(headerOutcome))
	check(t, "once, retry after", "", once.Header.Get("Retry-After"))
	check(t, "once, has a ticket", true, once.Problem.Ticket != "")
	check(t, "repeatable, retry after", "1", repeatable.Header.Get("Retry-After"))
}
