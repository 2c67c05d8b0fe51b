package front

import (
	"context"
	"net/http"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// runOnce runs a call that may run at most once.
func (f *Server) runOnce(ctx context.Context, w http.ResponseWriter, rq *request) {
	switch {
	case rq.ticket != nil:
		f.runBound(ctx, w, rq, rq.ticket.Side)
	case rq.idempotencyKey != "":
		f.runKeyed(ctx, w, rq)
	default:
		f.runFree(ctx, w, rq)
	}
}

// runFree runs a once-call that has no ticket or key, so that any target may run it. If
// an attempt certainly did not run, the call goes to another target under a new ID.
func (f *Server) runFree(ctx context.Context, w http.ResponseWriter, rq *request) {
	rq.binding = calls.BindFree
	last := result{outcome: calls.OutcomeNotRun, status: http.StatusServiceUnavailable, retryAfter: retryAfter}
	for n := 1; ; n++ {
		m, err := f.choose(rq)
		if err != nil {
			last.reason = valueOr(last.reason, err.Error())
			break
		}
		o := f.attemptOnce(ctx, m, rq)
		f.pool.release(m)
		if o.answer != nil {
			f.writeAnswer(w, rq, o)
			return
		}
		last = o.result
		if o.outcome != calls.OutcomeNotRun || n >= f.Limits.MaxAttempts || ctx.Err() != nil {
			break
		}
		if !f.policy.allowRetry(rq.routing.Service) {
			break
		}
		rq.routing.FailedTargets = append(rq.routing.FailedTargets, m.client.VM.Name)
	}
	f.writeFailure(w, rq, last)
}

// runKeyed sends a call with an idempotency key to the side that owns the key.
func (f *Server) runKeyed(ctx context.Context, w http.ResponseWriter, rq *request) {
	rq.binding = calls.BindKey
	rq.keyCallID = calls.KeyID(rq.routing.Customer, rq.routing.Service, rq.idempotencyKey)
	vm, keyMembers, err := calls.Owner(f.Source.Current(), rq.routing.Service, rq.keyCallID)
	if err != nil {
		f.writeFailure(w, rq, result{outcome: calls.OutcomeUnknown, status: http.StatusServiceUnavailable, reason: err.Error()})
		return
	}
	rq.keyMembers = keyMembers
	f.runBound(ctx, w, rq, vm.Name)
}

// runBound sends a call to the only side that may run it.
func (f *Server) runBound(ctx context.Context, w http.ResponseWriter, rq *request, side string) {
	m := f.pool.acquire(side)
	if m == nil {
		res := result{outcome: calls.OutcomeUnknown, status: http.StatusBadGateway, reason: "the side is gone"}
		f.writeFailure(w, rq, res)
		return
	}
	defer f.pool.release(m)
	f.Log.Record(trail.Decision{
		Area: trail.AreaRouting, Action: "choose", Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Choice: side, Reason: string(rq.binding), Revision: f.Self.Revision.Load(),
	})
	o := f.attemptOnce(ctx, m, rq)
	if o.answer != nil {
		f.writeAnswer(w, rq, o)
		return
	}
	f.writeFailure(w, rq, o.result)
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
func (f *Server) writeAnswer(w http.ResponseWriter, rq *request, o onceResult) {
	out := newCallerWriter(w, f.Limits.WriteTimeout)
	copyHeader(w.Header(), o.answer.head.Header)
	w.Header().Set(headerOutcome, string(calls.OutcomeDone))
	setContentLength(w.Header(), o.answer.head.Status, len(o.answer.body))
	if o.ticket != "" {
		w.Header().Set(headerTicket, o.ticket)
	}
	f.recordResult(rq, result{outcome: calls.OutcomeDone, repeated: o.answer.head.Stored})
	w.WriteHeader(o.answer.head.Status)
	_ = out.send(o.answer.body)
}
