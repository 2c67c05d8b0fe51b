package front

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/sessn"
)

// newTicket returns the ticket that identifies this attempt at the member's side.
func newTicket(m *member, rq *request, start *sessn.Start) calls.Ticket {
	if rq.binding == calls.BindTicket {
		return *rq.ticket
	}
	t := calls.Ticket{
		CallID:  calls.ID(uuid.NewString()),
		Binding: rq.binding,
		Service: rq.routing.Service,
		Side:    m.client.VM.Name,
		Issued:  start.EchoedReading,
	}
	if rq.binding == calls.BindKey {
		t.CallID = rq.keyCallID
	}
	return t
}

// attemptOnce makes one attempt at one side. It returns when the outcome is settled.
func (s *Server) attemptOnce(ctx context.Context, m *member, rq *request) onceResult {
	t := &onceAttempt{front: s, member: m, request: rq, state: calls.NewAttempt(rq.binding)}
	if t.state.Bound && !t.waitConnected(ctx) {
		return t.settledResult(ctx)
	}
	startMessage, err := s.startMessage(ctx, m, rq)
	if err != nil {
		t.handleUnsent(ctx)
		return t.settledResult(ctx)
	}
	ticket := newTicket(m, rq, startMessage)
	rq.ticket = &ticket
	startMessage.Ticket, startMessage.Members = &ticket, rq.keyMembers
	if rq.refused != nil {
		t.querySide(ctx, calls.EventConnectionLost)
		return t.settledResult(ctx)
	}
	call, err := m.client.Start(startMessage, rq.body)
	switch {
	case errors.Is(err, sessn.ErrUnsent):
		t.handleUnsent(ctx)
	case err != nil:
		t.querySide(ctx, calls.EventConnectionLost)
	default:
		t.state.Apply(calls.EventSent)
		t.readUntilSettled(ctx, call)
	}
	return t.settledResult(ctx)
}

// handleUnsent handles a call that this entry could not send. A free call is then
// settled as not run. A bound call may have reached its side through another entry, so
// the side is queried.
func (t *onceAttempt) handleUnsent(ctx context.Context) {
	if t.state.Apply(calls.EventUnsent) != calls.StepQuery {
		return
	}
	if t.request.ticket == nil {
		t.state.Apply(calls.EventGiveUp)
		return
	}
	t.querySide(ctx, "")
}

// waitConnected waits for a session with the only side that may run the call. It
// returns false if the side is gone or there is none within Limits.QueryTimeout.
func (t *onceAttempt) waitConnected(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, t.front.Limits.QueryTimeout)
	defer cancel()
	for {
		next := t.member.client.StatusChanged()
		if t.member.client.Status().Connected {
			return true
		}
		if !t.waitSessionChange(ctx, next) {
			return false
		}
	}
}

// onceAttempt runs the state machine of one attempt.
type onceAttempt struct {
	front   *Server
	member  *member
	request *request
	state   calls.Attempt

	buffer  answerBuffer
	refusal *sessn.Refusal
	queries int
}

// maxQueries limits how often a side is queried about one call. A query may have to be
// repeated any number of times, as its connection may fail too, or its answer's blocks
// may not follow each other.
const maxQueries = 8

// readUntilSettled reads the messages of the call until the attempt is settled. If the
// connection fails first, it queries the side.
func (t *onceAttempt) readUntilSettled(ctx context.Context, call *sessn.Call) {
	step, ended := t.readAnswer(ctx, call)
	call.Close(ended)
	if step == calls.StepQuery {
		t.querySide(ctx, "")
	}
}

func (t *onceAttempt) readAnswer(ctx context.Context, call *sessn.Call) (calls.Step, bool) {
	t.buffer = answerBuffer{}
	for {
		msg, err := call.Next(ctx)
		if err != nil {
			return t.handleReadError(ctx), false
		}
		switch msg := msg.(type) {
		case *sessn.Verdict:
			if t.state.ApplyQueryResult(msg.State) == calls.StepSettle {
				return calls.StepSettle, true
			}
		case *sessn.Head:
			t.request.recordFirstByte(t.front.Clock.Now())
			t.buffer.head = msg
		case *sessn.Data:
			if len(t.buffer.body)+len(msg.Data) > sessn.MaxAnswer {
				return t.state.Apply(calls.EventGiveUp), false
			}
			t.buffer.body = append(t.buffer.body, msg.Data...)
		case *sessn.Refusal:
			t.refusal = msg
			return t.state.ApplyRefusal(msg.Outcome), true
		case *sessn.End:
			if t.buffer.head == nil {
				return t.state.Apply(calls.EventConnectionLost), true
			}
			return t.state.Apply(calls.EventAnswered), true
		}
	}
}

func (t *onceAttempt) handleReadError(ctx context.Context) calls.Step {
	if ctx.Err() != nil {
		return t.state.Apply(calls.EventGiveUp)
	}
	return t.state.Apply(calls.EventConnectionLost)
}

// querySide queries the side over a new connection about the outcome of the call. It
// gives up when the side is gone or Limits.QueryTimeout has passed. The query marks a
// call that the side has no record of as never to run. e, if not empty, is applied
// first.
func (t *onceAttempt) querySide(ctx context.Context, e calls.Event) {
	if e != "" {
		t.state.Apply(e)
	}
	t.queries++
	if t.queries > maxQueries {
		t.state.Apply(calls.EventGiveUp)
		return
	}
	t.logDecision("ask")
	asking, cancel := context.WithTimeout(ctx, t.front.Limits.QueryTimeout)
	defer cancel()
	for {
		next := t.member.client.StatusChanged()
		call, err := t.member.client.Query(&sessn.Query{Ticket: *t.request.ticket, Mark: true, Members: t.request.keyMembers})
		if err == nil {
			t.readUntilSettled(ctx, call)
			return
		}
		if !t.waitSessionChange(asking, next) {
			return
		}
	}
}

// waitSessionChange waits for the session to change. It settles the attempt and returns
// false if the side is gone or ctx ends.
func (t *onceAttempt) waitSessionChange(ctx context.Context, next <-chan struct{}) bool {
	if t.member.client.Status().Refused || !t.front.pool.isListed(t.member) {
		t.state.Apply(calls.EventSideGone)
		return false
	}
	select {
	case <-next:
		return true
	case <-ctx.Done():
		t.state.Apply(calls.EventGiveUp)
		return false
	}
}

func (t *onceAttempt) logDecision(action string) {
	t.front.Log.Record(trail.Decision{
		Area: trail.AreaCall, Action: action, Request: t.request.routing.ID, Service: t.request.routing.Service,
		Subject: string(t.request.ticket.CallID), Choice: t.member.client.VM.Name,
		Revision: t.front.Self.Revision.Load(),
	})
}

func (t *onceAttempt) settledResult(ctx context.Context) onceResult {
	res := result{outcome: t.state.Outcome}
	if t.request.ticket != nil {
		res.ticket, _ = t.request.ticket.Encode()
	}
	if res.outcome == calls.OutcomeDone && t.buffer.head != nil && t.refusal == nil {
		return onceResult{result: res, answer: &t.buffer}
	}
	if t.refusal != nil {
		r := resultOfRefusal(t.refusal)
		r.ticket = res.ticket
		return onceResult{result: withoutUnsafeRetry(r)}
	}
	if ctx.Err() != nil {
		g := interruptedResult(ctx, res.outcome)
		g.ticket = res.ticket
		return onceResult{result: withoutUnsafeRetry(g)}
	}
	if r := t.request.refused; r != nil && res.outcome == calls.OutcomeNotRun {
		return onceResult{result: *r}
	}
	res.status, res.retryAfter = http.StatusBadGateway, 0
	res.reason = "the side could not tell"
	if res.outcome == calls.OutcomeNotRun {
		res.status, res.retryAfter, res.reason = http.StatusServiceUnavailable, retryAfter, "the call was not sent"
	}
	return onceResult{result: withoutUnsafeRetry(res)}
}

// withoutUnsafeRetry removes the invitation to retry unless the call did not run.
func withoutUnsafeRetry(res result) result {
	if res.outcome != calls.OutcomeNotRun {
		res.retryAfter = 0
	}
	return res
}
