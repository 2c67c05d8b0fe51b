package direct

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/table"
)

// belief is a source that a test changes.
type belief struct{ facts *facts.Facts }

func (b *belief) Current() *facts.Facts      { return b.facts }
func (b *belief) Changed() <-chan struct{}   { return nil }
func (b *belief) Age() (time.Duration, bool) { return 0, true }

func (b *belief) name(version uint64, since time.Time) {
	next := &facts.Facts{Versions: append([]facts.Named{{Model: "m", Version: version, Since: since}}, b.facts.Versions...)}
	b.facts = next
}

// guarded is a request under way at an engine that serves version 1, with a bound
// of eight seconds on newer versions.
type guarded struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	belief *belief
	server *Server
	q      *request
	x      *exchange
	guard  *guard
}

func newGuarded(t *testing.T) *guarded {
	t.Helper()
	entry, engine := net.Pipe()
	t.Cleanup(func() { engine.Close() })
	w := &guarded{t: t, clock: clockwork.NewFakeClock(), belief: &belief{facts: &facts.Facts{}}}
	w.server = &Server{Clock: w.clock, Source: w.belief, Rules: Rules{Version: 8 * time.Second}}
	w.q = &request{service: table.Service{Name: "svc", Engine: &table.Engine{Model: "m"}}, deadline: w.clock.Now().Add(time.Hour)}
	w.x = &exchange{conn: entry, done: make(chan struct{}), stop: func() bool { return true }}
	t.Cleanup(w.x.close)
	return w
}

func (w *guarded) send() {
	w.guard = w.server.guard(w.q, w.x, place.Verdict{Target: facts.Target{ID: w.q.target}, Serving: 1}, w.q.tries.Left() > 0)
	w.t.Cleanup(w.guard.stop)
}

// pass lets time go by in steps, as timers that set themselves anew need it.
func (w *guarded) pass(d time.Duration) {
	for step := dueEvery / 4; d > 0; d -= step {
		w.clock.Advance(step)
		time.Sleep(time.Millisecond)
	}
}

// A caller's request waits at an engine that serves the version before. The entry
// hears of the newer one only after it has sent it, or learns after it that the
// naming lies further back. It must end the request before the bound all the same.
func TestNamingThatComesToLightAfterTheSend(t *testing.T) {
	tests := []struct {
		name  string
		heard func(w *guarded)
	}{
		{"named after the send", func(w *guarded) { w.belief.name(2, w.clock.Now()) }},
		{"named before the send and heard after it", func(w *guarded) { w.belief.name(2, w.clock.Now().Add(-2*time.Second)) }},
		{"replaced version heard of last", func(w *guarded) {
			w.belief.name(3, w.clock.Now())
			w.pass(time.Second)
			w.belief.name(2, w.clock.Now().Add(-2*time.Second))
		}},
		{"newest may have been named first", func(w *guarded) {
			w.belief.name(2, w.clock.Now())
			w.belief.name(3, w.clock.Now().Add(-2*time.Second))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newGuarded(t)
			w.send()
			w.pass(time.Second)
			tc.heard(w)
			named := w.belief.facts.Versions[0].Since
			w.pass(named.Add(w.server.Rules.Version).Sub(w.clock.Now()) - dueEvery)
			if w.x.reason() == nil {
				t.Error("the request may still begin on the old version at the bound")
			}
		})
	}
}

// Two versions are named in turn while a caller's stream is under way at an engine
// with the version before both. It began in time, so that no bound ends it: what
// is cut in the middle is read again from the start elsewhere.
func TestBegunStreamIsNotCut(t *testing.T) {
	w := newGuarded(t)
	w.belief.name(2, w.clock.Now())
	w.belief.name(3, w.clock.Now())
	w.send()
	w.guard.heard()
	w.pass(2 * w.server.Rules.Version)
	if diff := cmp.Diff(nil, w.x.reason()); diff != "" {
		t.Errorf("ended by the entry (-want +got):\n%s", diff)
	}
}

// The bound passes while a whole answer is on its way to the caller. Its request has
// run, so that the answer is not cut.
func TestWholeAnswerIsNotCut(t *testing.T) {
	w := newGuarded(t)
	w.belief.name(2, w.clock.Now())
	w.send()
	body := &slowBody{read: func() { w.pass(2 * w.server.Rules.Version) }}
	w.x.resp = &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}
	rec := httptest.NewRecorder()
	r := &wholeRelay{q: w.q, out: callerWriter{w: rec, rc: http.NewResponseController(rec)}}
	r.read(w.x, w.guard)
	if diff := cmp.Diff(nil, w.x.reason()); diff != "" {
		t.Errorf("ended by the entry (-want +got):\n%s", diff)
	}
}

// slowBody is a body during whose reading something happens.
type slowBody struct{ read func() }

func (b *slowBody) Read([]byte) (int, error) {
	b.read()
	return 0, io.EOF
}

// A request waited for its place until the version of the target that it got was
// too old. It must not be sent there at all: an idle engine begins at once.
func TestOverdueVersionIsNotSentTo(t *testing.T) {
	w := newGuarded(t)
	w.belief.name(2, w.clock.Now())
	w.clock.Advance(w.server.Rules.Version - beginReserve - time.Millisecond)
	if w.server.overdue(w.q, 1) {
		t.Error("overdue before the time is over")
	}
	w.clock.Advance(time.Millisecond)
	if !w.server.overdue(w.q, 1) {
		t.Error("not overdue when the time is over")
	}
	if w.server.overdue(w.q, 2) {
		t.Error("the version named is overdue itself")
	}
}
