package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/resend"
)

// suspectsRecorder records the calls of Suspects.
type suspectsRecorder struct {
	noSuspects
	calls []string
}

func (r *suspectsRecorder) HasRecords() bool { return true }

func (r *suspectsRecorder) RecordFailure(_ time.Time, _ poison.Identity, at poison.Incarnation, ran time.Duration) {
	r.calls = append(r.calls, "struck "+at.Target+" after "+ran.String())
}

func (r *suspectsRecorder) RecordSuccess(poison.Fingerprint) { r.calls = append(r.calls, "succeeded") }

func (r *suspectsRecorder) RecordSound(parts []poison.PartID) {
	r.calls = append(r.calls, fmt.Sprint("sound ", parts))
}

func (r *suspectsRecorder) RecordAnswer(_ time.Time, at poison.Incarnation) {
	r.calls = append(r.calls, "answered "+at.Target)
}

// A crash during a handover must be reported, whichever of the two targets crashes.
func TestCrashDuringHandoverIsReported(t *testing.T) {
	tests := []struct {
		name  string
		other func(m *handoverTest) http.HandlerFunc
		want  []string
	}{
		{"the other target crashes", func(*handoverTest) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", eventStreamType)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}, []string{"struck b", "answered a", "succeeded"}},
		{"the first target crashes", func(m *handoverTest) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				close(m.engine.crash)
				time.Sleep(50 * time.Millisecond)
				resumeStream(w, r)
			}
		}, []string{"struck a", "answered b", "succeeded"}},
		{"neither crashes", func(*handoverTest) http.HandlerFunc { return resumeStream }, []string{"answered b", "succeeded"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var m *handoverTest
			m = newHandoverTest(t, func(w http.ResponseWriter, r *http.Request) { tc.other(m)(w, r) })
			recorder := &suspectsRecorder{}
			m.server.Suspects = recorder
			_, in := m.startStream()
			m.requestLoad()
			go func() {
				time.Sleep(200 * time.Millisecond)
				for range streamEvents - 1 {
					m.engine.next <- struct{}{}
				}
			}()
			readRest(t, in)
			var got []string
			for _, s := range recorder.calls {
				s, _, _ = strings.Cut(s, " after")
				got = append(got, s)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("calls of Suspects (-want +got):\n%s", diff)
			}
		})
	}
}

// A request may be blamed for the crash of a target only if the connection was lost
// after the request was sent. A request that the entry aborted, that the target
// rejected, or that got an invalid response has crashed nothing.
func TestReportOutcome(t *testing.T) {
	eof := operr.Wrap("read stream", "", io.ErrUnexpectedEOF)
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	closed := &net.OpError{Op: "read", Err: net.ErrClosed}
	tests := []struct {
		name           string
		outcome        resend.Outcome
		err            error
		responseErr    error
		status         int
		duration       time.Duration
		mayBeTruncated bool
		want           []string
	}{
		{"connection ends before the response", resend.Broken, io.ErrUnexpectedEOF, nil, 0, 0, false, []string{"struck i-1 after 0s"}},
		{"connection reset", resend.Broken, errors.CombineErrors(reset, errSilent), nil, 0, 0, false, []string{"struck i-1 after 0s"}},
		{"connection ends within the response", resend.Broken, nil, eof, 200, time.Second, false, []string{"struck i-1 after 1s"}},
		{"moved by the entry", resend.Broken, errLoading, closed, 200, time.Second, false, nil},
		{"target silent", resend.Broken, errors.CombineErrors(closed, errSilent), nil, 0, 0, false, nil},
		{"events out of order", resend.Broken, nil, errOrder, 200, 0, false, nil},
		{"not signed", resend.Broken, errors.New("response is not signed by the target"), nil, 200, 0, false, nil},
		{"target not reached", resend.Unreached, reset, nil, 0, 0, false, nil},
		{"rejected by the target", resend.NotRun, errors.New("status 503"), nil, 0, 0, false, nil},
		{"response to another request", resend.MismatchedReply, errors.New("another"), nil, 0, 0, false, nil},
		{"caller disconnected", resend.CallerGone, nil, nil, 200, 0, false, nil},
		{"success", resend.Relayed, nil, nil, 200, 0, false, []string{"answered i-1", "sound [a b]", "succeeded"}},
		{"success that may be cut off", resend.Relayed, nil, nil, 200, 0, true, []string{"answered i-1"}},
		{"client error", resend.Relayed, nil, nil, 404, 0, false, []string{"answered i-1"}},
		{"server error", resend.TargetFailure, nil, nil, 500, 0, false, []string{"answered i-1"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			recorder := &suspectsRecorder{}
			clock := clockwork.NewFakeClock()
			s := &Server{Clock: clock, Suspects: recorder}
			q := &request{incoming: httptest.NewRequest(http.MethodPost, "/x", nil), call: CallerHeaders{SharedParts: []string{"a", "b"}}}
			q.progress.status, q.progress.responseErr = tc.status, tc.responseErr
			q.progress.mayBeTruncated = tc.mayBeTruncated
			if tc.duration > 0 {
				q.progress.firstEventAt = clock.Now().Add(-tc.duration)
			}
			s.reportOutcome(q, facts.Target{ID: "i-1"}, tc.outcome, tc.err)
			if diff := cmp.Diff(tc.want, recorder.calls); diff != "" {
				t.Errorf("calls of Suspects (-want +got):\n%s", diff)
			}
		})
	}
}
