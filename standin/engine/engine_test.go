package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/expect"
)

// fixture is an engine behind a test server, and two versions for it.
type fixture struct {
	t      *testing.T
	engine *Engine
	url    string
	one    version
	two    version
}

type version struct {
	manifest chunk.Manifest
	digest   chunk.Digest
	chunks   [][]byte
}

func newVersion(t *testing.T, name string, chunks ...string) version {
	t.Helper()
	v := version{manifest: chunk.Manifest{Model: "m", Version: name}}
	var whole []byte
	for _, s := range chunks {
		b := []byte(s)
		v.chunks = append(v.chunks, b)
		whole = append(whole, b...)
		v.manifest.Chunks = append(v.manifest.Chunks, chunk.Ref{Digest: chunk.DigestOf(b), Size: int64(len(b))})
	}
	v.manifest.Size = int64(len(whole))
	v.manifest.ContentDigest = chunk.DigestOf(whole)
	b, err := v.manifest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	v.digest = chunk.DigestOf(b)
	return v
}

func newFixture(t *testing.T, change func(*Engine)) *fixture {
	t.Helper()
	e := &Engine{
		Boot:        "boot",
		Fencing:     envdoc.FencingChecked,
		Pool:        &ChunkPool{},
		Capacity:    2,
		MaxQueue:    2,
		CacheBlocks: 8,
		Clock:       clockwork.NewRealClock(),
	}
	if change != nil {
		change(e)
	}
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	b := &fixture{t: t, engine: e, url: srv.URL}
	b.one = newVersion(t, "1", "shared", "old")
	b.two = newVersion(t, "2", "shared", "new")
	return b
}

func (b *fixture) do(method, path string, body []byte, header ...string) (*http.Response, []byte) {
	b.t.Helper()
	req, err := http.NewRequestWithContext(b.t.Context(), method, b.url+path, bytes.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, append(out, " cut"...)
	}
	return resp, out
}

func (b *fixture) stage(v version) {
	b.t.Helper()
	for i, c := range v.manifest.Chunks {
		b.do(http.MethodPut, "/v1/staging/"+string(c.Digest), v.chunks[i])
	}
}

func (b *fixture) order(number uint64, v version) int {
	b.t.Helper()
	body, err := json.Marshal(Order{Number: number, Action: ActionLoad, Manifest: v.digest, Body: v.manifest})
	if err != nil {
		b.t.Fatal(err)
	}
	resp, _ := b.do(http.MethodPost, "/v1/orders", body)
	return resp.StatusCode
}

// waitLoaded waits until no load runs and returns the state.
func (b *fixture) waitLoaded() State {
	b.t.Helper()
	for {
		_, body := b.do(http.MethodGet, "/v1/state", nil)
		var s State
		if err := json.Unmarshal(body, &s); err != nil {
			b.t.Fatal(err)
		}
		if s.Loading == "" {
			return s
		}
		time.Sleep(time.Millisecond)
	}
}

func (b *fixture) load(number uint64, v version) {
	b.t.Helper()
	b.stage(v)
	b.order(number, v)
	b.waitLoaded()
}

func (b *fixture) faults(s string) {
	b.t.Helper()
	resp, _ := b.do(http.MethodPost, "/control/faults", []byte(s))
	check(b.t, "faults "+s, http.StatusNoContent, resp.StatusCode)
}

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

const chat = `{"messages":[{"role":"user","content":"hello"}],"max_tokens":4,"stream":false}`

func (b *fixture) chat(header ...string) (int, string, string) {
	b.t.Helper()
	resp, body := b.do(http.MethodPost, "/v1/chat/completions", []byte(chat), header...)
	if resp == nil {
		return 0, "", ""
	}
	var c Completion
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		return resp.StatusCode, "", ""
	}
	return resp.StatusCode, c.Choices[0].Message.Content, resp.Header.Get(headerManifest)
}

func (v version) answer() expect.Answer {
	return expect.NewAnswer(v.digest, expect.Prompt([]expect.Message{{Role: "user", Content: "hello"}}))
}

func TestLoadServes(t *testing.T) {
	b := newFixture(t, nil)
	status, _, _ := b.chat()
	check(t, "before any load", http.StatusServiceUnavailable, status)
	check(t, "nothing staged", http.StatusUnprocessableEntity, b.order(1, b.one))
	b.load(1, b.one)
	status, text, named := b.chat()
	check(t, "answer", []any{200, b.one.answer().Text(4), string(b.one.digest)}, []any{status, text, named})
	_, rest, _ := b.chat(headerResume, "3")
	check(t, "resumed", b.one.answer().Token(3), rest)
}

// An order with an old number, for example of a side that was suspended, is
// refused by an engine that checks numbers. An engine that ignores them loads
// the old version again, which the sender of the order has to prevent.
func TestOldOrder(t *testing.T) {
	tests := []struct {
		fencing envdoc.Fencing
		status  int
		version string
		last    uint64
	}{
		{fencing: envdoc.FencingChecked, status: http.StatusConflict, version: "2", last: 5},
		{fencing: envdoc.FencingIgnored, status: http.StatusAccepted, version: "1", last: 4},
	}
	for _, tc := range tests {
		b := newFixture(t, func(e *Engine) { e.Fencing = tc.fencing })
		b.stage(b.one)
		b.load(5, b.two)
		check(t, "status", tc.status, b.order(4, b.one))
		s := b.waitLoaded()
		check(t, string(tc.fencing), []any{tc.version, tc.last}, []any{s.Version, s.LastOrder})
	}
}

// A load with a chunk that was corrupted in transfer fails, the state has the
// error, and the previous version is still served, since the engine verifies
// the content digest before it switches.
func TestCorruptedWeightsAreNotServed(t *testing.T) {
	b := newFixture(t, nil)
	b.load(1, b.one)
	b.stage(b.two)
	b.do(http.MethodPut, "/v1/staging/"+string(b.two.manifest.Chunks[1].Digest), []byte("bad"))
	b.order(2, b.two)
	s := b.waitLoaded()
	check(t, "state", []any{"1", true}, []any{s.Version, s.LastError != ""})
	_, text, _ := b.chat()
	check(t, "answer", b.one.answer().Text(4), text)
	check(t, "loads", []LoadOutcome{LoadDone, LoadFailed}, outcomes(b.engine))
}

// A version is not served when a later order is accepted while it loads; its load
// ends as superseded.
func TestSupersededLoad(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newFixture(t, func(e *Engine) { e.Clock, e.LoadTime = clock, time.Second })
	b.stage(b.one)
	b.stage(b.two)
	b.order(1, b.one)
	b.order(2, b.two)
	if err := clock.BlockUntilContext(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	check(t, "version", "2", b.waitLoaded().Version)
	for outcomes(b.engine)[0] == LoadRunning {
		time.Sleep(time.Millisecond)
	}
	check(t, "loads", []LoadOutcome{LoadSuperseded, LoadDone}, outcomes(b.engine))
}

func outcomes(e *Engine) []LoadOutcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []LoadOutcome
	for _, l := range e.loads {
		out = append(out, l.Outcome)
	}
	return out
}

// With cutAfter 2 and times 1 the first stream's connection closes after two
// tokens, without a finish reason and without [DONE], and the next stream is
// complete.
func TestCutStream(t *testing.T) {
	b := newFixture(t, nil)
	b.load(1, b.one)
	b.faults(`{"cutAfter":2,"times":1}`)
	body := []byte(strings.Replace(chat, `"stream":false`, `"stream":true`, 1))
	var got []string
	for range 2 {
		_, out := b.do(http.MethodPost, "/v1/chat/completions", body)
		s := string(out)
		got = append(got, strings.Join([]string{
			strings.Repeat("token ", strings.Count(s, `"content"`)),
			strings.Repeat("finish ", strings.Count(s, `"finish_reason":"stop"`)),
			strings.Repeat("done ", strings.Count(s, "[DONE]")),
			strings.Repeat("cut", strings.Count(s, " cut")),
		}, ""))
	}
	check(t, "streams", []string{"token token cut", "token token token token finish done "}, got)
}

// A request to a silent engine gets no answer and no error, and its connection
// stays open. It is answered once the fault is removed.
func TestSilent(t *testing.T) {
	b := newFixture(t, nil)
	b.load(1, b.one)
	b.faults(`{"silent":true}`)
	got := make(chan string)
	go func() {
		_, text, _ := b.chat()
		got <- text
	}()
	select {
	case <-got:
		t.Error("a silent engine answered")
	case <-time.After(20 * time.Millisecond):
	}
	b.faults(`{}`)
	check(t, "answer", b.one.answer().Text(4), <-got)
}

// Generations beyond the capacity wait, those beyond the queue get errFull, and
// an interactive one gets a slot before a batch one that came earlier.
func TestSlots(t *testing.T) {
	s := &generationSlots{capacity: 1, maxQueue: 2}
	if err := s.acquire(t.Context(), false); err != nil {
		t.Fatal(err)
	}
	turns := make(chan string, 2)
	wait := func(name string, batch bool, queued int) {
		go func() {
			if err := s.acquire(t.Context(), batch); err != nil {
				t.Error(err)
			}
			turns <- name
		}()
		for _, n := s.load(); n < queued; _, n = s.load() {
			time.Sleep(time.Millisecond)
		}
	}
	wait("batch", true, 1)
	wait("interactive", false, 2)
	if err := s.acquire(t.Context(), false); !errors.Is(err, errFull) {
		t.Errorf("third in the queue: got %v, want %v", err, errFull)
	}
	s.release()
	first := <-turns
	s.release()
	check(t, "order", []string{"interactive", "batch"}, []string{first, <-turns})
}

// An event of the cache is returned only after the lag, and every third one is
// left out, which shows as a gap in the sequence numbers.
func TestCacheEvents(t *testing.T) {
	now := time.Unix(0, 0)
	c := &prefixCache{maxBlocks: 2, lag: time.Second, gap: 3}
	check(t, "missed", 2, c.touch([]string{"a", "b"}, now))
	check(t, "missed again", 0, c.touch([]string{"a", "b"}, now))
	check(t, "missed with eviction", 1, c.touch([]string{"c"}, now))
	check(t, "before the lag", []Event{}, c.eventsAfter(0, now))
	want := []Event{
		{Seq: 1, Action: EventStored, Prefix: "a"},
		{Seq: 2, Action: EventStored, Prefix: "b"},
		{Seq: 4, Action: EventEvicted, Prefix: "a"},
	}
	check(t, "after the lag", want, c.eventsAfter(0, now.Add(time.Second)))
	check(t, "after 2", want[2:], c.eventsAfter(2, now.Add(time.Second)))
}

func TestPoolFreesBytes(t *testing.T) {
	p := &ChunkPool{}
	d := p.retain([]byte("x"))
	p.retain([]byte("x"))
	p.release(d)
	check(t, "held by one", []byte("x"), p.bytes(d))
	p.release(d)
	check(t, "held by none", 0, len(p.items))
}
