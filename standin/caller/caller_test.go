package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/engine"
	"hawthornferry/standin/expect"
	"hawthornferry/standin/plain"
)

var versions = []chunk.Digest{chunk.DigestOf([]byte("one")), chunk.DigestOf([]byte("two"))}

// address is where a test server listens.
func address(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
}

func newLoad(entry netip.AddrPort) *LoadTest {
	l := &LoadTest{Attempts: 2, Tokens: 4, Timeout: time.Minute, ChatService: "helper", LookupService: "booking", OnceService: "booking"}
	l.LookupPath, l.OncePath = "pitches", "payments"
	l.Entries = Route{Name: RouteEntry, Chats: []netip.AddrPort{entry}, Plain: []netip.AddrPort{entry}}
	l.Customers = []Customer{{Name: "a", Weight: 1}}
	l.Manifests = versions
	l.Clock = clockwork.NewRealClock()
	l.client = &http.Client{}
	return l
}

// one makes one call of a kind against the handler.
func makeCall(t *testing.T, k Kind, h http.HandlerFunc) result {
	t.Helper()
	l := newLoad(address(t, h))
	c := &call{load: l, kind: k, route: &l.Entries, customer: "a", start: l.Clock.Now()}
	c.run()
	return c.result
}

// streamHandler writes the given versions' tokens, one a position, and the end.
func streamHandler(finish, done bool, tokenVersions ...chunk.Digest) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q engine.Request
		_ = json.NewDecoder(r.Body).Decode(&q)
		prompt := expect.Prompt(q.Messages)
		for k, d := range tokenVersions {
			c := engine.Chunk{Position: k, Choices: []engine.ChunkChoice{{}}}
			c.Choices[0].Delta.Content = expect.NewAnswer(d, prompt).Token(k)
			writeEvent(w, c)
		}
		if finish {
			stop := "stop"
			writeEvent(w, engine.Chunk{Position: len(tokenVersions), Choices: []engine.ChunkChoice{{FinishReason: &stop}}})
		}
		if done {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}
}

func writeEvent(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v)
	fmt.Fprintf(w, "data: %s\n\n", b)
}

// A caller has to tell four streams apart: a whole one, one that broke off in
// its sight, one that was ended properly but mixes two versions, and one that
// was ended properly but is too short. Only the last two count as not whole.
func TestStreams(t *testing.T) {
	a, b := versions[0], versions[1]
	tests := []struct {
		name string
		h    http.HandlerFunc
		want result
	}{
		{name: "whole", h: streamHandler(true, true, a, a, a, a), want: result{outcome: Done, status: 200, manifest: string(a)}},
		{name: "cut", h: streamHandler(false, false, a, a), want: truncated(200)},
		{name: "no end", h: streamHandler(true, false, a, a, a, a), want: truncated(200)},
		{name: "no finish", h: streamHandler(false, true, a, a, a, a), want: invalidAnswer(200, "ended without a finish")},
		{name: "mixed", h: streamHandler(true, true, a, a, b, b), want: invalidAnswer(200, "not the answer of one version to this prompt")},
		{name: "short", h: streamHandler(true, true, a, a, a), want: invalidAnswer(200, "not the answer of one version to this prompt")},
		{name: "told", h: func(w http.ResponseWriter, _ *http.Request) {
			writeEvent(w, problem{Outcome: Unknown})
		}, want: result{outcome: Unknown, status: 200, cut: true, fault: "told in the stream"}},
	}
	for _, tc := range tests {
		got := makeCall(t, KindStream, tc.h)
		if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(result{})); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}

// A caller that is told "not run" may ask again without harm; one that is
// told "unknown" may not, since the call may have run.
func TestOnceIsRepeatedOnlyAfterNotRun(t *testing.T) {
	tests := []struct {
		told Outcome
		want int
	}{
		{told: NotRun, want: 2},
		{told: Unknown, want: 1},
	}
	for _, tc := range tests {
		n := 0
		got := makeCall(t, KindOnce, func(w http.ResponseWriter, _ *http.Request) {
			n++
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(problem{Outcome: tc.told})
		})
		if diff := cmp.Diff([]any{tc.told, tc.want}, []any{got.outcome, n}); diff != "" {
			t.Errorf("%s: outcome, attempts (-want +got):\n%s", tc.told, diff)
		}
	}
}

// A caller with a ticket hears nothing of its first attempt and asks again:
// the second attempt carries the same ticket, so that the call runs once.
func TestTicketIsSentAgain(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	h := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/tickets" {
			_ = json.NewEncoder(w).Encode(ticketAnswer{Ticket: "t"})
			return
		}
		mu.Lock()
		seen = append(seen, r.Header.Get(headerTicket))
		n := len(seen)
		mu.Unlock()
		if n == 1 {
			panic(http.ErrAbortHandler)
		}
		var b onceBody
		_ = json.NewDecoder(r.Body).Decode(&b)
		_ = json.NewEncoder(w).Encode(plain.Answer{Key: b.Key, Executions: 1})
	}
	l := newLoad(address(t, http.HandlerFunc(h)))
	l.TicketEvery = 1
	c := &call{load: l, kind: KindOnce, route: &l.Entries, customer: "a", start: l.Clock.Now()}
	c.run()
	if diff := cmp.Diff([]string{"t", "t"}, seen); diff != "" {
		t.Errorf("tickets (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(Done, c.result.outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// A caller that named its call by a key asks again under the same key after
// an unknown outcome, and under a new one after "not run": the first key's
// call never will run.
func TestKeyIsSentAgain(t *testing.T) {
	tests := []struct {
		told Outcome
		want []string
	}{
		{told: Unknown, want: []string{"-1-1", "-1-1"}},
		{told: NotRun, want: []string{"-1-1", "-1-2"}},
	}
	for _, tc := range tests {
		var seen []string
		l := newLoad(address(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen = append(seen, r.Header.Get(headerKey))
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(problem{Outcome: tc.told})
		})))
		l.KeyEvery = 3
		c := &call{load: l, kind: KindOnce, route: &l.Entries, serial: 1, customer: "a", start: l.Clock.Now()}
		c.run()
		if diff := cmp.Diff(tc.want, seen); diff != "" {
			t.Errorf("%s: keys (-want +got):\n%s", tc.told, diff)
		}
	}
}

func TestFailedDialIsNotRun(t *testing.T) {
	dead := address(t, http.NotFoundHandler())
	l := newLoad(dead)
	l.Entries.Plain[0] = netip.AddrPortFrom(dead.Addr(), 1)
	c := &call{load: l, kind: KindOnce, route: &l.Entries, customer: "a", start: l.Clock.Now()}
	c.run()
	if diff := cmp.Diff([]any{NotRun, true}, []any{c.result.outcome, c.result.notSent}); diff != "" {
		t.Errorf("outcome, unsent (-want +got):\n%s", diff)
	}
	c = &call{load: l, kind: KindOnce, maybeRan: true, result: c.result}
	c.updateState()
	if diff := cmp.Diff(Unknown, c.result.outcome); diff != "" {
		t.Errorf("after an unknown attempt (-want +got):\n%s", diff)
	}
}

// What callers were told is compared with what ran: a key that ran twice, one
// told "not run" that ran, and one told "done" that did not, each show.
func TestCompare(t *testing.T) {
	e := &onceOutcomes{reported: map[string]Outcome{"twice": Done, "ran": NotRun, "never": Done, "maybe": Unknown, "good": Done}}
	got := e.compare(map[string]int{"twice": 2, "ran": 1, "maybe": 1, "good": 1})
	want := OnceCheck{Calls: 5, Ran: 4, Duplicates: 1, FalseNotRun: 1, FalseDone: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("once (-want +got):\n%s", diff)
	}
}

// The whole tool against a plain stand-in: both lanes are used in turn, and
// every key that was told to be done ran once.
func TestRunUsesBothRoutes(t *testing.T) {
	s := &plain.Service{Name: "booking", Clock: clockwork.NewRealClock()}
	target := s.Handler()
	replica := address(t, target)
	entry := address(t, http.StripPrefix("/v1/services/booking", target))
	l := newLoad(entry)
	l.Slice, l.Duration = 5*time.Millisecond, time.Hour
	l.Direct = Route{Name: RouteDirect, Plain: []netip.AddrPort{replica}, Direct: true}
	l.Replicas = []netip.AddrPort{replica}
	l.Workloads = []Workload{{Kind: KindOnce, Workers: 2}, {Kind: KindLookup, Workers: 2}}
	ctx, cancel := cancelWhenRowsDone(t, l)
	defer cancel()
	sum, err := l.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{true, 4, 2}, []any{sum.Valid(), len(sum.Rows), len(sum.Overhead)}); diff != "" {
		t.Errorf("sound, rows, kinds compared (-want +got):\n%s\n%+v", diff, sum)
	}
	if diff := cmp.Diff(sum.Once.Calls, sum.Once.Ran); diff != "" {
		t.Errorf("calls that ran (-want +got):\n%s", diff)
	}
}

// cancelWhenRowsDone ends the run once every row has a call that was done.
func cancelWhenRowsDone(t *testing.T, l *LoadTest) (context.Context, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for !l.counts.hasDoneRows(4) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	return ctx, cancel
}

func (c *counts) hasDoneRows(rows int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range c.rows {
		if r.done > 0 {
			n++
		}
	}
	return n >= rows
}
