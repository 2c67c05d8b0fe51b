package direct

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/budget"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/space"
	"hawthornferry/core/request/table"
	"hawthornferry/io/conn/bound"
	"hawthornferry/standin/flood"
)

const (
	// maxInvalidRead is how much of a head that is not a valid one may be read, in bytes.
	maxInvalidRead = 128 << 10
	// floodBytes is what a faulty target sends at the most, in bytes.
	floodBytes  = 64 << 20
	soundAnswer = "answer"
	streamHead  = flood.StatusLine + flood.StreamLine + "\r\n"
)

// endless is a response without end.
type endless struct {
	flood.Response
	kinds []table.RouteKind
	// maxRead is how much of it may be read, in bytes.
	maxRead int64
	// partial is set if callers may get a part of it that does not look complete.
	partial bool
}

var (
	anyKind  = []table.RouteKind{table.KindIdempotent, table.KindAtMostOnce, table.KindStream}
	plain    = []table.RouteKind{table.KindIdempotent}
	streamed = []table.RouteKind{table.KindStream}
)

// responses are the heads without end, and these. Those without a bound are not read at all.
var responses = append(endlessHeads(), []endless{
	{flood.Response{Name: "a refusal", Begin: "HTTP/1.1 503 -\r\n" + testHeaderNotRun + ": 1\r\n\r\n", Repeat: "x"}, anyKind, maxInvalidRead, false},
	{flood.Response{Name: "a chunk extension", Begin: flood.StatusLine + flood.ChunkedLine + "\r\n1;", Repeat: "x", Bound: bound.Format}, anyKind, maxInvalidRead, false},
	{flood.Response{Name: "a trailer", Begin: flood.StatusLine + flood.ChunkedLine + "\r\n0\r\n", Repeat: "A: b\r\n", Bound: bound.Format}, anyKind, maxInvalidRead, false},
	{flood.Response{Name: "a body", Begin: flood.StatusLine + "\r\n", Repeat: "x", Bound: bound.Answer}, plain, bound.MaxAnswerBytes + maxInvalidRead, true},
	{flood.Response{Name: "a body that claims to be a stream", Begin: streamHead, Repeat: "x", Bound: bound.Answer}, plain, bound.MaxAnswerBytes + maxInvalidRead, true},
	{flood.Response{Name: "a failure that claims to be a stream", Begin: "HTTP/1.1 500 -\r\n" + flood.StreamLine + "\r\n", Repeat: "x", Bound: bound.Answer}, []table.RouteKind{table.KindIdempotent, table.KindStream}, bound.MaxAnswerBytes + maxInvalidRead, true},
	{flood.Response{Name: "an event", Begin: streamHead, Repeat: "x", Bound: bound.Event}, streamed, bound.MaxEventBytes + maxInvalidRead, false},
	{flood.Response{Name: "blank lines", Begin: streamHead, Repeat: "\n", Bound: bound.Filler}, streamed, bound.MaxFillerBytes + maxInvalidRead, false},
	{flood.Response{Name: "comments", Begin: streamHead, Repeat: ":\n\n", Bound: bound.Filler}, streamed, bound.MaxFillerBytes + maxInvalidRead, false},
}...)

func endlessHeads() (out []endless) {
	for _, r := range flood.Heads {
		out = append(out, endless{r, anyKind, maxInvalidRead, false})
	}
	return out
}

// floodTarget answers requests with the responses of their kind in turn.
type floodTarget struct {
	*flood.Server
	// recovered is set once the target answers as a sound one.
	recovered atomic.Bool
}

func newFloodTarget(t *testing.T, responses ...endless) *floodTarget {
	t.Helper()
	server, err := flood.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Listener.Close() })
	target := &floodTarget{Server: server}
	server.Answer = func(conn net.Conn, r *http.Request, n int) {
		if target.recovered.Load() {
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", flood.StatusLine, len(soundAnswer), soundAnswer)
			return
		}
		for i := range responses {
			next := responses[(n+i)%len(responses)]
			if slices.ContainsFunc(next.kinds, func(k table.RouteKind) bool { return strings.HasPrefix(r.URL.Path, "/"+string(k)) }) {
				_, _ = next.Write(conn, floodBytes)
				return
			}
		}
	}
	go server.Run()
	return target
}

// crashCounter counts the attempts that are taken for crashes.
type crashCounter struct {
	noSuspects
	failures atomic.Int64
}

func (c *crashCounter) RecordFailure(time.Time, poison.Identity, poison.Incarnation, time.Duration) {
	c.failures.Add(1)
}

// decisionList records decisions.
type decisionList struct {
	mu        sync.Mutex
	decisions []trail.Decision
}

func (l *decisionList) Record(d trail.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decisions = append(l.decisions, d)
}

func (l *decisionList) has(action, reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.decisions, func(d trail.Decision) bool { return d.Action == action && strings.Contains(d.Reason, reason) })
}

// floodEntry is an entry of one service with faulty targets and sound ones.
type floodEntry struct {
	*Server
	address string
	crashes *crashCounter
	log     *decisionList

	mu    sync.Mutex
	reads []*countedConn
}

// countedConn counts the bytes read.
type countedConn struct {
	net.Conn
	read atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// most returns the most bytes that were read of one connection to the given port.
func (e *floodEntry) most(to netip.AddrPort) (most int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.reads {
		if c.RemoteAddr().String() == to.String() {
			most = max(most, c.read.Load())
		}
	}
	return most
}

// newFloodEntry starts an entry. memory is what it may hold for callers, in bytes.
func newFloodEntry(t *testing.T, memory int64, faulty []*floodTarget, sound int, soundHandler http.HandlerFunc) *floodEntry {
	t.Helper()
	var targets []facts.Target
	for i, f := range faulty {
		targets = append(targets, facts.Target{ID: fmt.Sprint("faulty-", i), Address: f.Addr()})
	}
	for i := range sound {
		server := httptest.NewServer(readBodyFirst(soundHandler))
		t.Cleanup(server.CloseClientConnections)
		targets = append(targets, facts.Target{ID: fmt.Sprint("sound-", i), Address: addressOf(server)})
	}
	for i := range targets {
		targets[i].Service, targets[i].Zone, targets[i].Slots = "svc", "z", 1000
	}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tb := &table.Table{Services: []table.Service{{Name: "svc"}}}
	for _, kind := range []table.RouteKind{table.KindIdempotent, table.KindAtMostOnce, table.KindStream} {
		tb.Routes = append(tb.Routes, table.Route{
			Name: string(kind), Host: "h", Prefix: "/" + string(kind) + "/", Kind: kind, MaxAttempts: 2, Timeout: 2 * time.Second,
			Objective: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, AllowResume: true,
			TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}},
		})
	}
	tb.BuildIndex()
	known := &facts.Facts{Table: tb, Targets: targets}
	e := &floodEntry{address: nl.Addr().String(), crashes: &crashCounter{}, log: &decisionList{}}
	e.Server = &Server{
		Listener: nl, Clock: clockwork.NewRealClock(), Log: e.log, HeaderCodec: testCodec{}, Source: &testSource{facts: known},
		Placer: &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}, Memory: &space.Budget{Limit: memory}, Suspects: e.crashes,
		Rules: Rules{RetryBudget: budget.Budget{Ratio: 1, Slack: 10_000, Window: time.Second}},
	}
	e.CutOffs = &bound.Reporter{Clock: e.Clock, Log: e.log, Metrics: tally.NoopScope}
	e.init()
	e.dispatcher.update(known)
	dial := e.connector.dial
	e.connector.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &countedConn{Conn: conn}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reads = append(e.reads, c)
		return c, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return e
}

// call sends a request on a new connection and returns the status and the body. The error is
// set if the answer is not complete.
func (e *floodEntry) call(t *testing.T, kind table.RouteKind, id string) (status int, body string, err error) {
	req := newRequest(t, http.MethodPost, e.address, "/"+string(kind)+"/"+id, strings.NewReader("text"))
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxInvalidRead))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return resp.StatusCode, string(b), err
}

// answerSound answers a request of any route.
func answerSound(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/"+string(table.KindStream)) {
		resumeStream(w, r)
		return
	}
	_, _ = io.WriteString(w, soundAnswer)
}

// isSound reports whether a body is the complete answer of answerSound.
func isSound(kind table.RouteKind, body string) bool {
	if kind == table.KindStream {
		return strings.Contains(body, fmt.Sprintf("id: %d\n", streamEvents)) && strings.HasSuffix(body, "\n\n")
	}
	return body == soundAnswer
}

// Guards against responses without end that are read until the caller closes the connection.
// They take the memory of the process, and requests beside them fail. A request whose answer
// was cut off must be repeated where that is allowed, and must not be reported as not run, or
// be taken for one that crashes targets.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const requests = 20
	for _, f := range responses {
		for _, kind := range f.kinds {
			t.Run(f.Name+", "+string(kind), func(t *testing.T) {
				target := newFloodTarget(t, f)
				e := newFloodEntry(t, 32<<20, []*floodTarget{target}, 1, answerSound)
				var wg sync.WaitGroup
				for i := range requests {
					wg.Go(func() {
						status, body, err := e.call(t, kind, fmt.Sprint(i))
						switch {
						case err == nil && status == http.StatusOK && isSound(kind, body):
						case err == nil && status == http.StatusBadGateway && kind == table.KindAtMostOnce && f.Bound != "":
						case err != nil && f.partial:
						default:
							t.Errorf("status %d, %d bytes, error %v", status, len(body), err)
						}
					})
				}
				wg.Wait()
				if target.Requests.Load() == 0 {
					t.Error("the faulty target got no request")
				}
				if n := e.most(target.Addr()); n > f.maxRead {
					t.Errorf("%d bytes read, want at most %d", n, f.maxRead)
				}
				for end := time.Now().Add(time.Second); target.Open.Load() > 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				if n := target.Open.Load(); n > 0 {
					t.Errorf("%d connections still open", n)
				}
				if n := e.crashes.failures.Load(); n > 0 {
					t.Errorf("%d attempts taken for crashes", n)
				}
				if got := e.log.has(trail.ActionReadCutOff, string(f.Bound)+": "); got != (f.Bound != "") {
					t.Errorf("logged as cut off at %q: %t", f.Bound, got)
				}
			})
		}
	}
}

// The load of TestMemoryBesideFaultyTargets, and what must be true of it.
const (
	loadTime    = 2 * time.Second
	callPause   = 5 * time.Millisecond
	streamCount = 200
	// heldShare is the part for held bytes of the smallest machine, in bytes.
	heldShare = 184 << 20 * 3 / 10
	minServed = 0.98
)

// slowStream answers like answerSound, but takes its time over a stream.
func slowStream(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/"+string(table.KindStream)) {
		answerSound(w, r)
		return
	}
	w.Header().Set("Content-Type", eventStreamType)
	after, _ := strconv.Atoi(r.Header.Get(testHeaderLastEvent))
	for n := after + 1; n <= streamEvents && r.Context().Err() == nil; n++ {
		writeEvent(w, n)
		time.Sleep(100 * time.Millisecond)
	}
}

// peakMemory returns a function that returns by how much the memory of the process has grown at
// the most since the call, in bytes.
func peakMemory(ctx context.Context) func() uint64 {
	used := func() uint64 {
		samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
		metrics.Read(samples)
		return samples[0].Value.Uint64() + samples[1].Value.Uint64()
	}
	runtime.GC()
	begin := used()
	var peak atomic.Uint64
	go func() {
		for ctx.Err() == nil {
			peak.Store(max(peak.Load(), used()))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() uint64 { return peak.Load() - min(begin, peak.Load()) }
}

// Guards against faulty targets that together take the memory of the process, and against sound
// requests beside them that fail.
func TestMemoryBesideFaultyTargets(t *testing.T) {
	// As the process does.
	defer debug.SetGCPercent(debug.SetGCPercent(60))
	var usual uint64
	for _, sound := range []int{6, 5, 0} {
		t.Run(fmt.Sprint(6-sound, " of 6 faulty"), func(t *testing.T) {
			var faulty []*floodTarget
			for range 6 - sound {
				faulty = append(faulty, newFloodTarget(t, responses...))
			}
			e := newFloodEntry(t, heldShare, faulty, sound, slowStream)
			ctx, cancel := context.WithTimeout(t.Context(), loadTime)
			defer cancel()
			peak := peakMemory(ctx)
			var wg sync.WaitGroup
			var served, all, id atomic.Int64
			call := func(kind table.RouteKind) {
				all.Add(1)
				status, body, err := e.call(t, kind, fmt.Sprint(id.Add(1)))
				if err == nil && status == http.StatusOK && isSound(kind, body) {
					served.Add(1)
				}
			}
			for range streamCount {
				wg.Go(func() {
					for ctx.Err() == nil {
						call(table.KindStream)
						time.Sleep(callPause)
					}
				})
			}
			for ctx.Err() == nil {
				wg.Go(func() { call(table.KindIdempotent) })
				time.Sleep(callPause)
			}
			wg.Wait()
			t.Logf("%d of %d served, memory grew by %d KiB, %d KiB held at the peak", served.Load(), all.Load(), peak()>>10, e.Memory.Peak()>>10)
			if got := float64(served.Load()); sound > 0 && got < minServed*float64(all.Load()) {
				t.Errorf("%v of %d requests served, want at least %v", got, all.Load(), minServed)
			}
			if sound == 6 {
				// Callers and targets are in the same process.
				usual = peak()
			}
			if got := peak() - min(usual, peak()); got > heldShare {
				t.Errorf("memory grew by %d bytes more than without faulty targets, want at most %d", got, heldShare)
			}
			for _, f := range faulty {
				if f.Requests.Load() == 0 {
					t.Error("a faulty target got no request")
				}
			}
		})
	}
}

// Guards against callers that hold a connection and what belongs to it by sending a part of a
// request and then nothing, or a head without end.
func TestCallersCannotHoldConnections(t *testing.T) {
	const head = "POST /%s/1 HTTP/1.1\r\nHost: h\r\n" + testHeaderID + ": 1\r\nContent-Length: 100\r\n\r\n"
	tests := []struct{ name, begin, repeat, want string }{
		{"part of a head", "GET / HTTP/1.1\r\n", "", ""},
		{"part of a body", fmt.Sprintf(head, table.KindIdempotent), "", "HTTP/1.1 400"},
		{"part of a body, no route", fmt.Sprintf(head, "none"), "", "HTTP/1.1 404"},
		{"headers without end", "GET / HTTP/1.1\r\n", "A: b\r\n", "HTTP/1.1 431"},
	}
	e := newFloodEntry(t, 1<<20, nil, 1, answerSound)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, tc := range tests {
		wg.Go(func() {
			conn, err := net.Dial("tcp", e.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			go func() { _, _ = flood.Response{Begin: tc.begin, Repeat: tc.repeat}.Write(conn, floodBytes) }()
			_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout + 2*time.Second))
			b, err := io.ReadAll(conn)
			if errors.Is(err, os.ErrDeadlineExceeded) || !strings.HasPrefix(string(b), tc.want) {
				t.Errorf("%s: answer %.20q, error %v, want %q and the end of the connection", tc.name, b, err, tc.want)
			}
		})
	}
}

// Guards against a target that goes on getting its share of the requests while it sends without
// end, or gets none after that.
func TestFaultyTargetIsPausedAndUsedAgain(t *testing.T) {
	const requests = 100
	target := newFloodTarget(t, responses[0])
	e := newFloodEntry(t, 16<<20, []*floodTarget{target}, 1, answerSound)
	send := func(n int) {
		for range n {
			if status, _, err := e.call(t, table.KindIdempotent, fmt.Sprint(time.Now().UnixNano())); status != http.StatusOK || err != nil {
				t.Errorf("status %d, error %v", status, err)
			}
		}
	}
	send(requests)
	if n := target.Requests.Load(); n == 0 || n > requests/4 {
		t.Errorf("the faulty target got %d of %d requests", n, requests)
	}
	target.recovered.Store(true)
	before := target.Requests.Load()
	for end := time.Now().Add(5 * time.Second); target.Requests.Load() < before+requests/4 && time.Now().Before(end); {
		send(10)
	}
	if n := target.Requests.Load() - before; n < requests/4 {
		t.Errorf("the target got %d requests after it had recovered", n)
	}
}
