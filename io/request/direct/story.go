package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/resend"
)

// The actions of the lines on a request. A request that went well writes one
// line, its answer, which tells of its placement too; each attempt that did not
// end well has one before it. What is collected of a busy entry's output holds a
// few seconds of it, and two lines a request would halve them.
const (
	actionAttempt = "attempt"
	actionAnswer  = "answer"
)

// brokenOff is the outcome of an answer that was closed in the middle.
const brokenOff = "brokenOff"

// reasonLate is the reason of an answer that was passed on after its objective.
const reasonLate = "late"

// story is what the lines on a request tell beside the request itself.
type story struct {
	// verdict is the last one, and tried when the attempt began that followed.
	verdict  place.Verdict
	tried    time.Time
	demanded uint64
	attempts int
	// status is that of the target's answer, zero while there is none.
	status int
	// cut is the error that ended the target's answer, nil while there is none.
	cut error
	// cause is why the last attempt ended that the caller has a part of an answer
	// from, empty while there is none.
	cause cause
	// began is when the target's answer had its first numbered event, zero before.
	began time.Time
	// first is the time to the first event, zero while there is none.
	first time.Duration
}

// ran is for how long the target's answer has gone on.
func (s *story) ran(now time.Time) time.Duration {
	if s.began.IsZero() {
		return 0
	}
	return now.Sub(s.began)
}

// Routine tells the lines of requests that went well: sent once and on time.
// Those of any other request are kept before them.
func Routine(d trail.Decision) bool {
	return d.Action == actionAnswer && d.Outcome == string(resend.Relayed) && d.Attempts == 0 && d.Reason == ""
}

// late reports whether a request has been answered after its objective.
func (q *request) late(took time.Duration) bool {
	if q.story.first > 0 {
		took = q.story.first
	}
	return q.route.Objective > 0 && took > q.route.Objective
}

// decision is what all lines on a request have in common, with the inputs of
// its last placement.
func (q *request) decision(action string) trail.Decision {
	v := q.story.verdict
	d := trail.Decision{
		Area: trail.AreaCall, Action: action, Request: q.call.ID, Customer: q.customer,
		Service: q.service.Name, Subject: q.route.Name, Choice: v.Target.ID, Revision: q.revision(),
		Load: v.Load, Version: v.Serving, Demanded: q.story.demanded,
		WaitedMS: v.Waited.Milliseconds(), ExpectedMS: v.Expected.Milliseconds(),
	}
	if q.keyed {
		d.Fingerprint = q.key.String()
	}
	if q.asked.Before(q.arrived) && !q.asked.IsZero() {
		d.AskedMS = q.arrived.Sub(q.asked).Milliseconds()
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

// beginAttempt notes the placement that an attempt follows.
func (q *request) beginAttempt(now time.Time, v place.Verdict) {
	q.story.verdict, q.story.tried, q.story.status, q.story.cut = v, now, 0, nil
	q.story.began = time.Time{}
}

// endOf says why the request ended while its target had it, nil when it did not.
// The connection is closed then, and its error tells nothing of the cause.
func endOf(ctx context.Context) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errors.New("the request's time was over")
	case ctx.Err() != nil:
		return errors.New("the caller left")
	default:
		return nil
	}
}

// noteAttempt counts an attempt, and logs one that did not end well. Begun is set when
// its caller has a part of the answer.
func (s *Server) noteAttempt(ctx context.Context, q *request, o resend.Outcome, err error, begun bool) {
	if err == nil {
		err = q.story.cut
	}
	if why := endOf(ctx); why != nil {
		err = why
	}
	s.meter.attempted(o)
	q.story.attempts++
	if o == resend.Relayed {
		return
	}
	c, own := causeOf(err)
	if own {
		s.meter.abandoned(c)
		s.ends.abandoned(c)
	}
	if begun && o != resend.NotRun && o != resend.Unsent {
		q.story.cause = c
	}
	if o == resend.Broken {
		q.fingerprint()
	}
	d := q.decision(actionAttempt)
	d.Outcome, d.Status, d.LastEvent = string(o), q.story.status, q.lastEvent
	d.TookMS = s.Clock.Since(q.story.tried).Milliseconds()
	if err != nil {
		d.Reason = err.Error()
	}
	s.Log.Decide(d)
}

// noteSuccessor notes an attempt at a target that was to take an answer over and did
// not, and what its end tells. The story goes on with the target that still has it.
func (s *Server) noteSuccessor(ctx context.Context, q *request, h *handover, n successor) {
	kept := q.story
	q.beginAttempt(h.began, h.verdict)
	s.noteOutcome(q, h.verdict.Target, n.outcome, n.err)
	s.noteAttempt(ctx, q, n.outcome, n.err, false)
	kept.attempts = q.story.attempts
	q.story = kept
}

// finish counts and logs the end of a request.
func (s *Server) finish(q *request, how string, status int) {
	took := s.Clock.Since(q.arrived)
	s.meter.ended(q.route.Name, how, status, took)
	d := q.decision(actionAnswer)
	d.Outcome, d.Reason, d.Status = how, q.reason, status
	if how == brokenOff {
		d.Cause = string(q.story.cause)
	}
	d.TookMS = took.Milliseconds()
	if age, known := s.Source.Age(); known {
		d.AgeMS = age.Milliseconds()
	}
	d.FirstMS = q.story.first.Milliseconds()
	if q.story.attempts > 1 {
		d.Attempts = q.story.attempts
	}
	if how == string(resend.Relayed) && q.late(took) {
		s.meter.late(q.route.Name)
		d.Reason, d.ObjectiveMS = reasonLate, q.route.Objective.Milliseconds()
	}
	s.Log.Decide(d)
}
