package direct

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/space"
	"hawthornferry/core/request/table"
)

// Guards against bodies that are cut, or read beyond the memory that is reserved for them.
func TestReadHeld(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 3*readChunk)
	tests := []struct {
		name   string
		length int64
		limit  int64
		onTop  int64
		want   int
		err    error
	}{
		{"known length", int64(len(body)), int64(len(body)), 0, len(body), nil},
		{"unknown length", -1, 1 << 20, 0, len(body), nil},
		{"no room for the known length", int64(len(body)), int64(len(body)) - 1, 0, 0, errNoMemory},
		{"no room beside what is held", int64(len(body)), int64(len(body)), 1, 0, errNoMemory},
		{"no room for more than a part", -1, readChunk, 0, readChunk, errNoMemory},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			hold := space.Hold{Budget: &space.Budget{Limit: tc.limit}}
			r := iotest.OneByteReader(bytes.NewReader(body))
			got, err := readHeld(r, tc.length, &hold, hold.GrowSpare, tc.onTop)
			if !errors.Is(err, tc.err) || len(got) != tc.want {
				t.Errorf("%d bytes, error %v, want %d, %v", len(got), err, tc.want, tc.err)
			}
			rest, err := io.ReadAll(r)
			if err != nil || len(got)+len(rest) != len(body) {
				t.Errorf("%d bytes left, error %v", len(rest), err)
			}
		})
	}
	var hold space.Hold
	if _, err := readHeld(strings.NewReader("longer"), 3, &hold, hold.Grow, 0); err == nil {
		t.Error("a body longer than declared was accepted")
	}
}

// slowEntry is an entry with a memory budget and a plain target whose answers have
// answerSize bytes; a path that begins with /cut ends its answer early.
const (
	answerSize    = 1 << 20
	memoryBudget  = 4 * answerSize
	slowObjective = 10 * time.Second
)

// targetLoad counts the requests under way at the target of a slow entry.
type targetLoad struct{ active atomic.Int64 }

// idleTime is how long a target must be idle, and maxSettleTime how long that is waited for.
const (
	idleTime      = 200 * time.Millisecond
	maxSettleTime = 10 * time.Second
)

// awaitIdle returns once the target has had nothing to do for a while, at the latest after
// maxSettleTime.
func (c *targetLoad) awaitIdle() {
	idleSince := time.Now()
	for end := idleSince.Add(maxSettleTime); time.Now().Before(end) && time.Since(idleSince) < idleTime; {
		time.Sleep(time.Millisecond)
		if c.active.Load() > 0 {
			idleSince = time.Now()
		}
	}
}

func newSlowEntry(t *testing.T) (*Server, string, *targetLoad) {
	t.Helper()
	load := &targetLoad{}
	answer := bytes.Repeat([]byte("a"), answerSize)
	target := httptest.NewServer(readBodyFirst(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		load.active.Add(1)
		defer load.active.Add(-1)
		w.Header().Set("Content-Length", fmt.Sprint(answerSize))
		if strings.HasPrefix(r.URL.Path, "/cut") {
			_, _ = w.Write(answer[:answerSize/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if strings.HasPrefix(r.URL.Path, "/small") {
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "small")
			return
		}
		_, _ = w.Write(answer)
	})))
	t.Cleanup(target.CloseClientConnections)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tb := &table.Table{
		Services: []table.Service{{Name: "svc"}},
		Routes: []table.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: table.KindIdempotent, MaxAttempts: 2, Timeout: 20 * time.Second, Objective: slowObjective,
			TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}},
		}},
	}
	tb.BuildIndex()
	known := &facts.Facts{Table: tb, Targets: []facts.Target{{ID: "a", Service: "svc", Zone: "z", Slots: 1000, Address: addressOf(target)}}}
	s := &Server{
		Listener: nl, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, HeaderCodec: testCodec{}, Source: &testSource{facts: known},
		Placer: &place.Placer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}, Memory: &space.Budget{Limit: memoryBudget},
	}
	s.init()
	s.dispatcher.update(known)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, nl.Addr().String(), load
}

func newRequest(t *testing.T, method, address, path string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(testHeaderID, path)
	return req
}

// fetch sends a request on a new connection and returns the length of the answer, the time
// that it took, and an error if it was not complete.
func fetch(t *testing.T, address, path string) (int, time.Duration, error) {
	t.Helper()
	began := time.Now()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(newRequest(t, http.MethodGet, address, path, nil))
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return len(b), time.Since(began), err
}

// readSlowly sends a request and reads the answer at the given rate, in bytes per second,
// until the test ends.
func readSlowly(t *testing.T, address, path string, rate int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", path, testHeaderID, path)
	if rate == 0 {
		return
	}
	const interval = 10 * time.Millisecond
	go func() {
		part := make([]byte, max(1, rate*int(interval)/int(time.Second)))
		for {
			if _, err := conn.Read(part); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}()
}

// Guards against callers that read nothing, or slowly, and fill the memory of the entry, and
// against callers that read but suffer from them.
func TestSlowReadersDoNotFillMemory(t *testing.T) {
	const slowReaders, soundReaders = 200, 20
	for _, rate := range []int{0, 1 << 10, 1 << 20} {
		t.Run(fmt.Sprint(rate, " bytes a second"), func(t *testing.T) {
			s, address, load := newSlowEntry(t)
			sound := func(name string) []time.Duration {
				var took []time.Duration
				for i := range soundReaders {
					n, d, err := fetch(t, address, fmt.Sprintf("/%s%d", name, i))
					if n != answerSize || err != nil {
						t.Errorf("%s: %d of %d bytes, error %v", name, n, answerSize, err)
					}
					took = append(took, d)
				}
				slices.Sort(took)
				return took
			}
			alone := sound("alone")
			for i := range slowReaders {
				readSlowly(t, address, fmt.Sprintf("/slow%d", i), rate)
			}
			for end := time.Now().Add(5 * time.Second); s.Memory.Used() < memoryBudget/2 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			// While the slow ones begin, the entry reads their answers as fast as it can.
			if burst := sound("burst"); burst[len(burst)-1] > slowObjective {
				t.Errorf("the slowest sound caller took %s while slow ones began, want at most %s", burst[len(burst)-1], slowObjective)
			}
			load.awaitIdle()
			beside := sound("beside")
			if s.Memory.Peak() > memoryBudget {
				t.Errorf("%d bytes held at the peak, want at most %d", s.Memory.Peak(), memoryBudget)
			}
			if longest := beside[len(beside)-1]; longest > 10*alone[len(alone)-1]+500*time.Millisecond {
				t.Errorf("the slowest sound caller took %s beside slow ones, %s without", longest, alone[len(alone)-1])
			}
		})
	}
}

// Guards against answers for which there is no memory and that were cut, but look complete.
func TestUnbufferedAnswerLooksAsItIs(t *testing.T) {
	s, address, _ := newSlowEntry(t)
	s.Memory.Limit = 100
	if n, _, err := fetch(t, address, "/whole"); n != answerSize || err != nil {
		t.Errorf("%d of %d bytes, error %v", n, answerSize, err)
	}
	if n, _, err := fetch(t, address, "/cut"); n < answerSize/2 || err == nil {
		t.Errorf("an answer that its target broke off: %d of %d bytes, error %v", n, answerSize, err)
	}
}

// Guards against large bodies that fill the memory of the entry, and against a refusal of
// small ones beside them.
func TestBodiesBeyondTheBudgetAreRefused(t *testing.T) {
	s, address, _ := newSlowEntry(t)
	var wg sync.WaitGroup
	defer wg.Wait()
	release := make(chan struct{})
	defer close(release)
	for i := range 3 {
		body := io.MultiReader(bytes.NewReader(make([]byte, answerSize)), waitReader{release})
		req := newRequest(t, http.MethodPost, address, fmt.Sprintf("/small-held%d", i), body)
		req.ContentLength = answerSize + 1
		wg.Go(func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		})
	}
	for end := time.Now().Add(5 * time.Second); s.Memory.Used() < 3*answerSize && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	tests := []struct {
		path string
		size int
		want int
	}{
		{"/small-refused", 2 * answerSize, http.StatusServiceUnavailable},
		{"/small-served", 100, http.StatusOK},
	}
	for _, tc := range tests {
		resp, err := http.DefaultClient.Do(newRequest(t, http.MethodPost, address, tc.path, bytes.NewReader(make([]byte, tc.size))))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if diff := cmp.Diff(tc.want, resp.StatusCode); diff != "" {
			t.Errorf("%s: status (-want +got):\n%s", tc.path, diff)
		}
		if refused := resp.StatusCode == http.StatusServiceUnavailable; refused != (resp.Header.Get("Retry-After") != "") {
			t.Errorf("%s: Retry-After %q", tc.path, resp.Header.Get("Retry-After"))
		}
	}
}

// waitReader returns one byte once the channel is closed, and then ends.
type waitReader struct{ released <-chan struct{} }

func (r waitReader) Read(b []byte) (int, error) {
	<-r.released
	return copy(b, "x"), io.EOF
}
