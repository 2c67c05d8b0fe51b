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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/budget"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/space"
	"hawthornferry/core/request/table"
)

const (
	// maxInvalidRead is how much of a head that is not a valid one may be read, in bytes.
	maxInvalidRead = 128 << 10
	// floodBytes is what a faulty target sends at the most, in bytes.
	floodBytes = 64 << 20
	statusLine = "HTTP/1.1 200 OK\r\n"
)

// flood is a response without end: begin and then repeat for ever.
type flood struct {
	name   string
	begin  string
	repeat string
	// bound is what it exceeds.
	bound string
	// head is set if the head of the response never ends.
	head bool
}

var floods = []flood{
	{"no line end", "", "x", "format", true},
	{"a header line", statusLine + "A: ", "x", "head", true},
	{"headers", statusLine, "A: b\r\n", "head", true},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", "head", true},
	{"interim responses with other spaces", "", "HTTP/1.1  100 Continue\r\n\r\n", "format", true},
	{"a status line", "HTTP/1.1 200 ", "x", "head", true},
}

// write sends the response until the connection is closed.
func (f flood) write(w io.Writer) {
	if _, err := io.WriteString(w, f.begin); err != nil {
		return
	}
	block := []byte(strings.Repeat(f.repeat, 1+(16<<10)/len(f.repeat)))
	for sent := 0; sent < floodBytes; sent += len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// floodTarget answers each request with a flood.
type floodTarget struct {
	listener net.Listener
	flood    flood
	open     atomic.Int64
	requests atomic.Int64
}

func newFloodTarget(t *testing.T, f flood) *floodTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	target := &floodTarget{listener: l, flood: f}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

func (f *floodTarget) serve(conn net.Conn) {
	defer conn.Close()
	f.open.Add(1)
	defer f.open.Add(-1)
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	f.requests.Add(1)
	f.flood.write(conn)
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
		targets = append(targets, facts.Target{ID: fmt.Sprint("faulty-", i), Address: netip.MustParseAddrPort(f.listener.Addr().String())})
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
			Objective: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
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

// answerSmall answers with a few bytes.
func answerSmall(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

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
	b, err := io.ReadAll(io.LimitReader(resp.Body, floodBytes))
	return resp.StatusCode, string(b), err
}

// Guards against a head without end that is read until the caller closes the connection: it
// takes the memory of the process, and requests beside it fail.
func TestEndlessHeadIsCutOff(t *testing.T) {
	const requests = 20
	for _, f := range floods {
		for _, kind := range []table.RouteKind{table.KindIdempotent, table.KindAtMostOnce} {
			t.Run(f.name+", "+string(kind), func(t *testing.T) {
				target := newFloodTarget(t, f)
				e := newFloodEntry(t, 16<<20, []*floodTarget{target}, 1, answerSmall)
				allowed := []int{http.StatusOK}
				if kind == table.KindAtMostOnce {
					// A request that may have run is not sent again, and not reported as not run.
					allowed = append(allowed, http.StatusBadGateway)
				}
				var wg sync.WaitGroup
				for i := range requests {
					wg.Go(func() {
						status, body, err := e.call(t, kind, fmt.Sprint(i))
						if err != nil || !slices.Contains(allowed, status) || status == http.StatusOK && body != "answer" {
							t.Errorf("status %d, %d bytes, error %v", status, len(body), err)
						}
					})
				}
				wg.Wait()
				if target.requests.Load() == 0 {
					t.Error("the faulty target got no request")
				}
				if n := e.most(netip.MustParseAddrPort(target.listener.Addr().String())); n > maxInvalidRead {
					t.Errorf("%d bytes read, want at most %d", n, maxInvalidRead)
				}
				for end := time.Now().Add(time.Second); target.open.Load() > 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				if n := target.open.Load(); n > 0 {
					t.Errorf("%d connections still open", n)
				}
				if n := e.crashes.failures.Load(); n > 0 {
					t.Errorf("%d attempts taken for crashes", n)
				}
			})
		}
	}
}
