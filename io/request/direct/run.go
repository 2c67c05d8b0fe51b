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

// results tells the placer how an attempt ended.
var results = map[resend.Outcome]place.Result{
	resend.Relayed:   place.ResultDone,
	resend.Failure:   place.ResultDone,
	resend.NotRun:    place.ResultTurned,
	resend.Unsent:    place.ResultUnreached,
	resend.Broken:    place.ResultFailed,
	resend.Caller:    place.ResultLeft,
	resend.LateReply: place.ResultFailed,
	resend.Moved:     place.ResultFailed,
	resend.Dropped:   place.ResultLeft,
}

// relay hands a target's answers to the caller. A second attempt may follow
// on one that broke off.
type relay interface {
	// take reads the answer of one attempt and tells the guard of each part. The
	// error is why the entry itself ended it.
	take(ctx context.Context, x *exchange, g *guard) (resend.Outcome, error)
	// begun reports whether the caller has a part of an answer.
	begun() bool
	// final hands over a failure that a target answered and that was held
	// back in the hope of a better one; it returns false when there is none.
	final() bool
}

// resultOf is what the end of an attempt says of its target.
func resultOf(o resend.Outcome, err error) place.Result {
	if errors.Is(err, errLoading) {
		return place.ResultLeft
	}
	return results[o]
}

// run makes attempts until the caller has its answer or there is none to be
// had.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, q *request) {
	out := s.newRelay(w, q)
	q.tries = resend.Tries{Repeatable: q.route.Repeatable(), Most: q.route.Attempts}
	for {
		v, ok := s.choose(ctx, w, q, out)
		if !ok {
			return
		}
		o, err := s.attempt(ctx, q, v, out)
		s.desk.done(q.placementID, resultOf(o, err))
		s.noteOutcome(q, q.story.verdict.Target, o, err)
		s.noteAttempt(ctx, q, o, err, out.begun())
		if o == resend.Relayed {
			s.finish(q, string(o), q.story.status)
			return
		}
		if ctx.Err() != nil || o == resend.Caller {
			s.giveUp(w, q, out)
			return
		}
		if !s.again(q, o) {
			s.fail(w, q, out, unservedWait)
			return
		}
		q.failed = append(q.failed, q.target)
		q.begun = out.begun()
	}
}

// choose waits for a place at a target. It returns false once it has ended the request,
// for which there is none.
func (s *Server) choose(ctx context.Context, w http.ResponseWriter, q *request, out relay) (place.Verdict, bool) {
	for {
		if wait, blocked := s.blocked(q); blocked {
			q.reason = reasonCrashes
			s.fail(w, q, out, wait)
			return place.Verdict{}, false
		}
		v, ok := s.desk.place(ctx, s.work(q))
		if !ok {
			s.giveUp(w, q, out)
			return v, false
		}
		q.beginAttempt(s.Clock.Now(), v)
		if v.Decision == place.Refused {
			q.reason = string(v.Reason)
			s.fail(w, q, out, v.RetryAfter)
			return v, false
		}
		// It may have waited for its place until the target's version was too old, where
		// an idle engine would begin at once, or until it was known to crash targets. The
		// next turn knows.
		if _, blocked := s.blocked(q); !blocked && !s.overdue(q, v.Serving) {
			return v, true
		}
		s.desk.done(v.ID, place.ResultLeft)
	}
}

// attempt sends the request to one target.
func (s *Server) attempt(ctx context.Context, q *request, v place.Verdict, out relay) (resend.Outcome, error) {
	q.target, q.placementID = v.Target.ID, v.ID
	req := s.outgoing(ctx, q, v)
	x, err := s.sender.connect(ctx, v.Target)
	if err != nil {
		return resend.Unsent, err
	}
	defer x.close()
	q.tries.Sent()
	guard := s.guard(q, x, v, q.tries.Left() > 0)
	defer guard.stop()
	if o, err := s.ask(q, x, req); o != "" {
		return o, err
	}
	return out.take(ctx, x, guard)
}

// ask sends the request and reads the head of the answer. It returns how the attempt
// ended if no answer can be taken from it.
func (s *Server) ask(q *request, x *exchange, req *http.Request) (resend.Outcome, error) {
	if err := x.roundTrip(req, q.body); err != nil {
		return resend.Broken, errors.CombineErrors(err, x.reason())
	}
	reply := s.Dialect.Reply(x.resp.StatusCode, x.resp.Header)
	if reply.NotRun {
		return resend.NotRun, errors.Newf("status %d", x.resp.StatusCode)
	}
	if reply.Call != "" && reply.Call != q.call.ID {
		return resend.LateReply, errors.Newf("the answer is to %q", reply.Call)
	}
	if x.resp.StatusCode < http.StatusMultipleChoices && !reply.Signed {
		return resend.Broken, errors.New("the answer is not signed")
	}
	return "", nil
}

// again reports whether another attempt may follow on one that ended so.
func (s *Server) again(q *request, o resend.Outcome) bool {
	if !q.tries.After(o) {
		return false
	}
	if o == resend.Unsent || q.prepaid.CompareAndSwap(true, false) {
		return true
	}
	if !s.retry(q.service.Name) {
		q.reason = "retryBudget"
		return false
	}
	return true
}

// giveUp ends a request whose deadline has passed or whose caller has left.
func (s *Server) giveUp(w http.ResponseWriter, q *request, out relay) {
	if q.in.Context().Err() != nil {
		s.finish(q, "callerGone", 0)
		panic(http.ErrAbortHandler)
	}
	q.reason = "deadline"
	if out.begun() {
		s.breakOff(q)
	}
	s.answer(w, q, answer{status: http.StatusGatewayTimeout, reason: q.reason})
}

// fail ends a request that is not sent to a target any more. Its caller is told to come
// back only if it has not run.
func (s *Server) fail(w http.ResponseWriter, q *request, out relay, retryAfter time.Duration) {
	if out.begun() {
		s.breakOff(q)
	}
	if out.final() {
		s.finish(q, "failureOfTarget", q.story.status)
		return
	}
	if !q.tries.MayRefuse() {
		s.answer(w, q, answer{status: http.StatusBadGateway, reason: or(q.reason, brokenOff)})
		return
	}
	s.answer(w, q, answer{status: http.StatusServiceUnavailable, reason: or(q.reason, "notRun"), retryAfter: retryAfter})
}

// breakOff ends an answer that its caller has a part of: the connection is
// closed in the middle of it, so that it cannot be taken for whole.
func (s *Server) breakOff(q *request) {
	s.meter.brokenOff(q.story.cause)
	s.ends.brokenOff(q.story.cause)
	s.finish(q, brokenOff, 0)
	panic(http.ErrAbortHandler)
}

func (s *Server) newRelay(w http.ResponseWriter, q *request) relay {
	out := callerWriter{w: w, rc: http.NewResponseController(w)}
	if q.route.Repeat == table.RepeatStream {
		return &streamRelay{server: s, q: q, out: out}
	}
	return &wholeRelay{q: q, out: out}
}

func or(v, def string) string {
	if v == "" {
		return def
	}
	return v
}
