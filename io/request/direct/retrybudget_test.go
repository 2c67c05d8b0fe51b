package direct

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/budget"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/resend"
	"hawthornferry/core/request/table"
)

// frozenListener accepts no connection until thawed is closed. Until then the kernel
// completes connections and keeps what is sent on them.
type frozenListener struct {
	net.Listener
	thawed chan struct{}
}

func (l *frozenListener) Accept() (net.Conn, error) {
	<-l.thawed
	return l.Listener.Accept()
}

// retryTest is an entry with two engines. Target a holds its requests and then rejects
// them; target b accepts no connection until it is thawed.
type retryTest struct {
	t       *testing.T
	server  *Server
	address string
	reject  chan struct{}
	// held counts the requests that a holds.
	held    atomic.Int32
	thaw    func()
	callers sync.WaitGroup
	lastID  int

	mu sync.Mutex
	// arrived holds the IDs of the requests that have reached an engine, and repeats
	// counts the further arrivals of them.
	arrived map[string]bool
	repeats int
}

// countArrival counts a request that an engine has read.
func (m *retryTest) countArrival(r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := r.Header.Get(testHeaderID)
	if m.arrived[id] {
		m.repeats++
	}
	m.arrived[id] = true
}

// takeRepeats returns how many repeats have arrived since the last call.
func (m *retryTest) takeRepeats() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.repeats
	m.repeats = 0
	return n
}

func newRetryTest(t *testing.T, rules budget.Budget) *retryTest {
	t.Helper()
	m := &retryTest{t: t, reject: make(chan struct{}), arrived: map[string]bool{}}
	a := httptest.NewServer(readBodyFirst(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.countArrival(r)
		m.held.Add(1)
		select {
		case <-m.reject:
		case <-t.Context().Done():
		}
		m.held.Add(-1)
		w.Header().Set(testHeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})))
	b := httptest.NewUnstartedServer(readBodyFirst(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { m.countArrival(r) })))
	thawed := make(chan struct{})
	b.Listener = &frozenListener{Listener: b.Listener, thawed: thawed}
	b.Start()
	m.thaw = sync.OnceFunc(func() { close(thawed) })
	known := idleEngines("a", "b")
	known.Targets[0].Address, known.Targets[1].Address = addressOf(a), addressOf(b)
	known.Table.Services[0].Engine.PrefillTokensPerSecond = 1e6
	known.Table.Routes = []table.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: table.KindIdempotent, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: 10 * time.Second,
		TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}},
	}}
	known.Table.BuildIndex()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.address = nl.Addr().String()
	m.server = &Server{
		Listener: nl, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, HeaderCodec: testCodec{}, Source: &testSource{facts: known},
		Placer: &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}, Rules: Rules{RetryBudget: rules},
	}
	m.server.init()
	m.server.dispatcher.update(known)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.server.Run(ctx) }()
	t.Cleanup(func() {
		m.thaw()
		m.callers.Wait()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		a.Close()
		b.Close()
	})
	return m
}

// setIdle reports one engine as idle and the other as about to load a version, so that
// requests go to the idle one.
func (m *retryTest) setIdle(idle, loading string) {
	m.server.Report(idle, place.LoadReport{Alive: true, ServedVersion: 1})
	m.server.Report(loading, place.LoadReport{Alive: true, Loading: true, ServedVersion: 1})
}

// send sends n requests without waiting for the responses.
func (m *retryTest) send(n int) {
	for range n {
		m.lastID++
		path := fmt.Sprintf("/%d", m.lastID)
		m.callers.Go(func() { _, _, _ = fetch(m.t, m.address, path) })
	}
}

// sendRejected sends n requests that a rejects, after which b is the only engine for a
// repeat.
func (m *retryTest) sendRejected(n int) {
	m.t.Helper()
	m.setIdle("a", "b")
	m.send(n)
	m.waitUntil("a holds all requests", func() bool { return m.held.Load() == int32(n) })
	m.setIdle("b", "a")
	for range n {
		m.reject <- struct{}{}
	}
}

func (m *retryTest) waitUntil(what string, holds func() bool) {
	m.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			m.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// What the test below sends and allows. Within settle a repeat is sent, and after pause a
// window is over.
const (
	retryRequests = 12
	retryRatio    = 0.5
	retryWindow   = 400 * time.Millisecond
	settle        = 100 * time.Millisecond
	pause         = retryWindow + retryWindow/5
)

// checkRepeats fails the test unless some repeats have arrived since the last call, and no
// more than are allowed of one group of requests.
func (m *retryTest) checkRepeats(when string) {
	m.t.Helper()
	if got := m.takeRepeats(); got == 0 || got > retryRatio*retryRequests {
		m.t.Errorf("%s: %d repeats arrived, want 1 to %v", when, got, retryRatio*retryRequests)
	}
}

// Guards against counting repeats when they are granted. A target that freezes for longer
// than a window reads those of several windows at once when it wakes.
func TestRetriesThatArriveTogetherStayWithinBudget(t *testing.T) {
	m := newRetryTest(t, budget.Budget{Ratio: retryRatio, Window: retryWindow})
	for range 3 {
		m.sendRejected(retryRequests)
		time.Sleep(pause)
	}
	m.sendRejected(retryRequests)
	time.Sleep(settle)
	m.thaw()
	m.callers.Wait()
	m.checkRepeats("after the freeze")

	time.Sleep(pause)
	m.sendRejected(retryRequests)
	m.callers.Wait()
	m.checkRepeats("a window later")
}

// Guards against forgetting an attempt that was given up. A target that stands still reads it
// when it wakes, after the attempt that replaced it was answered.
func TestAttemptGivenUpUsesTheBudgetUntilTheDeadline(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		name     string
		giveUp   bool
		free     time.Duration
		deadline time.Duration
	}{
		{name: "answered by the other target", free: 0, deadline: 6 * time.Second},
		{name: "given up", giveUp: true, free: 6 * time.Second, deadline: 6 * time.Second},
		{name: "given up, after the deadline", giveUp: true, free: 0, deadline: -time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := &Server{
				Clock: clock, Log: trail.Discard{}, Source: &testSource{facts: idleEngines("a")}, HeaderCodec: testCodec{},
				Placer: &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}, Rules: Rules{RetryBudget: budget.Budget{Ratio: 1.7, Window: window}},
			}
			s.init()
			q := &request{service: table.Service{Name: "svc"}, deadline: clock.Now().Add(tc.deadline)}
			s.countForRetries("svc")
			if tc.giveUp {
				x, _ := newPipeExchange(t)
				x.abort(errSilent)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/", nil)
				if err != nil {
					t.Fatal(err)
				}
				if o, _ := s.sendAndCheck(q, x, req); o != resend.Broken {
					t.Fatalf("outcome %q, want %q", o, resend.Broken)
				}
			}
			if !s.takeRetry(q) {
				t.Fatal("no retry granted")
			}
			s.attemptSent(q)
			s.attemptAnswered(q)
			s.endRetries(q)
			// A window later the entry counts the request no longer, so it counts another one.
			clock.Advance(tc.free)
			time.Sleep(10 * time.Millisecond)
			clock.Advance(window)
			s.countForRetries("svc")
			if s.takeRetry(&request{service: q.service}) {
				t.Error("granted within a window after the last possible arrival")
			}
			clock.Advance(window / 5)
			s.countForRetries("svc")
			if !s.takeRetry(&request{service: q.service}) {
				t.Error("not granted a window after the last possible arrival")
			}
		})
	}
}

// newPipeExchange returns an exchange over a pipe, and the target's end of it.
func newPipeExchange(t *testing.T) (*exchange, net.Conn) {
	t.Helper()
	entry, target := net.Pipe()
	t.Cleanup(func() { target.Close() })
	x := &exchange{conn: entry, closed: make(chan struct{}), stopAfterFunc: func() bool { return true }}
	t.Cleanup(x.close)
	return x, target
}

// recordingLog keeps the decisions of one action.
type recordingLog struct {
	action    string
	decisions []trail.Decision
}

func (l *recordingLog) Record(d trail.Decision) {
	if d.Action == l.action {
		l.decisions = append(l.decisions, d)
	}
}

// Guards against a refusal whose line does not tell why the budget allowed no retry.
func TestLineOfDeniedRetryHasTheBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	log := &recordingLog{action: actionAnswer}
	s := &Server{
		Clock: clock, Log: log, Source: &testSource{facts: idleEngines("a")}, HeaderCodec: testCodec{},
		Placer: &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}, Rules: Rules{RetryBudget: budget.Budget{Ratio: 0.5, Window: 10 * time.Second}},
	}
	s.init()
	q := &request{service: table.Service{Name: "svc"}, deadline: clock.Now().Add(time.Second)}
	for range 8 {
		s.countForRetries("svc")
	}
	clock.Advance(3 * time.Second)
	for s.takeRetry(q) {
	}
	s.finishRequest(q, "failed", http.StatusBadGateway)
	want := []*trail.RetryBudget{{Requests: 8, Outstanding: q.retries.granted, Starting: true, AgeMS: 3000}}
	var got []*trail.RetryBudget
	for _, d := range log.decisions {
		got = append(got, d.RetryBudget)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("budget in the lines (-want +got):\n%s", diff)
	}
}
