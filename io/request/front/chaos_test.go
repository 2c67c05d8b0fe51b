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

// Payments flow through two entries while connections go silent, some let go
// of what they held back, and a side is killed and replaced, in an order drawn
// from a seed. Half of the callers ask again with their ticket through the
// other entry. Whatever each caller was told must be true of the runs.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { faults(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

const faultyCalls = 60

func faults(t *testing.T, r *rand.Rand) {
	w := newWorld(t)
	w.timing = fastTiming
	w.timing.Silent = 150 * time.Millisecond
	p := newPayments()
	p.began = make(chan string, 4*faultyCalls)
	proxies := make([]*proxy, 2)
	for i := range proxies {
		s := w.addSide(fmt.Sprintf("b%d", i), "booking", p)
		proxies[i] = newProxy(t, s.vm.Address)
		s.vm.Address = proxies[i].addr()
		w.setVM(s.vm)
	}
	victim := w.addSide("b2", "booking", p)
	entries := []*entry{w.addEntry("e1"), w.addEntry("e2")}
	for _, e := range entries {
		w.ready(e, "booking", 3)
	}
	replies := make([][]reply, faultyCalls)
	var wg sync.WaitGroup
	for i := range replies {
		e, other, again := entries[i%2], entries[1-i%2], r.IntN(2) == 0
		wg.Go(func() { replies[i] = w.pay(e, other, fmt.Sprintf("fee-%d", i), again) })
		time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
		switch r.IntN(12) {
		case 0:
			proxies[r.IntN(2)].silence()
		case 1:
			letGo := proxies[r.IntN(2)].silence()
			time.AfterFunc(time.Duration(r.IntN(400))*time.Millisecond, letGo)
		case 2:
			victim.kill()
			victim = w.runSide("b2", "booking", victim.gate.Target, victim.vm.Address.String())
		}
	}
	wg.Wait()
	for i, told := range replies {
		judge(t, fmt.Sprintf("fee-%d", i), told, p.ran(fmt.Sprintf("fee-%d", i)))
	}
}

// pay pays once, with a ticket when there is one to be had, and asks again
// through the other entry when it is to.
func (w *world) pay(e, other *entry, body string, again bool) []reply {
	var h http.Header
	if r := w.call(e, http.MethodPost, "/v1/tickets", `{"service":"booking"}`, nil); again && r.Status == http.StatusCreated {
		h = http.Header{headerTicket: {ticketOf(r)}}
	}
	out := []reply{w.call(e, http.MethodPost, payPath, body, h)}
	if h != nil {
		out = append(out, w.call(other, http.MethodPost, payPath, body, h))
	}
	return out
}

func judge(t *testing.T, body string, told []reply, runs int) {
	t.Helper()
	if runs > 1 {
		t.Errorf("%s ran %d times", body, runs)
	}
	for _, r := range told {
		switch outcome := r.Header.Get(headerOutcome); outcome {
		case string(calls.Done):
			if runs != 1 || r.Body != "paid "+body || r.Cut {
				t.Errorf("%s: told done with %q, ran %d times", body, r.Body, runs)
			}
		case string(calls.NotRun):
			if runs != 0 {
				t.Errorf("%s: told notRun, ran %d times", body, runs)
			}
		case string(calls.Unknown):
		default:
			t.Errorf("%s: told %q, status %d", body, outcome, r.Status)
		}
	}
}

// The door refuses calls with tickets. One of them is already running through
// another entry: its caller gets that answer. The other has not come yet: it
// is told notRun, and its ticket must not run afterwards.
func TestRefusalAtTheDoorAsksTheSide(t *testing.T) {
	w := newWorld(t)
	p := newPayments()
	w.addSide("b1", "booking", p)
	e := w.addEntry("e1")
	w.ready(e, "booking", 1)
	_, running := w.ticket(e)
	_, unused := w.ticket(e)
	first := w.goCall(e, "hold", running)
	<-p.began
	got := make(chan *httptest.ResponseRecorder, 1)
	go func() { got <- turnedAway(e, running) }()
	refused := turnedAway(e, unused)
	check(t, "refused", http.StatusTooManyRequests, refused.Code)
	check(t, "refused outcome", "notRun", refused.Header().Get(headerOutcome))
	check(t, "used later", "notRun", toldOf(<-w.goCall(e, "late", unused)).Outcome)
	close(p.release)
	check(t, "running", "paid hold", (<-got).Body.String())
	check(t, "first", "paid hold", (<-first).Body)
	check(t, "runs", 1, p.ran("hold")+p.ran("late"))
}

func turnedAway(e *entry, h http.Header) *httptest.ResponseRecorder {
	f := e.front
	r := httptest.NewRequest(http.MethodPost, payPath, nil)
	s, _ := f.Source.Current().Document.ServiceByName("booking")
	k, err := f.newWork(r, s)
	if err == nil {
		err = k.readBinding(h)
	}
	w := httptest.NewRecorder()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return w
	}
	k.path, k.method = "/payments", http.MethodPost
	ctx, cancel := clockwork.WithTimeout(r.Context(), f.Clock, time.Hour)
	defer cancel()
	f.turnAway(ctx, w, k, admit.Verdict{Decision: admit.Refused, Reason: admit.ReasonQueueFull, RetryAfter: time.Second})
	return w
}
