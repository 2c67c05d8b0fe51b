package direct

import (
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
	"hawthornferry/core/process/fault"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/resend"
)

// suspectsRecorder writes down what it is told.
type suspectsRecorder struct {
	noSuspects
	told []string
}

func (h *suspectsRecorder) Any() bool { return true }

func (h *suspectsRecorder) Struck(_ poison.Key, at poison.Start, ran time.Duration) {
	h.told = append(h.told, "struck "+at.Target+" after "+ran.String())
}
func (h *suspectsRecorder) Succeeded(poison.Key) { h.told = append(h.told, "succeeded") }
func (h *suspectsRecorder) Answered(_ time.Time, at poison.Start) {
	h.told = append(h.told, "answered "+at.Target)
}

// Guards against a request that crashes targets unseen while its answer is moved.
func TestCrashDuringAHandoverCounts(t *testing.T) {
	tests := []struct {
		name  string
		other func(m *moving) http.HandlerFunc
		want  []string
	}{
		{"the other target crashes", func(*moving) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", eventStream)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}, []string{"struck b", "answered a", "succeeded"}},
		{"the first target crashes", func(m *moving) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				close(m.engine.crash)
				time.Sleep(50 * time.Millisecond)
				goOn(w, r)
			}
		}, []string{"struck a", "answered b", "succeeded"}},
		{"neither crashes", func(*moving) http.HandlerFunc { return goOn }, []string{"answered b", "succeeded"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var m *moving
			m = startMoving(t, func(w http.ResponseWriter, r *http.Request) { tc.other(m)(w, r) })
			heard := &suspectsRecorder{}
			m.server.Suspects = heard
			_, in := m.stream()
			m.load()
			go func() {
				time.Sleep(200 * time.Millisecond)
				for range streamEvents - 1 {
					m.engine.next <- struct{}{}
				}
			}()
			rest(t, in)
			var got []string
			for _, s := range heard.told {
				s, _, _ = strings.Cut(s, " after")
				got = append(got, s)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("told (-want +got):\n%s", diff)
			}
		})
	}
}

// A request must be blamed for the end of a target only where its connection was lost
// after it was sent: one that the entry itself gave up, that was turned away or that
// got a bad answer has crashed nothing.
func TestWhatIsToldOfAttempts(t *testing.T) {
	eof := fault.At("read stream", "", io.ErrUnexpectedEOF)
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	closed := &net.OpError{Op: "read", Err: net.ErrClosed}
	tests := []struct {
		name    string
		outcome resend.Outcome
		err     error
		cut     error
		status  int
		ran     time.Duration
		want    []string
	}{
		{"ends before its answer", resend.Broken, io.ErrUnexpectedEOF, nil, 0, 0, []string{"struck i-1 after 0s"}},
		{"resets", resend.Broken, errors.CombineErrors(reset, errSilent), nil, 0, 0, []string{"struck i-1 after 0s"}},
		{"ends in its answer", resend.Broken, nil, eof, 200, time.Second, []string{"struck i-1 after 1s"}},
		{"moved by the entry", resend.Broken, errLoading, closed, 200, time.Second, nil},
		{"silent", resend.Broken, errors.CombineErrors(closed, errSilent), nil, 0, 0, nil},
		{"events out of order", resend.Broken, nil, errOrder, 200, 0, nil},
		{"not signed", resend.Broken, errors.New("the answer is not signed"), nil, 200, 0, nil},
		{"not reached", resend.Unsent, reset, nil, 0, 0, nil},
		{"turned away", resend.NotRun, errors.New("status 503"), nil, 0, 0, nil},
		{"answer to another", resend.LateReply, errors.New("another"), nil, 0, 0, nil},
		{"caller left", resend.Caller, nil, nil, 200, 0, nil},
		{"well", resend.Relayed, nil, nil, 200, 0, []string{"answered i-1", "succeeded"}},
		{"declined", resend.Relayed, nil, nil, 404, 0, []string{"answered i-1"}},
		{"fails", resend.Failure, nil, nil, 500, 0, []string{"answered i-1"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			heard := &suspectsRecorder{}
			clock := clockwork.NewFakeClock()
			s := &Server{Clock: clock, Suspects: heard}
			q := &request{in: httptest.NewRequest(http.MethodPost, "/x", nil)}
			q.story.status, q.story.cut = tc.status, tc.cut
			if tc.ran > 0 {
				q.story.began = clock.Now().Add(-tc.ran)
			}
			s.noteOutcome(q, facts.Target{ID: "i-1"}, tc.outcome, tc.err)
			if diff := cmp.Diff(tc.want, heard.told); diff != "" {
				t.Errorf("told (-want +got):\n%s", diff)
			}
		})
	}
}
