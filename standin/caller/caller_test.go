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

// address starts a test server and returns its address.
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

// makeCall makes one call of a kind to a server with the handler.
func makeCall(t *testing.T, k Kind, h http.HandlerFunc) result {
	t.Helper()
	l := newLoad(address(t, h))
	c := &call{load: l, kind: k, route: &l.Entries, customer: "a", start: l.Clock.Now()}
	c.run()
	return c.result
}

// streamHandler streams at each position k a token of the version
// tokenVersions[k], then a finish reason and [DONE] if they are asked for.
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

// A stream without [DONE] or with an error event counts as cut, since its caller
// can see that it ended early. One with [DONE] counts as not whole if it has no
// finish reason, mixes the tokens of two versions or is too short.
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

// A once-call without a ticket or a key is repeated after NotRun, and not after
// Unknown, since it may have been executed.
func TestOnceIsRepeatedOnlyAfterNotRun(t *testing.T) {
	tests := []struct {
		outcome Outcome
		want    int
	}{
		{outcome: NotRun, want: 2},
		{outcome: Unknown, want: 1},
	}
	for _, tc := range tests {
		n := 0
		got := makeCall(t, KindOnce, func(w http.ResponseWriter, _ *http.Request) {
			n++
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(problem{Outcome: tc.outcome})
		})
		if diff := cmp.Diff([]any{tc.outcome, tc.want}, []any{got.outcome, n}); diff != "" {
			t.Errorf("%s: outcome, attempts (-want +got):\n%s", tc.outcome, diff)
		}
	}
}

// A once-call with a ticket whose first attempt got no answer is repeated with the
// same ticket, by which the system prevents a second execution.
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

// A once-call with an idempotency key is repeated with the same key after Unknown
// and with a new one after NotRun, since the call with the first key won't be
// executed any more.
func TestKeyIsSentAgain(t *testing.T) {
	tests := []struct {
		outcome Outcome
		want    []string
	}{
		{outcome: Unknown, want: []string{"-1-1", "-1-1"}},
		{outcome: NotRun, want: []string{"-1-1", "-1-2"}},
	}
	for _, tc := range tests {
		var seen []string
		l := newLoad(address(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen = append(seen, r.Header.Get(headerKey))
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(problem{Outcome: tc.outcome})
		})))
		l.KeyEvery = 3
		c := &call{load: l, kind: KindOnce, route: &l.Entries, serial: 1, customer: "a", start: l.Clock.Now()}
		c.run()
		if diff := cmp.Diff(tc.want, seen); diff != "" {
			t.Errorf("%s: keys (-want +got):\n%s", tc.outcome, diff)
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

// A key that was executed twice, one with outcome NotRun that was executed, and
// one with outcome Done that was not are each counted.
func TestCompare(t *testing.T) {
	e := &onceOutcomes{reported: map[string]Outcome{"twice": Done, "ran": NotRun, "never": Done, "maybe": Unknown, "good": Done}}
	got := e.compare(map[string]int{"twice": 2, "ran": 1, "maybe": 1, "good": 1})
	want := OnceCheck{Calls: 5, Ran: 4, Duplicates: 1, FalseNotRun: 1, FalseDone: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("once (-want +got):\n%s", diff)
	}
}

// A whole run against the stand-in for a plain service uses both routes in turn,
// and every once-call is executed once.
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

// cancelWhenRowsDone returns a context that is cancelled once four rows have a
// call that was done.
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
