package front

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/route"
)

// An engine between two versions answers 503 and one with a full queue 429.
// Neither has begun, so the caller gets the answer of another.
func TestEngineThatHasNotBegunIsPassedOver(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			w := newWorld(t)
			w.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, _ *http.Request) {
				rw.WriteHeader(status)
			}))
			w.addSide("h2", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
				tokens(rw, r, textA, -1)
			}))
			e := w.addEntry("e1", "h1")
			w.ready(e, "helper", 2)
			check(t, "text", wholeText(textA), w.call(e, http.MethodPost, chatURL, streamBody, nil).Body)
		})
	}
}

// An engine that serves no version gets no call; the caller is told at once
// that its call did not run and when to ask again.
func TestEngineWithoutVersionGetsNoCall(t *testing.T) {
	w := newWorld(t)
	var calls atomic.Int64
	w.addSide("h1", "helper", engineStub("", func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	e := w.addEntry("e1")
	w.standing(e, "h1", route.StandingUnserved)
	r := w.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "status", http.StatusServiceUnavailable, r.Status)
	check(t, "outcome", "notRun", r.Header.Get(headerOutcome))
	check(t, "retry after", "1", r.Header.Get("Retry-After"))
	check(t, "calls", int64(0), calls.Load())
}

// Every engine breaks off every call. Three attempts for each call would
// treble the load on engines that already fail; the budget allows few more
// than the calls themselves.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	w := newWorld(t)
	var attempts atomic.Int64
	for _, name := range []string{"h1", "h2", "h3"} {
		w.addSide(name, "helper", engineStub(manifestA, func(http.ResponseWriter, *http.Request) {
			attempts.Add(1)
			panic(http.ErrAbortHandler)
		}))
	}
	e := w.addEntry("e1")
	w.ready(e, "helper", 3)
	const n = 200
	for range n {
		check(t, "status", http.StatusBadGateway, w.call(e, http.MethodPost, chatURL, streamBody, nil).Status)
	}
	if got := attempts.Load(); got < n || got > n+n/4 {
		t.Errorf("%d calls made %d attempts, want at most a quarter more", n, got)
	}
}

// An entry keeps sessions to a bounded part of a large service, and to none
// of a VM that the list no longer names.
func TestSessionsAreBounded(t *testing.T) {
	w := newWorld(t)
	for i := range 20 {
		w.setVM(fleet.VM{
			Name: fmt.Sprintf("b%d", i), Role: fleet.RoleSide, Zone: "z", Region: "r", Service: "booking",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1), State: fleet.StateLive,
		})
	}
	e := w.addEntry("e1")
	for len(e.front.Targets()) < 4 {
		time.Sleep(time.Millisecond)
	}
	check(t, "sessions", 4, len(e.front.Targets()))
	w.mu.Lock()
	w.view.VMs = nil
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	for len(e.front.Targets()) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Bodies of calls that are under way fill the side's room for them. A further
// call is refused as not run, and served when the others have ended.
func TestBodiesAtASideAreBounded(t *testing.T) {
	w := newWorld(t)
	w.entryLimits = Limits{MaxBody: 8 << 20, MaxBodies: 64 << 20}
	p := newPayments()
	w.addSide("b1", "booking", p)
	e := w.addEntry("e1")
	w.ready(e, "booking", 1)
	body := func(name string) string { return name + strings.Repeat("x", 6<<20) }
	first, second := w.goCall(e, body("hold-1"), nil), w.goCall(e, body("hold-2"), nil)
	<-p.began
	<-p.began
	check(t, "third", "notRun", toldOf(<-w.goCall(e, body("third"), nil)).Outcome)
	close(p.release)
	check(t, "first", "done", toldOf(<-first).Outcome)
	check(t, "second", "done", toldOf(<-second).Outcome)
	for range 4 {
		for toldOf(<-w.goCall(e, body("later"), nil)).Outcome == "notRun" {
			// The room of an ended call is given back after its answer is sent.
			time.Sleep(time.Millisecond)
		}
	}
	check(t, "runs of later ones", 4, p.ran(body("later")))
}

// Answers around the bounds of a block, of the credit and of what is held
// back come whole.
func TestLargeAnswersAreWhole(t *testing.T) {
	w := newWorld(t)
	sizes := []int{0, 1, 64 << 10, 64<<10 + 1, 1 << 20, 3 << 20}
	w.addSide("b1", "booking", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var n int
		fmt.Sscan(r.URL.Query().Get("n"), &n)
		_, _ = rw.Write(make([]byte, n))
	}))
	e := w.addEntry("e1")
	w.ready(e, "booking", 1)
	for _, n := range sizes {
		r := w.call(e, http.MethodGet, fmt.Sprintf("/v1/services/booking/x?n=%d", n), "", nil)
		check(t, "size", n, len(r.Body))
		check(t, "cut", false, r.Cut)
	}
}
