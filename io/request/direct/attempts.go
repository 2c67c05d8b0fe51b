package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/request/place"
	"hawthornferry/core/request/resend"
	"hawthornferry/core/request/table"
)

// placeResults maps the outcome of an attempt to what the placer is told of the target.
var placeResults = map[resend.Outcome]place.Result{
	resend.Relayed:         place.ResultDone,
	resend.TargetFailure:   place.ResultDone,
	resend.NotRun:          place.ResultRejected,
	resend.Unreached:       place.ResultUnreached,
	resend.Broken:          place.ResultFailed,
	resend.CallerGone:      place.ResultCallerGone,
	resend.MismatchedReply: place.ResultFailed,
	resend.Moved:           place.ResultFailed,
	resend.Dropped:         place.ResultCallerGone,
}

// responseRelay passes the responses of targets on to the caller. It is used for all
// attempts at one request, of which a later one may continue what an earlier one broke
// off.
type responseRelay interface {
	// readResponse reads the response of one attempt and tells the watchdog of each
	// part. The error is the reason if the entry itself aborted the attempt.
	readResponse(ctx context.Context, x *exchange, g *watchdog) (resend.Outcome, error)
	// responseBegun reports whether the caller has a part of a response.
	responseBegun() bool
	// canContinue reports whether another attempt may send the response, or its rest.
	canContinue() bool
	// sendHeldFailure sends a failure response of a target that was held back because
	// another attempt might succeed. It returns false if there is none.
	sendHeldFailure() bool
}

// placeResultOf returns what the end of an attempt says about its target. An attempt
// that was moved because its target waits to load, was not sent because of what the target
// says of itself, or ended for lack of memory in this process does not count as a failure.
func placeResultOf(o resend.Outcome, err error) place.Result {
	if errors.IsAny(err, errLoading, errTakesNone, errNoMemory) {
		return place.ResultCallerGone
	}
	return placeResults[o]
}

// runAttempts makes attempts until the caller has its response or no further attempt is
// allowed.
func (s *Server) runAttempts(ctx context.Context, w http.ResponseWriter, q *request) {
	out := s.newRelay(w, q)
	q.tries = resend.AttemptTracker{Repeatable: q.route.Repeatable(), MaxAttempts: q.route.MaxAttempts}
	for {
		v, ok := s.waitForTarget(ctx, w, q, out)
		if !ok {
			return
		}
		o, err := s.attempt(ctx, q, v, out)
		s.dispatcher.done(q.placementID, placeResultOf(o, err))
		s.reportOutcome(q, q.progress.verdict.Target, o, err)
		s.recordAttempt(ctx, q, o, err, out.responseBegun())
		if o == resend.Relayed {
			s.finishRequest(q, string(o), q.progress.status)
			return
		}
		if ctx.Err() != nil || o == resend.CallerGone {
			s.endUnanswered(w, q, out)
			return
		}
		if !out.canContinue() || !s.mayRetry(q, o) {
			s.fail(w, q, out, failedTargetsRetryAfter)
			return
		}
		q.failedTargets = append(q.failedTargets, q.targetID)
		q.responseBegun = out.responseBegun()
	}
}

// waitForTarget waits until the placer assigns a target. It returns false if there is
// none; it has then ended the request.
func (s *Server) waitForTarget(ctx context.Context, w http.ResponseWriter, q *request, out responseRelay) (place.Verdict, bool) {
	for {
		q.trial = trial{}
		wait, blocked := s.blocked(q)
		if blocked && !s.startTrial(q) {
			s.failBlocked(w, q, out, wait)
			return place.Verdict{}, false
		}
		offered := s.placerRequest(q)
		offered.OnlyTargets = q.trial.targets
		v, ok := s.dispatcher.place(ctx, offered)
		if !ok {
			s.endUnanswered(w, q, out)
			return v, false
		}
		q.beginAttempt(s.Clock.Now(), v)
		switch {
		case v.Decision == place.Refused && blocked:
			s.failBlocked(w, q, out, wait)
			return v, false
		case v.Decision == place.Refused:
			q.reason = string(v.Reason)
			s.fail(w, q, out, v.RetryAfter)
			return v, false
		case s.stopsBeforeAnswer(v):
			s.dispatcher.done(v.ID, place.ResultCallerGone)
			s.failStopping(w, q, out)
			return v, false
		case s.maySend(q, v):
			return v, true
		}
		s.dispatcher.done(v.ID, place.ResultCallerGone)
	}
}

// maySend reports whether the request may be sent to the target to which it was assigned. While
// it waited, the target's version may have become too old. Then it must not be sent, because an
// idle engine would begin it at once. Or the request may have been found to crash targets, or a
// new configuration may not allow it in the target's region.
func (s *Server) maySend(q *request, v place.Verdict) bool {
	_, blocked := s.blocked(q)
	return (!blocked || q.inTrial()) && !s.versionTooOld(q, v.ServedVersion) && s.mayBeServedAt(q, v.Target)
}

// failBlocked ends a request that is blocked because it may crash targets.
func (s *Server) failBlocked(w http.ResponseWriter, q *request, out responseRelay, retryAfter time.Duration) {
	q.reason = reasonCrashesTargets
	s.metrics.countBlocked(q.service.Name)
	s.fail(w, q, out, retryAfter)
}

// attempt sends the request to one target and relays the response.
func (s *Server) attempt(ctx context.Context, q *request, v place.Verdict, out responseRelay) (resend.Outcome, error) {
	q.targetID, q.placementID = v.Target.ID, v.ID
	req := s.targetRequest(ctx, q, v)
	x, err := s.connector.connect(ctx, v.Target)
	if err != nil {
		return resend.Unreached, err
	}
	defer x.close()
	if err := s.checkPlacement(v); err != nil {
		return resend.Unreached, err
	}
	if q.inTrial() && s.Clock.Now().After(q.trial.sendBy) {
		return resend.Unreached, errTrialOver
	}
	q.tries.Sent()
	s.attemptSent(q)
	wd := s.startWatchdog(q, x, v, q.tries.Remaining() > 0)
	defer wd.stop()
	if o, err := s.sendAndCheck(q, x, req); o != "" {
		return o, err
	}
	return out.readResponse(ctx, x, wd)
}

// The reasons why a request is not sent to the target to which it was assigned.
var (
	errPermitExpired = errors.New("permit for the target expired before the request was sent")
	errTrialOver     = errors.New("trial of the blocked request ended before it was sent")
	errTakesNone     = errors.New("target said before the request was sent that it takes none")
)

// checkPlacement returns an error if the request may no longer be sent to its target.
func (s *Server) checkPlacement(v place.Verdict) error {
	if !v.SendBy.IsZero() && s.Clock.Now().After(v.SendBy) {
		return errPermitExpired
	}
	if !s.dispatcher.takesRequests(v.Target) {
		return errTakesNone
	}
	return nil
}

// sendAndCheck sends the request and reads and checks the head of the response. It
// returns the outcome of the attempt if the response cannot be used, otherwise "".
func (s *Server) sendAndCheck(q *request, x *exchange, req *http.Request) (resend.Outcome, error) {
	if err := x.roundTrip(req, q); err != nil {
		if x.abortReason() != nil || req.Context().Err() != nil {
			s.attemptGivenUp(q)
		}
		return resend.Broken, errors.CombineErrors(err, x.abortReason())
	}
	s.attemptAnswered(q)
	reply := s.HeaderCodec.ReadReply(x.resp.StatusCode, x.resp.Header)
	s.recordRateLimit(x, reply)
	s.recordNotice(q, x, reply)
	if reply.NotRun {
		return resend.NotRun, notRunReason(x.resp.StatusCode, reply.RetryAfter)
	}
	if reply.RequestID != "" && reply.RequestID != q.call.ID {
		return resend.MismatchedReply, errors.Newf("response is for request %q", reply.RequestID)
	}
	if x.resp.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		return resend.Broken, errors.New("response is not signed by the target")
	}
	return "", nil
}

// mayRetry reports whether another attempt may follow one with the given outcome, and takes
// it from the retry budget unless the request still holds a retry. An attempt that reached
// no target needs none.
func (s *Server) mayRetry(q *request, o resend.Outcome) bool {
	if !q.tries.Ended(o) {
		return false
	}
	if o == resend.Unreached || s.holdsRetry(q) {
		return true
	}
	if !s.takeRetry(q) {
		q.reason = "retryBudget"
		return false
	}
	return true
}

// endUnanswered ends a request whose deadline has passed, whose caller has disconnected or has
// stopped reading, or that is under way when the process is about to end.
func (s *Server) endUnanswered(w http.ResponseWriter, q *request, out responseRelay) {
	if q.incoming.Context().Err() != nil {
		s.finishRequest(q, "callerGone", 0)
		panic(http.ErrAbortHandler)
	}
	if s.stopping.Err() != nil && s.Clock.Now().Before(q.deadline) {
		s.failStopping(w, q, out)
		return
	}
	q.reason = "deadline"
	if s.Clock.Now().Before(q.deadline) {
		q.reason = "callerNotReading"
	}
	if out.responseBegun() {
		s.abortResponse(q)
	}
	s.sendError(w, q, errorResponse{status: http.StatusGatewayTimeout, reason: q.reason})
}

// fail ends a request for which no further attempt is made. Only a caller whose request
// has not run is told to retry.
func (s *Server) fail(w http.ResponseWriter, q *request, out responseRelay, retryAfter time.Duration) {
	if out.responseBegun() {
		s.abortResponse(q)
	}
	if out.sendHeldFailure() {
		s.finishRequest(q, "failureOfTarget", q.progress.status)
		return
	}
	if !q.tries.MayRefuse() {
		s.sendError(w, q, errorResponse{status: http.StatusBadGateway, reason: orDefault(q.reason, outcomeBrokenOff)})
		return
	}
	s.sendError(w, q, errorResponse{status: http.StatusServiceUnavailable, reason: orDefault(q.reason, "notRun"), retryAfter: retryAfter})
}

// abortResponse ends a response that the caller has a part of. It closes the connection
// in the middle, so that the caller does not take the response for complete.
func (s *Server) abortResponse(q *request) {
	s.metrics.countBrokenOff(q.progress.endCause)
	s.endCounts.countBrokenOff(q.progress.endCause)
	s.finishRequest(q, outcomeBrokenOff, 0)
	panic(http.ErrAbortHandler)
}

// newRelay returns the relay for the route's kind of response.
func (s *Server) newRelay(w http.ResponseWriter, q *request) responseRelay {
	caller := callerWriter{w: w, rc: http.NewResponseController(w)}
	if q.route.Kind == table.KindStream {
		r := &streamRelay{server: s, q: q, caller: caller}
		if q.route.Resumable() {
			r.lastID, r.hasLastID = parseEventID(q.call.LastEventID)
		}
		return r
	}
	return &bufferedRelay{q: q, caller: caller}
}

// orDefault returns v, or def if v is empty.
func orDefault(v, def string) string {
	if v == "" {
		return def
	}
	return v
}
