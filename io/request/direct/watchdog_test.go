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

// testSource is a Source whose facts a test can change.
type testSource struct{ facts *facts.Facts }

func (s *testSource) Current() *facts.Facts      { return s.facts }
func (s *testSource) Changed() <-chan struct{}   { return nil }
func (s *testSource) Age() (time.Duration, bool) { return 0, true }

// announce adds an announced version of model m.
func (s *testSource) announce(version uint64, since time.Time) {
	next := &facts.Facts{Versions: append([]facts.ModelVersion{{Model: "m", Version: version, Since: since}}, s.facts.Versions...)}
	s.facts = next
}

// watchdogTest is a request under way at an engine that serves version 1. After a newer
// version is announced, requests may begin on version 1 for another 8 seconds.
type watchdogTest struct {
	t          *testing.T
	clock      *clockwork.FakeClock
	testSource *testSource
	server     *Server
	q          *request
	x          *exchange
	watchdog   *watchdog
}

func newWatchdogTest(t *testing.T) *watchdogTest {
	t.Helper()
	entry, engine := net.Pipe()
	t.Cleanup(func() { engine.Close() })
	w := &watchdogTest{t: t, clock: clockwork.NewFakeClock(), testSource: &testSource{facts: &facts.Facts{}}}
	w.server = &Server{Clock: w.clock, Source: w.testSource, Rules: Rules{OldVersionPeriod: 8 * time.Second}}
	w.q = &request{service: table.Service{Name: "svc", Engine: &table.Engine{Model: "m"}}, deadline: w.clock.Now().Add(time.Hour)}
	w.x = &exchange{conn: entry, closed: make(chan struct{}), stopAfterFunc: func() bool { return true }}
	t.Cleanup(w.x.close)
	return w
}

func (w *watchdogTest) start() {
	w.watchdog = w.server.startWatchdog(w.q, w.x, place.Verdict{Target: facts.Target{ID: w.q.targetID}, ServedVersion: 1}, w.q.tries.Remaining() > 0)
	w.t.Cleanup(w.watchdog.stop)
}

// advance moves the clock on in small steps, so that timers that are set again in
// between fire as well.
func (w *watchdogTest) advance(d time.Duration) {
	for step := versionCheckInterval / 4; d > 0; d -= step {
		w.clock.Advance(step)
		time.Sleep(time.Millisecond)
	}
}

// A request that has not begun must be aborted before its engine's version becomes too
// old, also if the entry learns only after it has sent the request that a newer version
// was announced, or that it was announced earlier than known until then.
func TestVersionAnnouncedAfterSendEndsRequest(t *testing.T) {
	tests := []struct {
		name  string
		learn func(w *watchdogTest)
	}{
		{"announced after the request was sent", func(w *watchdogTest) { w.testSource.announce(2, w.clock.Now()) }},
		{"announced before the request was sent, learned of after it", func(w *watchdogTest) { w.testSource.announce(2, w.clock.Now().Add(-2*time.Second)) }},
		{"older of two versions learned of last", func(w *watchdogTest) {
			w.testSource.announce(3, w.clock.Now())
			w.advance(time.Second)
			w.testSource.announce(2, w.clock.Now().Add(-2*time.Second))
		}},
		{"newest may have been announced first", func(w *watchdogTest) {
			w.testSource.announce(2, w.clock.Now())
			w.testSource.announce(3, w.clock.Now().Add(-2*time.Second))
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWatchdogTest(t)
			w.start()
			w.advance(time.Second)
			tc.learn(w)
			announced := w.testSource.facts.Versions[0].Since
			w.advance(announced.Add(w.server.Rules.OldVersionPeriod).Sub(w.clock.Now()) - versionCheckInterval)
			if w.x.abortReason() == nil {
				t.Error("not aborted before the deadline for beginning on the old version")
			}
		})
	}
}

// A stream that began in time must not be aborted when newer versions are announced: it
// would have to be generated again from the start elsewhere.
func TestBegunStreamIsNotAborted(t *testing.T) {
	w := newWatchdogTest(t)
	w.testSource.announce(2, w.clock.Now())
	w.testSource.announce(3, w.clock.Now())
	w.start()
	w.watchdog.received()
	w.advance(2 * w.server.Rules.OldVersionPeriod)
	if diff := cmp.Diff(nil, w.x.abortReason()); diff != "" {
		t.Errorf("abort reason (-want +got):\n%s", diff)
	}
}

// The version becomes too old while a buffered response is being read. The request has
// run by then, so the response must not be aborted.
func TestBufferedResponseIsNotAborted(t *testing.T) {
	w := newWatchdogTest(t)
	w.testSource.announce(2, w.clock.Now())
	w.start()
	body := &callbackBody{onRead: func() { w.advance(2 * w.server.Rules.OldVersionPeriod) }}
	w.x.resp = &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}
	rec := httptest.NewRecorder()
	r := &bufferedRelay{q: w.q, caller: callerWriter{w: rec, rc: http.NewResponseController(rec)}}
	r.readAndSend(w.x, w.watchdog)
	if diff := cmp.Diff(nil, w.x.abortReason()); diff != "" {
		t.Errorf("abort reason (-want +got):\n%s", diff)
	}
}

// callbackBody is a response body that calls onRead whenever it is read, and is empty.
type callbackBody struct{ onRead func() }

func (b *callbackBody) Read([]byte) (int, error) {
	b.onRead()
	return 0, io.EOF
}

// A request may have waited for its place until the target's version became too old. It
// must not be sent there, because an idle engine would begin it at once.
func TestVersionTooOldAtDeadline(t *testing.T) {
	w := newWatchdogTest(t)
	w.testSource.announce(2, w.clock.Now())
	w.clock.Advance(w.server.Rules.OldVersionPeriod - beginMargin - time.Millisecond)
	if w.server.versionTooOld(w.q, 1) {
		t.Error("version 1 is too old before its deadline")
	}
	w.clock.Advance(time.Millisecond)
	if !w.server.versionTooOld(w.q, 1) {
		t.Error("version 1 is not too old at its deadline")
	}
	if w.server.versionTooOld(w.q, 2) {
		t.Error("version 2 is too old, though it is the newest")
	}
}
