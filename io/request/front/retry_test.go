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
	"hawthornferry/core/request/picker"
)

// An engine that is switching versions answers 503, and one with a full queue answers
// 429. Neither has begun the call, so the caller must get the answer of another engine.
func TestRefusalOfEngineFailsOver(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			fl := newTestFleet(t)
			fl.addSide("h1", "helper", engineStub(manifestA, func(rw http.ResponseWriter, _ *http.Request) {
				rw.WriteHeader(status)
			}))
			fl.addSide("h2", "helper", engineStub(manifestA, func(rw http.ResponseWriter, r *http.Request) {
				tokens(rw, r, textA, -1)
			}))
			e := fl.addEntry("e1", "h1")
			fl.waitReady(e, "helper", 2)
			check(t, "text", wholeText(textA), fl.call(e, http.MethodPost, chatURL, streamBody, nil).Body)
		})
	}
}

// An engine that serves no version gets no calls. The caller is told at once that its
// call did not run and when to retry.
func TestEngineWithoutVersionGetsNoCall(t *testing.T) {
	fl := newTestFleet(t)
	var calls atomic.Int64
	fl.addSide("h1", "helper", engineStub("", func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	e := fl.addEntry("e1")
	fl.waitAvailability(e, "h1", picker.AvailabilityUnserved)
	r := fl.call(e, http.MethodPost, chatURL, streamBody, nil)
	check(t, "status", http.StatusServiceUnavailable, r.Status)
	check(t, "outcome", "notRun", r.Header.Get(headerOutcome))
	check(t, "retry after", "1", r.Header.Get("Retry-After"))
	check(t, "calls", int64(0), calls.Load())
}

// Every engine aborts every call. Three attempts for each call would triple the load on
// engines that already fail, so the retry budget must keep the number of attempts close
// to the number of calls.
func TestRetriesDoNotMultiplyLoad(t *testing.T) {
	fl := newTestFleet(t)
	var attempts atomic.Int64
	for _, name := range []string{"h1", "h2", "h3"} {
		fl.addSide(name, "helper", engineStub(manifestA, func(http.ResponseWriter, *http.Request) {
			attempts.Add(1)
			panic(http.ErrAbortHandler)
		}))
	}
	e := fl.addEntry("e1")
	fl.waitReady(e, "helper", 3)
	const n = 200
	for range n {
		check(t, "status", http.StatusBadGateway, fl.call(e, http.MethodPost, chatURL, streamBody, nil).Status)
	}
	if got := attempts.Load(); got < n || got > n+n/4 {
		t.Errorf("%d calls made %d attempts, want at most a quarter more", n, got)
	}
}

// An entry keeps sessions with a limited subset of a large service's targets, and with
// no VM that is no longer in the list.
func TestSessionsAreBounded(t *testing.T) {
	fl := newTestFleet(t)
	for i := range 20 {
		fl.setVM(fleet.VM{
			Name: fmt.Sprintf("b%d", i), Role: fleet.RoleSide, Zone: "z", Region: "r", Service: "booking",
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1), State: fleet.StateLive,
		})
	}
	e := fl.addEntry("e1")
	for len(e.front.Targets()) < 4 {
		time.Sleep(time.Millisecond)
	}
	check(t, "sessions", 4, len(e.front.Targets()))
	fl.mu.Lock()
	fl.view.VMs = nil
	close(fl.changed)
	fl.changed = make(chan struct{})
	fl.mu.Unlock()
	for len(e.front.Targets()) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// The bodies of calls in flight fill the side's body limit. Another call must be
// refused as not run, and must be served after the others have ended.
func TestSideLimitsBodyBytes(t *testing.T) {
	fl := newTestFleet(t)
	fl.entryLimits = Limits{MaxBodyBytes: 8 << 20, MaxBodyBytesTotal: 64 << 20}
	p := newPayments()
	fl.addSide("b1", "booking", p)
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	body := func(name string) string { return name + strings.Repeat("x", 6<<20) }
	first, second := fl.callAsync(e, body("hold-1"), nil), fl.callAsync(e, body("hold-2"), nil)
	<-p.started
	<-p.started
	check(t, "third", "notRun", callerResultOf(<-fl.callAsync(e, body("third"), nil)).Outcome)
	close(p.release)
	check(t, "first", "done", callerResultOf(<-first).Outcome)
	check(t, "second", "done", callerResultOf(<-second).Outcome)
	for range 4 {
		for callerResultOf(<-fl.callAsync(e, body("later"), nil)).Outcome == "notRun" {
			// The body of a finished call is released only after its answer has been
			// sent.
			time.Sleep(time.Millisecond)
		}
	}
	check(t, "runs of later ones", 4, p.ran(body("later")))
}

// Answers at and just above the block size, and at and above the limits of flow control
// and buffering, must arrive completely.
func TestAnswersAroundSizeLimitsAreComplete(t *testing.T) {
	fl := newTestFleet(t)
	sizes := []int{0, 1, 64 << 10, 64<<10 + 1, 1 << 20, 3 << 20}
	fl.addSide("b1", "booking", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var n int
		fmt.Sscan(r.URL.Query().Get("n"), &n)
		_, _ = rw.Write(make([]byte, n))
	}))
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	for _, n := range sizes {
		r := fl.call(e, http.MethodGet, fmt.Sprintf("/v1/services/booking/x?n=%d", n), "", nil)
		check(t, "size", n, len(r.Body))
		check(t, "truncated", false, r.Truncated)
	}
}
