package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/budget"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/table"
)

// The headers of testCodec.
const (
	testHeaderID        = "Test-Id"
	testHeaderNotRun    = "Test-Not-Run"
	testHeaderLastEvent = "Test-After"
)

// testCodec transmits the request ID, the last event ID and whether the request ran.
type testCodec struct{}

func (testCodec) ReadCaller(r *http.Request) (CallerHeaders, error) {
	return CallerHeaders{ID: r.Header.Get(testHeaderID), PromptTokens: 100}, nil
}

func (testCodec) WriteForward(h http.Header, f ForwardHeaders) {
	h.Set(testHeaderLastEvent, f.LastEventID)
}

func (testCodec) ReadReply(_ int, h http.Header) ReplyHeaders {
	return ReplyHeaders{Signed: true, NotRun: h.Get(testHeaderNotRun) != ""}
}

// streamEvents is the number of events in a complete stream.
const streamEvents = 6

func writeEvent(w http.ResponseWriter, n int) {
	fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
	_ = http.NewResponseController(w).Flush()
}

// readBodyFirst reads the request body before it calls next: the server notices that
// the caller disconnects only after that.
func readBodyFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		next.ServeHTTP(w, r)
	})
}

// steppedEngine sends an event of a stream for each value received from next. It closes
// cancelled when the caller disconnects, and crashes once crash is closed.
type steppedEngine struct {
	next      chan struct{}
	cancelled chan struct{}
	crash     chan struct{}
	// padding is a comment in each event.
	padding string
}

func (e *steppedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", eventStreamType)
	for n := 1; n <= streamEvents; n++ {
		select {
		case <-e.next:
		case <-e.crash:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			close(e.cancelled)
			return
		}
		if e.padding != "" {
			_, _ = io.WriteString(w, ": "+e.padding+"\n")
		}
		writeEvent(w, n)
	}
}

// handoverTest is an entry with two engines, a and b. Streams start at a, and can be
// handed over to b.
type handoverTest struct {
	t            *testing.T
	server       *Server
	engine       *steppedEngine
	entryAddress string
}

// newHandoverTest starts the entry and the engines. other handles the requests to b,
// which is busy at first.
func newHandoverTest(t *testing.T, other http.HandlerFunc) *handoverTest {
	t.Helper()
	m := &handoverTest{t: t, engine: &steppedEngine{next: make(chan struct{}, streamEvents), cancelled: make(chan struct{}), crash: make(chan struct{})}}
	a, b := httptest.NewServer(readBodyFirst(m.engine)), httptest.NewServer(readBodyFirst(other))
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.entryAddress = nl.Addr().String()
	known := withStreams(idleEngines("a", "b"))
	known.Targets[0].Address, known.Targets[1].Address = addressOf(a), addressOf(b)
	m.server = &Server{
		Listener: nl, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, HeaderCodec: testCodec{},
		Placer: &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))},
		Rules:  Rules{RetryBudget: budget.Budget{Ratio: 1, Slack: 100, Window: time.Second}},
	}
	m.server.Source = &testSource{facts: known}
	m.server.init()
	m.server.dispatcher.update(known)
	m.server.Report("b", place.LoadReport{Alive: true, Loading: true, ServedVersion: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m
}

// requestLoad reports that a waits to load a version, with one request left, and that b
// is idle.
func (m *handoverTest) requestLoad() {
	m.server.Report("b", place.LoadReport{Alive: true, ServedVersion: 1})
	m.server.Report("a", place.LoadReport{Alive: true, Loading: true, Active: 1, ServedVersion: 1})
}

// startStream sends a request and returns the response once its first event has
// arrived.
func (m *handoverTest) startStream() (*http.Response, *bufio.Reader) {
	m.t.Helper()
	req, err := http.NewRequestWithContext(m.t.Context(), http.MethodPost, "http://"+m.entryAddress+"/", strings.NewReader("text"))
	if err != nil {
		m.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(testHeaderID, "1")
	m.engine.next <- struct{}{}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { resp.Body.Close() })
	in := bufio.NewReader(resp.Body)
	if e, err := (&eventReader{in: in}).next(); err != nil || e.id != 1 {
		m.t.Fatalf("first event %d: %v", e.id, err)
	}
	return resp, in
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// withStreams adds a route for streams that allows attempts at two targets.
func withStreams(f *facts.Facts) *facts.Facts {
	f.Table.Routes = []table.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: table.KindStream, AllowResume: true, MaxAttempts: 2,
		Timeout: 5 * time.Second, Objective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
		TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}},
	}}
	f.Table.BuildIndex()
	return f
}

// resumeStream sends the events that the caller does not have yet.
func resumeStream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get(testHeaderLastEvent))
	w.Header().Set("Content-Type", eventStreamType)
	for n := after + 1; n <= streamEvents; n++ {
		writeEvent(w, n)
	}
}

// readRest reads a stream to its end and returns the IDs of its events.
func readRest(t *testing.T, in *bufio.Reader) []uint64 {
	t.Helper()
	var got []uint64
	for {
		e, err := (&eventReader{in: in}).next()
		if err == io.EOF {
			return got
		}
		if err != nil {
			t.Errorf("after events %v: %v", got, err)
			return got
		}
		got = append(got, e.id)
	}
}

// A stream must not be given up at the target that is sending it before the new target
// has taken it over.
func TestStreamIsCompleteWhateverTheNewTargetDoes(t *testing.T) {
	tests := []struct {
		name  string
		other http.HandlerFunc
	}{
		{"rejects the request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testHeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"breaks off before its first event", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStreamType)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"continues at the wrong event", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStreamType)
			writeEvent(w, 5)
		}},
		{"fails", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"does not respond", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"takes the stream over", resumeStream},
	}
	want := []uint64{2, 3, 4, 5, 6}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := newHandoverTest(t, tc.other)
			_, in := m.startStream()
			m.requestLoad()
			go func() {
				for range streamEvents - 1 {
					time.Sleep(20 * time.Millisecond)
					m.engine.next <- struct{}{}
				}
			}()
			if diff := cmp.Diff(want, readRest(t, in)); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// The first target must stop the stream once the new one has taken it over. Otherwise
// the engine could not load until the stream has ended.
func TestHandoverEndsTheStreamAtTheFirstTarget(t *testing.T) {
	m := newHandoverTest(t, resumeStream)
	_, in := m.startStream()
	m.requestLoad()
	if diff := cmp.Diff([]uint64{2, 3, 4, 5, 6}, readRest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	select {
	case <-m.engine.cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the first target was not disconnected")
	}
}

// Events must not be held back for as long as the new target is silent.
func TestEventsAreBufferedBriefly(t *testing.T) {
	m := newHandoverTest(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, in := m.startStream()
	m.requestLoad()
	began := time.Now()
	m.engine.next <- struct{}{}
	if e, err := (&eventReader{in: in}).next(); err != nil || e.id != 2 {
		t.Fatalf("event %d: %v", e.id, err)
	}
	if took := time.Since(began); took > 2*maxBuffering {
		t.Errorf("event received after %s, want %s at most", took, maxBuffering)
	}
	for range streamEvents - 2 {
		m.engine.next <- struct{}{}
	}
	if diff := cmp.Diff([]uint64{3, 4, 5, 6}, readRest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against a target that fills the memory while its stream is being handed over.
func TestLittleIsBufferedDuringHandover(t *testing.T) {
	begun := make(chan struct{})
	m := newHandoverTest(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	m.engine.padding = strings.Repeat("x", maxBufferedBytes)
	_, in := m.startStream()
	m.requestLoad()
	<-begun
	began := time.Now()
	m.engine.next <- struct{}{}
	if e, err := (&eventReader{in: in}).next(); err != nil || e.id != 2 {
		t.Fatalf("event %d: %v", e.id, err)
	}
	if took := time.Since(began); took > maxBuffering/2 {
		t.Errorf("event received after %s, as if it had been buffered until the end of the handover", took)
	}
}

// A target that has rejected the handover of a request must not be asked to take over
// the same request again.
func TestTargetThatRejectedHandoverIsNotRetried(t *testing.T) {
	var requests atomic.Int32
	m := newHandoverTest(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set(testHeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	m.server.Source.Current().Table.Routes[0].MaxAttempts = 4
	_, in := m.startStream()
	for range streamEvents - 1 {
		m.requestLoad()
		time.Sleep(150 * time.Millisecond)
		m.engine.next <- struct{}{}
	}
	if diff := cmp.Diff([]uint64{2, 3, 4, 5, 6}, readRest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int32(1), requests.Load()); diff != "" {
		t.Errorf("requests to the new target (-want +got):\n%s", diff)
	}
}

// A stream must not be given up at a target that pauses if the new target then rejects
// it.
func TestStreamOfSilentTargetIsKeptWhenHandoverFails(t *testing.T) {
	requests := make(chan struct{}, 1)
	m := newHandoverTest(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		requests <- struct{}{}
	})
	_, in := m.startStream()
	m.server.Report("b", place.LoadReport{Alive: true, ServedVersion: 1})
	select {
	case <-requests:
	case <-time.After(5 * time.Second):
		t.Fatal("no request to the new target")
	}
	for range streamEvents - 1 {
		m.engine.next <- struct{}{}
	}
	if diff := cmp.Diff([]uint64{2, 3, 4, 5, 6}, readRest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}
