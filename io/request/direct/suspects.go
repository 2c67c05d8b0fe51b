package direct

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/resend"
)

// Suspects knows the requests that may crash the targets which run them.
type Suspects interface {
	// Any reports whether anything is known of any request. It must be cheap.
	Any() bool
	// Blocked reports whether a request is refused, and after what time its caller may
	// come back.
	Blocked(k poison.Key) (time.Duration, bool)
	// Struck takes that an attempt broke off whose answer had gone on for ran.
	Struck(k poison.Key, at poison.Start, ran time.Duration)
	// Succeeded takes that a request ended well.
	Succeeded(k poison.Key)
	// Answered takes that a target has answered a request that was sent at began.
	Answered(began time.Time, at poison.Start)
}

// noSuspects lets all requests through.
type noSuspects struct{}

func (noSuspects) Any() bool                                      { return false }
func (noSuspects) Blocked(poison.Key) (time.Duration, bool)       { return 0, false }
func (noSuspects) Struck(poison.Key, poison.Start, time.Duration) {}
func (noSuspects) Succeeded(poison.Key)                           {}
func (noSuspects) Answered(time.Time, poison.Start)               {}

// reasonCrashes is the reason of a refusal of a request that crashes its targets.
const reasonCrashes = "crashesTargets"

// blocked reports whether a request must not be sent to any target, and after what
// time its caller may come back.
func (s *Server) blocked(q *request) (time.Duration, bool) {
	if !s.Suspects.Any() {
		return 0, false
	}
	return s.Suspects.Blocked(q.fingerprint())
}

// noteOutcome takes what the end of an attempt tells of its request and its target.
func (s *Server) noteOutcome(q *request, t facts.Target, o resend.Outcome, err error) {
	at := poison.StartOf(t.ID, t.Born)
	switch {
	case o == resend.Broken && (lostConnection(err) || lostConnection(q.story.cut)):
		s.Suspects.Struck(q.fingerprint(), at, q.story.ran(s.Clock.Now()))
	case !s.Suspects.Any():
	case o == resend.Relayed || o == resend.Failure:
		s.Suspects.Answered(q.story.tried, at)
		// One that its target declined may not have run.
		if q.story.status < http.StatusBadRequest {
			s.Suspects.Succeeded(q.fingerprint())
		}
	}
}

// lostConnection reports whether a connection was ended by its target, as by one that
// crashes. One that the entry itself has ended gives another error.
func lostConnection(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
