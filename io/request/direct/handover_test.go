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
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/spend"
	"hawthornferry/core/request/table"
)

// The headers of testDialect.
const (
	testHeaderID     = "Test-Id"
	testHeaderNotRun = "Test-Not-Run"
	testHeaderAfter  = "Test-After"
)

// testDialect names a request, tells where a stream goes on, and that it was not run.
type testDialect struct{}

func (testDialect) Call(r *http.Request) (Call, error) {
	return Call{ID: r.Header.Get(testHeaderID), Prompt: 100}, nil
}

func (testDialect) Forward(h http.Header, f Forward) { h.Set(testHeaderAfter, f.LastEvent) }

func (testDialect) Reply(_ int, h http.Header) Reply {
	return Reply{Signed: true, NotRun: h.Get(testHeaderNotRun) != ""}
}

// streamEvents is how many events a whole stream has.
const streamEvents = 6

func writeEvent(w http.ResponseWriter, n int) {
	fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
	_ = http.NewResponseController(w).Flush()
}

// read takes a request's body before it is served: only then does the server notice
// that the caller leaves.
func read(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		next.ServeHTTP(w, r)
	})
}

// slowEngine writes an event of a stream whenever it is allowed one. Left is closed
// when the stream is taken from it; it crashes once crash is closed.
type slowEngine struct {
	next  chan struct{}
	left  chan struct{}
	crash chan struct{}
}

func (e *slowEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", eventStream)
	for n := 1; n <= streamEvents; n++ {
		select {
		case <-e.next:
		case <-e.crash:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			close(e.left)
			return
		}
		writeEvent(w, n)
	}
}

// moving is an entry with a stream under way at engine a, which is asked to load,
// and another engine b.
type moving struct {
	t      *testing.T
	server *Server
	engine *slowEngine
	entry  string
}

func startMoving(t *testing.T, other http.HandlerFunc) *moving {
	t.Helper()
	m := &moving{t: t, engine: &slowEngine{next: make(chan struct{}, streamEvents), left: make(chan struct{}), crash: make(chan struct{})}}
	a, b := httptest.NewServer(read(m.engine)), httptest.NewServer(read(other))
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.entry = nl.Addr().String()
	known := withStreams(engines("a", "b"))
	known.Targets[0].Address, known.Targets[1].Address = addressOf(a), addressOf(b)
	m.server = &Server{
		Net: nl, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Dialect: testDialect{},
		Placer: &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))},
		Rules:  Rules{Retry: spend.Budget{Ratio: 1, Slack: 100, Window: time.Second}},
	}
	m.server.Source = &belief{facts: known}
	m.server.init()
	m.server.desk.update(known)
	m.server.Report("b", place.Report{Alive: true, Busy: true, Serving: 1})
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

// load has engine a wait to load, with a request left, while b is at rest.
func (m *moving) load() {
	m.server.Report("b", place.Report{Alive: true, Serving: 1})
	m.server.Report("a", place.Report{Alive: true, Busy: true, Active: 1, Serving: 1})
}

// stream sends a request and returns its answer once its first event is there.
func (m *moving) stream() (*http.Response, *bufio.Reader) {
	m.t.Helper()
	req, err := http.NewRequestWithContext(m.t.Context(), http.MethodPost, "http://"+m.entry+"/", strings.NewReader("text"))
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
	if e, err := readEvent(in); err != nil || e.id != 1 {
		m.t.Fatalf("first event %d: %v", e.id, err)
	}
	return resp, in
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// withStreams adds a route of streams that two targets may be asked for.
func withStreams(f *facts.Facts) *facts.Facts {
	f.Table.Routes = []table.Route{{
		Name: "r", Host: "h", Prefix: "/", Repeat: table.RepeatStream, Resume: true, Attempts: 2,
		Timeout: 5 * time.Second, Objective: 400 * time.Millisecond, Gap: 400 * time.Millisecond,
		Shares: []table.Share{{Service: "svc", Weight: 1}},
	}}
	f.Table.Index()
	return f
}

// goOn writes what a caller lacks of a stream.
func goOn(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get(testHeaderAfter))
	w.Header().Set("Content-Type", eventStream)
	for n := after + 1; n <= streamEvents; n++ {
		writeEvent(w, n)
	}
}

// rest reads a stream to its end and returns the events.
func rest(t *testing.T, in *bufio.Reader) []uint64 {
	t.Helper()
	var got []uint64
	for {
		e, err := readEvent(in)
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

// Guards against a stream that is given up at a target which writes it, for another
// one that then does not take it.
func TestMovedStreamIsWholeWhateverTheOtherTargetDoes(t *testing.T) {
	tests := []struct {
		name  string
		other http.HandlerFunc
	}{
		{"turns it away", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testHeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"breaks off before its first event", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStream)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"goes on at another event", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", eventStream)
			writeEvent(w, 5)
		}},
		{"fails", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"is silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"takes it", goOn},
	}
	want := []uint64{2, 3, 4, 5, 6}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := startMoving(t, tc.other)
			_, in := m.stream()
			m.load()
			go func() {
				for range streamEvents - 1 {
					time.Sleep(20 * time.Millisecond)
					m.engine.next <- struct{}{}
				}
			}()
			if diff := cmp.Diff(want, rest(t, in)); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against an engine that stands empty until its last stream has ended, though
// another one has taken the stream over.
func TestMovedStreamLeavesItsTargetOnceTheOtherOneWritesIt(t *testing.T) {
	m := startMoving(t, goOn)
	_, in := m.stream()
	m.load()
	if diff := cmp.Diff([]uint64{2, 3, 4, 5, 6}, rest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	select {
	case <-m.engine.left:
	case <-time.After(5 * time.Second):
		t.Error("the first target still has the stream")
	}
}

// Guards against events that wait for as long as the other target is silent.
func TestEventsAreHeldBriefly(t *testing.T) {
	m := startMoving(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	_, in := m.stream()
	m.load()
	began := time.Now()
	m.engine.next <- struct{}{}
	if e, err := readEvent(in); err != nil || e.id != 2 {
		t.Fatalf("event %d: %v", e.id, err)
	}
	if took := time.Since(began); took > 2*maxBuffering {
		t.Errorf("the event came after %s, want %s at most", took, maxBuffering)
	}
	for range streamEvents - 2 {
		m.engine.next <- struct{}{}
	}
	if diff := cmp.Diff([]uint64{3, 4, 5, 6}, rest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against a target that is asked again by a request which it has turned away.
func TestTargetThatTurnedAStreamAwayIsNotAskedAgain(t *testing.T) {
	var asked atomic.Int32
	m := startMoving(t, func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.Header().Set(testHeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	m.server.Source.Current().Table.Routes[0].Attempts = 4
	_, in := m.stream()
	for range streamEvents - 1 {
		m.load()
		time.Sleep(150 * time.Millisecond)
		m.engine.next <- struct{}{}
	}
	if diff := cmp.Diff([]uint64{2, 3, 4, 5, 6}, rest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int32(1), asked.Load()); diff != "" {
		t.Errorf("times the other target was asked (-want +got):\n%s", diff)
	}
}

// Guards against a stream that is given up at a target which pauses, for another one
// that then does not take it.
func TestStreamOfSilentTargetIsKept(t *testing.T) {
	asked := make(chan struct{}, 1)
	m := startMoving(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		asked <- struct{}{}
	})
	_, in := m.stream()
	m.server.Report("b", place.Report{Alive: true, Serving: 1})
	select {
	case <-asked:
	case <-time.After(5 * time.Second):
		t.Fatal("the other target was not asked")
	}
	for range streamEvents - 1 {
		m.engine.next <- struct{}{}
	}
	if diff := cmp.Diff([]uint64{2, 3, 4, 5, 6}, rest(t, in)); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}
