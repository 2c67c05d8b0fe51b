package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/resend"
)

// The actions of log lines about a request. A successful request has a single line,
// actionAnswer, which includes its placement; each attempt that did not end well adds
// an actionAttempt line before it. The collected output of a busy entry covers only a
// few seconds, and two lines for each request would halve that.
const (
	actionAttempt = "attempt"
	actionAnswer  = "answer"
)

// outcomeBrokenOff is the outcome of a response that was cut off in the middle.
const outcomeBrokenOff = "brokenOff"

// reasonLate is the reason of a complete response that missed the route's objective.
const reasonLate = "late"

// progress is the state of a request's attempts. Log lines are written from it.
type progress struct {
	// verdict is the placer's last verdict, and attemptStart when the attempt that
	// followed it began.
	verdict      place.Verdict
	attemptStart time.Time
	// minVersion is the oldest model version that the last attempt was allowed to begin
	// on.
	minVersion uint64
	attempts   int
	// status is the HTTP status of the target's response, zero if there is none yet.
	status int
	// responseErr is the error that ended the target's response early, nil if there is
	// none.
	responseErr error
	// endCause is why the last attempt ended that sent the caller a part of a response,
	// empty if there is none.
	endCause endCause
	// firstEventAt is when the target's first event with an ID arrived, zero before
	// that.
	firstEventAt time.Time
	// mayBeTruncated is set if a crash of the target may have ended the response, although it looks
	// complete.
	mayBeTruncated bool
	// reportedSound is set once the attempt has been reported to run without a crash.
	reportedSound bool
	// timeToFirstEvent is the time from the arrival of the request to the first event,
	// zero before that.
	timeToFirstEvent time.Duration
}

// responseDuration returns for how long the target has been sending events.
func (p *progress) responseDuration(now time.Time) time.Duration {
	if p.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(p.firstEventAt)
}

// IsRoutine reports whether d is the line of a request that went well: one attempt, on
// time. If the log exceeds its rate limit, these lines are dropped before those of other
// requests.
func IsRoutine(d trail.Decision) bool {
	return d.Action == actionAnswer && d.Outcome == string(resend.Relayed) && d.Attempts == 0 && d.Reason == ""
}

// isLate reports whether a response missed the objective of its route. took is the
// duration of the request; for a stream, the time to the first event counts instead.
func (q *request) isLate(took time.Duration) bool {
	if q.progress.timeToFirstEvent > 0 {
		took = q.progress.timeToFirstEvent
	}
	return q.route.Objective > 0 && took > q.route.Objective
}

// newDecision returns a log line with the fields that all lines about a request have,
// including the inputs of the last placement.
func (q *request) newDecision(action string) trail.Decision {
	v := q.progress.verdict
	d := trail.Decision{
		Area: trail.AreaCall, Action: action, Request: q.call.ID, Customer: q.customer,
		Service: q.service.Name, Subject: q.route.Name, Choice: v.Target.ID, Revision: q.revision(),
		Load: v.Load, Version: v.ServedVersion, MinVersion: q.progress.minVersion,
		WaitedMS: v.Waited.Milliseconds(), ExpectedMS: v.ExpectedFirstAnswer.Milliseconds(),
	}
	if q.hasKey {
		d.Fingerprint = q.key.String()
	}
	if q.firstAskedAt.Before(q.arrivedAt) && !q.firstAskedAt.IsZero() {
		d.SinceFirstRequestMS = q.arrivedAt.Sub(q.firstAskedAt).Milliseconds()
	}
	if v.Decision == place.Refused {
		d.Candidates, d.ObjectiveMS = &v.Candidates, q.route.Objective.Milliseconds()
	}
	return d
}

func (q *request) revision() uint64 {
	if q.facts == nil {
		return 0
	}
	return q.facts.Revision
}

// beginAttempt resets the state for an attempt that follows the given verdict.
func (q *request) beginAttempt(now time.Time, v place.Verdict) {
	q.progress.verdict, q.progress.attemptStart, q.progress.status, q.progress.responseErr = v, now, 0, nil
	q.progress.firstEventAt, q.progress.reportedSound, q.progress.mayBeTruncated = time.Time{}, false, false
}

// contextEndReason returns an error that says why the request's context ended, nil if
// it has not. The connection to the target is closed when the context ends, and the
// error from that does not tell the cause.
func contextEndReason(ctx context.Context) error {
	switch {
	case errors.Is(context.Cause(ctx), errStopping):
		return errStopping
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errors.New("request deadline exceeded")
	case ctx.Err() != nil:
		return errors.New("caller disconnected")
	default:
		return nil
	}
}

// recordAttempt counts an attempt, and logs it if it did not end well. begun is set if
// the caller has a part of the response.
func (s *Server) recordAttempt(ctx context.Context, q *request, o resend.Outcome, err error, begun bool) {
	if err == nil {
		err = q.progress.responseErr
	}
	if ctxErr := contextEndReason(ctx); ctxErr != nil {
		err = ctxErr
	}
	s.metrics.countAttempt(o)
	q.progress.attempts++
	if o == resend.Relayed {
		return
	}
	c, byEntry := causeOf(err)
	if byEntry {
		s.metrics.countAborted(c)
		s.endCounts.countAborted(c)
	}
	if begun && o != resend.NotRun && o != resend.Unreached {
		q.progress.endCause = c
	}
	if o == resend.Broken {
		q.fingerprint()
	}
	d := q.newDecision(actionAttempt)
	if o == resend.Broken {
		d.PromptParts = q.call.SharedParts
	}
	if c == causeReadCutOff {
		d.Cause = string(c)
		s.CutOffs.Record(trail.AreaMember, d.Choice, q.progress.verdict.Target.Address.String(), err)
	}
	d.Outcome, d.Status, d.LastEvent = string(o), q.progress.status, q.lastEventID
	d.TookMS = s.Clock.Since(q.progress.attemptStart).Milliseconds()
	if err != nil {
		d.Reason = err.Error()
	}
	s.Log.Record(d)
}

// recordFailedHandover records an attempt at a target that was to take a response over
// and did not. The state of the present target's attempt is kept.
func (s *Server) recordFailedHandover(ctx context.Context, q *request, h *handover, succ successor) {
	saved := q.progress
	q.beginAttempt(h.startedAt, h.verdict)
	s.reportOutcome(q, h.verdict.Target, succ.outcome, succ.err)
	s.recordAttempt(ctx, q, succ.outcome, succ.err, false)
	saved.attempts = q.progress.attempts
	q.progress = saved
}

// finishRequest counts and logs the end of a request.
func (s *Server) finishRequest(q *request, outcome string, status int) {
	took := s.Clock.Since(q.arrivedAt)
	s.metrics.countRequest(q.route.Name, outcome, status, took)
	d := q.newDecision(actionAnswer)
	d.Outcome, d.Reason, d.Status = outcome, q.reason, status
	if q.reason == reasonCrashesTargets {
		d.PromptParts = q.call.SharedParts
	}
	if outcome == outcomeBrokenOff {
		d.Cause = string(q.progress.endCause)
	}
	d.TookMS = took.Milliseconds()
	if age, known := s.Source.Age(); known {
		d.AgeMS = age.Milliseconds()
	}
	d.FirstEventMS = q.progress.timeToFirstEvent.Milliseconds()
	d.RetryBudget = s.deniedRetry(q)
	d.Level = s.recordHeldBack(q)
	if q.progress.attempts > 1 {
		d.Attempts = q.progress.attempts
	}
	if outcome == string(resend.Relayed) && q.isLate(took) {
		s.metrics.countLate(q.route.Name)
		d.Reason, d.ObjectiveMS = reasonLate, q.route.Objective.Milliseconds()
	}
	s.Log.Record(d)
}
