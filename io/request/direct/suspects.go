package direct

import (
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/resend"
	"hawthornferry/io/conn/bound"
)

// Suspects keeps track of requests that may crash the targets that run them. Package
// alert implements it.
type Suspects interface {
	// HasRecords reports whether anything is recorded about any request. It is called for each
	// request and must be cheap.
	HasRecords() bool
	// Blocked reports whether a request must be refused, and after what time its caller
	// may retry.
	Blocked(id poison.Identity) (time.Duration, bool)
	// Trial returns where a blocked request may be sent once more to show whether targets
	// survive it, and counts that as a trial.
	Trial(id poison.Identity) poison.Trial
	// RecordFailure records that a target dropped the connection during an attempt sent at
	// began. at identifies the start of that target, and ran is how long the response had
	// been under way.
	RecordFailure(began time.Time, id poison.Identity, at poison.Incarnation, ran time.Duration)
	// RecordSuccess records that a request completed without crashing its target.
	RecordSuccess(k poison.Fingerprint)
	// RecordSound records that a target ran a request with the given parts without crashing.
	RecordSound(parts []poison.PartID)
	// RecordAnswer records that a target has answered a request that was sent at began. at
	// identifies the start of that target.
	RecordAnswer(began time.Time, at poison.Incarnation)
}

// noSuspects blocks no request.
type noSuspects struct{}

func (noSuspects) HasRecords() bool { return false }

func (noSuspects) Blocked(poison.Identity) (time.Duration, bool) { return 0, false }

func (noSuspects) Trial(poison.Identity) poison.Trial { return poison.Trial{} }

func (noSuspects) RecordFailure(time.Time, poison.Identity, poison.Incarnation, time.Duration) {}

func (noSuspects) RecordSuccess(poison.Fingerprint)           {}
func (noSuspects) RecordSound([]poison.PartID)                {}
func (noSuspects) RecordAnswer(time.Time, poison.Incarnation) {}

// reasonCrashesTargets is the reason given when a request is refused because it crashes
// targets.
const reasonCrashesTargets = "crashesTargets"

// blocked reports whether a request must not be sent to any target, and after what time
// its caller may retry.
func (s *Server) blocked(q *request) (time.Duration, bool) {
	if !s.Suspects.HasRecords() {
		return 0, false
	}
	return s.Suspects.Blocked(q.identity())
}

// trial restricts the next attempt of a blocked request to the given targets and to the time
// until sendBy. Without targets the request is not in a trial.
type trial struct {
	targets []string
	sendBy  time.Time
}

func (q *request) inTrial() bool { return len(q.trial.targets) > 0 }

// startTrial reports whether a blocked request may be sent once more, and restricts its next
// attempt to the targets of the trial.
func (s *Server) startTrial(q *request) bool {
	t := s.Suspects.Trial(q.identity())
	if len(t.Starts) == 0 {
		return false
	}
	q.trial.sendBy = t.SendBy
	for _, target := range s.Source.Current().Targets {
		if slices.Contains(t.Starts, poison.NewIncarnation(target.ID, target.StartedAt)) {
			q.trial.targets = append(q.trial.targets, target.ID)
		}
	}
	return q.inTrial()
}

// reportOutcome tells Suspects what the end of an attempt says about the request and
// its target.
func (s *Server) reportOutcome(q *request, t facts.Target, o resend.Outcome, err error) {
	at := poison.NewIncarnation(t.ID, t.StartedAt)
	switch {
	case o == resend.Broken && (lostConnection(err) || lostConnection(q.progress.responseErr)):
		s.Suspects.RecordFailure(q.progress.attemptStart, q.identity(), at, q.progress.responseDuration(s.Clock.Now()))
	case o == resend.Relayed || o == resend.TargetFailure:
		s.reportResponse(q, at)
	}
}

// reportResponse tells Suspects what a response says that has not broken off.
func (s *Server) reportResponse(q *request, at poison.Incarnation) {
	recorded := s.Suspects.HasRecords()
	if recorded {
		s.Suspects.RecordAnswer(q.progress.attemptStart, at)
	}
	// With an error status, the request may not have run.
	if q.progress.status >= http.StatusBadRequest || q.progress.mayBeTruncated {
		return
	}
	s.reportSound(q)
	if recorded {
		s.Suspects.RecordSuccess(q.fingerprint())
	}
}

// reportSound tells Suspects that a target has run the request without crashing.
func (s *Server) reportSound(q *request) {
	if parts := q.parts(); len(parts) > 0 {
		s.Suspects.RecordSound(parts)
	}
}

// isCutOff reports whether err shows that a read was cut off at a bound.
func isCutOff(err error) bool {
	_, cut := bound.Of(err)
	return cut
}

// lostConnection reports whether err shows that the target ended the connection, as a
// crash does. A connection that the entry closed gives other errors.
func lostConnection(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}
