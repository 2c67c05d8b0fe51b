package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// runRepeatable runs a call that may run more than once. A failed attempt is followed
// by one on another target, within the limits of MaxAttempts and of the retry budget.
func (s *Server) runRepeatable(ctx context.Context, w http.ResponseWriter, rq *request) {
	rl := s.newRelay(w, rq)
	last := result{outcome: calls.OutcomeNotRun, status: http.StatusServiceUnavailable, retryAfter: retryAfter}
	for n := 1; ; n++ {
		m, err := s.choose(rq)
		if err != nil {
			last.reason = valueOr(last.reason, err.Error())
			break
		}
		err = s.attemptRepeatable(ctx, m, rq, rl)
		s.pool.release(m)
		if err == nil {
			s.recordResult(rq, result{outcome: calls.OutcomeDone})
			return
		}
		last = resultOfError(ctx, err, last)
		if n >= s.Limits.MaxAttempts || !s.prepareRetry(ctx, rq, rl, m, err) {
			break
		}
	}
	s.failRepeatable(w, rq, rl, last)
}

func (s *Server) newRelay(w http.ResponseWriter, rq *request) relay {
	out := newCallerWriter(w, s.Limits.WriteTimeout)
	if rq.stream {
		return newEventRelay(out)
	}
	return &bufferedRelay{out: out}
}

// prepareRetry decides whether a failed attempt is followed by another. If so, it
// updates rq and rl for that.
func (s *Server) prepareRetry(ctx context.Context, rq *request, rl relay, m *member, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errCallerWrite) || !rl.canRetry() {
		return false
	}
	if !s.policy.allowRetry(rq.routing.Service) {
		return false
	}
	rq.routing.FailedTargets = append(rq.routing.FailedTargets, m.client.VM.Name)
	version, tokens := rl.prepareResume()
	rq.routing.Version = version
	rq.header.Del(headerResumeFrom)
	if tokens > 0 {
		rq.header.Set(headerResumeFrom, strconv.Itoa(tokens))
	}
	s.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: "retry", Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Subject: m.client.VM.Name, Reason: err.Error(),
		Revision: s.Self.Revision.Load(),
	})
	return true
}

// failRepeatable reports to the caller that it gets no complete answer. If a part of
// the answer has been sent already, it aborts the connection: an orderly end would make
// the part look complete.
func (s *Server) failRepeatable(w http.ResponseWriter, rq *request, rl relay, res result) {
	if !rl.started() {
		s.writeFailure(w, rq, res)
		return
	}
	res.outcome = calls.OutcomeUnknown
	s.recordResult(rq, res)
	panic(http.ErrAbortHandler)
}

// refusalError is the error for a call that the side refused.
type refusalError struct{ refusal *sessn.Refusal }

func (e *refusalError) Error() string { return "side refused: " + string(e.refusal.Reason) }

func resultOfError(ctx context.Context, err error, last result) result {
	if ctx.Err() != nil {
		return interruptedResult(ctx, calls.OutcomeUnknown)
	}
	var refused *refusalError
	if errors.As(err, &refused) {
		return resultOfRefusal(refused.refusal)
	}
	if errors.Is(err, sessn.ErrUnsent) {
		last.reason = err.Error()
		return last
	}
	return result{
		outcome: calls.OutcomeUnknown, reason: err.Error(),
		status: http.StatusBadGateway, retryAfter: retryAfter,
	}
}

// resultOfRefusal returns what to tell the caller of a repeatable call that the side
// refused. It sets retryAfter, as such a call is always safe to retry. For once-calls
// withoutUnsafeRetry must be applied to it.
func resultOfRefusal(r *sessn.Refusal) result {
	res := result{outcome: r.Outcome, reason: string(r.Reason), retryAfter: max(r.RetryAfter, retryAfter)}
	switch {
	case r.Reason == calls.ReasonTimeout:
		res.status = http.StatusGatewayTimeout
	case r.Outcome == calls.OutcomeNotRun:
		res.status = http.StatusServiceUnavailable
	default:
		res.status = http.StatusBadGateway
	}
	return res
}

// attemptRepeatable makes one attempt. It returns nil if the caller got the complete
// answer.
func (s *Server) attemptRepeatable(ctx context.Context, m *member, rq *request, rl relay) error {
	startMessage, err := s.startMessage(ctx, m, rq)
	if err != nil {
		return err
	}
	startMessage.Version = rq.routing.Version
	call, err := m.client.Start(startMessage, rq.body)
	if err != nil {
		return err
	}
	ended := false
	defer func() { call.Close(ended) }()
	timer := newTokenTimer(rl)
	for {
		msg, err := call.Next(ctx)
		if err != nil {
			return err
		}
		switch msg := msg.(type) {
		case *sessn.Head:
			if err = rl.onHead(msg); err == nil {
				s.logStreamHead(rq, m, rl, msg)
			}
		case *sessn.Data:
			rq.recordFirstByte(s.Clock.Now())
			timer.onData(s.Clock.Now())
			err = rl.onData(msg.Data)
		case *sessn.Refusal:
			ended = true
			return &refusalError{msg}
		case *sessn.End:
			ended = true
			s.policy.reportTokenInterval(m.client.VM.Name, timer)
			return rl.onEnd()
		}
		if err != nil {
			return err
		}
	}
}

// startMessage builds the message that starts the call at the member's side.
func (s *Server) startMessage(ctx context.Context, m *member, rq *request) (*sessn.Start, error) {
	echo, ok := m.client.ClockReading()
	if !ok {
		return nil, sessn.ErrUnsent
	}
	left := rq.timeout
	if d, ok := ctx.Deadline(); ok {
		left = d.Sub(s.Clock.Now())
	}
	return &sessn.Start{
		Request:       rq.routing.ID,
		EchoedReading: echo,
		Method:        rq.method,
		Path:          rq.path,
		Header:        rq.header,
		Timeout:       max(left, time.Millisecond),
	}, nil
}
