package front

import (
	"context"
	"net/http"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// runOnce runs a call that may run at most once.
func (s *Server) runOnce(ctx context.Context, w http.ResponseWriter, rq *request) {
	switch {
	case rq.ticket != nil:
		s.runBound(ctx, w, rq, rq.ticket.Side)
	case rq.idempotencyKey != "":
		s.runKeyed(ctx, w, rq)
	default:
		s.runFree(ctx, w, rq)
	}
}

// runFree runs a once-call that has no ticket or key, so that any target may run it. If
// an attempt certainly did not run, the call goes to another target under a new ID.
func (s *Server) runFree(ctx context.Context, w http.ResponseWriter, rq *request) {
	rq.binding = calls.BindFree
	last := result{outcome: calls.OutcomeNotRun, status: http.StatusServiceUnavailable, retryAfter: retryAfter}
	for n := 1; ; n++ {
		m, err := s.choose(rq)
		if err != nil {
			last.reason = valueOr(last.reason, err.Error())
			break
		}
		o := s.attemptOnce(ctx, m, rq)
		s.pool.release(m)
		if o.answer != nil {
			s.writeAnswer(w, rq, o)
			return
		}
		last = o.result
		if o.outcome != calls.OutcomeNotRun || n >= s.Limits.MaxAttempts || ctx.Err() != nil {
			break
		}
		if !s.policy.allowRetry(rq.routing.Service) {
			break
		}
		rq.routing.FailedTargets = append(rq.routing.FailedTargets, m.client.VM.Name)
	}
	s.writeFailure(w, rq, last)
}

// runKeyed sends a call with an idempotency key to the side that owns the key.
func (s *Server) runKeyed(ctx context.Context, w http.ResponseWriter, rq *request) {
	rq.binding = calls.BindKey
	rq.keyCallID = calls.KeyID(rq.routing.Customer, rq.routing.Service, rq.idempotencyKey)
	vm, keyMembers, err := calls.Owner(s.Source.Current(), rq.routing.Service, rq.keyCallID)
	if err != nil {
		s.writeFailure(w, rq, result{outcome: calls.OutcomeUnknown, status: http.StatusServiceUnavailable, reason: err.Error()})
		return
	}
	rq.keyMembers = keyMembers
	s.runBound(ctx, w, rq, vm.Name)
}

// runBound sends a call to the only side that may run it.
func (s *Server) runBound(ctx context.Context, w http.ResponseWriter, rq *request, side string) {
	m := s.pool.acquire(side)
	if m == nil {
		res := result{outcome: calls.OutcomeUnknown, status: http.StatusBadGateway, reason: "the side is gone"}
		s.writeFailure(w, rq, res)
		return
	}
	defer s.pool.release(m)
	s.Log.Record(trail.Decision{
		Area: trail.AreaRouting, Action: "choose", Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Choice: side, Reason: string(rq.binding), Revision: s.Self.Revision.Load(),
	})
	o := s.attemptOnce(ctx, m, rq)
	if o.answer != nil {
		s.writeAnswer(w, rq, o)
		return
	}
	s.writeFailure(w, rq, o.result)
}

// onceResult is the result of one attempt. answer is set if the caller gets the
// target's answer.
type onceResult struct {
	result
	answer *answerBuffer
}

// answerBuffer collects the answer of a once-call. It is sent to the caller only when
// it is complete, so that a connection to the side that fails halfway truncates
// nothing.
type answerBuffer struct {
	head *sessn.Head
	body []byte
}

// writeAnswer sends a complete answer to the caller.
func (s *Server) writeAnswer(w http.ResponseWriter, rq *request, o onceResult) {
	out := newCallerWriter(w, s.Limits.WriteTimeout)
	copyHeader(w.Header(), o.answer.head.Header)
	w.Header().Set(headerOutcome, string(calls.OutcomeDone))
	setContentLength(w.Header(), o.answer.head.Status, len(o.answer.body))
	if o.ticket != "" {
		w.Header().Set(headerTicket, o.ticket)
	}
	s.recordResult(rq, result{outcome: calls.OutcomeDone, repeated: o.answer.head.Stored})
	w.WriteHeader(o.answer.head.Status)
	_ = out.send(o.answer.body)
}
