package front

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/calls"
)

// Payments go through two entries while connections freeze, some of them resume later,
// and a side is killed and replaced, in an order drawn from a seed. Half of the callers
// repeat their call with the same ticket through the other entry. Each outcome reported
// to a caller must agree with how often its payment actually ran.
func TestOutcomesMatchRunsUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runFaultSequence(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

const callsUnderFaults = 60

func runFaultSequence(t *testing.T, r *rand.Rand) {
	fl := newTestFleet(t)
	fl.timing = fastTiming
	fl.timing.SilenceTimeout = 150 * time.Millisecond
	target := newPayments()
	target.started = make(chan string, 4*callsUnderFaults)
	proxies := make([]*proxy, 2)
	for i := range proxies {
		s := fl.addSide(fmt.Sprintf("b%d", i), "booking", target)
		proxies[i] = newProxy(t, s.vm.Address)
		s.vm.Address = proxies[i].addr()
		fl.setVM(s.vm)
	}
	victim := fl.addSide("b2", "booking", target)
	entries := []*entry{fl.addEntry("e1"), fl.addEntry("e2")}
	for _, e := range entries {
		fl.waitReady(e, "booking", 3)
	}
	replies := make([][]reply, callsUnderFaults)
	var wg sync.WaitGroup
	for i := range replies {
		e, other, again := entries[i%2], entries[1-i%2], r.IntN(2) == 0
		wg.Go(func() { replies[i] = fl.payOnce(e, other, fmt.Sprintf("fee-%d", i), again) })
		time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
		switch r.IntN(12) {
		case 0:
			proxies[r.IntN(2)].freeze()
		case 1:
			resume := proxies[r.IntN(2)].freeze()
			time.AfterFunc(time.Duration(r.IntN(400))*time.Millisecond, resume)
		case 2:
			victim = fl.replace(victim)
		}
	}
	wg.Wait()
	for i, got := range replies {
		checkReplies(t, fmt.Sprintf("fee-%d", i), got, target.ran(fmt.Sprintf("fee-%d", i)))
	}
}

// payOnce sends a payment. With askAgain set, and if a ticket can be obtained, it uses
// the ticket and repeats the call through the other entry.
func (fl *testFleet) payOnce(e, other *entry, body string, again bool) []reply {
	var h http.Header
	if r := fl.call(e, http.MethodPost, "/v1/tickets", `{"service":"booking"}`, nil); again && r.Status == http.StatusCreated {
		h = http.Header{headerTicket: {ticketOf(r)}}
	}
	out := []reply{fl.call(e, http.MethodPost, payPath, body, h)}
	if h != nil {
		out = append(out, fl.call(other, http.MethodPost, payPath, body, h))
	}
	return out
}

func checkReplies(t *testing.T, body string, replies []reply, runs int) {
	t.Helper()
	if runs > 1 {
		t.Errorf("%s ran %d times", body, runs)
	}
	for _, r := range replies {
		switch outcome := r.Header.Get(headerOutcome); outcome {
		case string(calls.OutcomeDone):
			if runs != 1 || r.Body != "paid "+body || r.Truncated {
				t.Errorf("%s: told done with %q, ran %d times", body, r.Body, runs)
			}
		case string(calls.OutcomeNotRun):
			if runs != 0 {
				t.Errorf("%s: told notRun, ran %d times", body, runs)
			}
		case string(calls.OutcomeUnknown):
		default:
			t.Errorf("%s: told %q, status %d", body, outcome, r.Status)
		}
	}
}

// Admission refuses two calls with tickets. The first is already running through
// another entry, so its caller must get the answer of that run. The second has not
// reached the side: its caller is told notRun, and the ticket must not run afterwards.
func TestRefusalAtAdmissionQueriesSide(t *testing.T) {
	fl := newTestFleet(t)
	p := newPayments()
	fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	_, running := fl.ticket(e)
	_, unused := fl.ticket(e)
	first := fl.callAsync(e, "hold", running)
	<-p.started
	got := make(chan *httptest.ResponseRecorder, 1)
	go func() { got <- refusedAtAdmission(e, running) }()
	refused := refusedAtAdmission(e, unused)
	check(t, "refused", http.StatusTooManyRequests, refused.Code)
	check(t, "refused outcome", "notRun", refused.Header().Get(headerOutcome))
	check(t, "used later", "notRun", callerResultOf(<-fl.callAsync(e, "late", unused)).Outcome)
	close(p.release)
	check(t, "running", "paid hold", (<-got).Body.String())
	check(t, "first", "paid hold", (<-first).Body)
	check(t, "runs", 1, p.ran("hold")+p.ran("late"))
}

func refusedAtAdmission(e *entry, h http.Header) *httptest.ResponseRecorder {
	f := e.front
	r := httptest.NewRequest(http.MethodPost, payPath, nil)
	s, _ := f.Source.Current().Document.ServiceByName("booking")
	rq, err := f.newRequest(r, s)
	if err == nil {
		err = rq.parseBinding(h)
	}
	w := httptest.NewRecorder()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return w
	}
	rq.path, rq.method = "/payments", http.MethodPost
	ctx, cancel := clockwork.WithTimeout(r.Context(), f.Clock, time.Hour)
	defer cancel()
	f.refuseAdmission(ctx, w, rq, admit.Verdict{Decision: admit.Refused, Reason: admit.ReasonQueueFull, RetryAfter: time.Second})
	return w
}
