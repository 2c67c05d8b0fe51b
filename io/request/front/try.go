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

// newTicket names the attempt at the member's side.
func newTicket(m *member, k *work, start *sessn.Start) calls.Ticket {
	if k.bind == calls.BindTicket {
		return *k.ticket
	}
	t := calls.Ticket{
		Call:    calls.ID(uuid.NewString()),
		Bind:    k.bind,
		Service: k.req.Service,
		Side:    m.client.VM.Name,
		Issued:  start.Echo,
	}
	if k.bind == calls.BindKey {
		t.Call = k.keyID
	}
	return t
}

// tryOnce makes one attempt at one side and does not return before its
// outcome is settled.
func (f *Front) tryOnce(ctx context.Context, m *member, k *work) onceAnswer {
	t := &onceTry{front: f, member: m, work: k, attempt: calls.NewAttempt(k.bind)}
	if t.attempt.Bound && !t.connect(ctx) {
		return t.settled(ctx)
	}
	start, err := f.start(ctx, m, k)
	if err != nil {
		t.unsent(ctx)
		return t.settled(ctx)
	}
	ticket := newTicket(m, k, start)
	k.ticket = &ticket
	start.Ticket, start.Members = &ticket, k.members
	if k.refused != nil {
		t.ask(ctx, calls.EventLost)
		return t.settled(ctx)
	}
	call, err := m.client.Start(start, k.body)
	switch {
	case errors.Is(err, sessn.ErrUnsent):
		t.unsent(ctx)
	case err != nil:
		t.ask(ctx, calls.EventLost)
	default:
		t.attempt.On(calls.EventSent)
		t.follow(ctx, call)
	}
	return t.settled(ctx)
}

// unsent settles a free call; a bound one may have come to its side through
// another entry.
func (t *onceTry) unsent(ctx context.Context) {
	if t.attempt.On(calls.EventUnsent) != calls.StepAsk {
		return
	}
	if t.work.ticket == nil {
		t.attempt.On(calls.EventGiveUp)
		return
	}
	t.ask(ctx, "")
}

// connect waits for a session with the only side that may run the call.
func (t *onceTry) connect(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, t.front.Limits.AskFor)
	defer cancel()
	for {
		next := t.member.client.Next()
		if t.member.client.Status().Connected {
			return true
		}
		if !t.wait(ctx, next) {
			return false
		}
	}
}

// onceTry drives the state machine of one attempt.
type onceTry struct {
	front   *Front
	member  *member
	work    *work
	attempt calls.Attempt

	relay   onceRelay
	refusal *sessn.Refusal
	asked   int
}

// maxAsks bounds how often a side is asked for one call: each time another
// connection may fail, or an answer may not fit together.
const maxAsks = 8

// follow takes an attempt's messages in until it is settled.
func (t *onceTry) follow(ctx context.Context, call *sessn.Call) {
	step, ended := t.read(ctx, call)
	call.Close(ended)
	if step == calls.StepAsk {
		t.ask(ctx, "")
	}
}

func (t *onceTry) read(ctx context.Context, call *sessn.Call) (calls.Step, bool) {
	t.relay = onceRelay{}
	for {
		msg, err := call.Next(ctx)
		if err != nil {
			return t.failed(ctx), false
		}
		switch msg := msg.(type) {
		case *sessn.Verdict:
			if t.attempt.OnVerdict(msg.State) == calls.StepSettle {
				return calls.StepSettle, true
			}
		case *sessn.Head:
			t.work.began(t.front.Clock.Now())
			t.relay.head = msg
		case *sessn.Data:
			if len(t.relay.body)+len(msg.Data) > sessn.MaxAnswer {
				return t.attempt.On(calls.EventGiveUp), false
			}
			t.relay.body = append(t.relay.body, msg.Data...)
		case *sessn.Refusal:
			t.refusal = msg
			return t.attempt.OnRefused(msg.Outcome), true
		case *sessn.End:
			if t.relay.head == nil {
				return t.attempt.On(calls.EventLost), true
			}
			return t.attempt.On(calls.EventAnswered), true
		}
	}
}

func (t *onceTry) failed(ctx context.Context) calls.Step {
	if ctx.Err() != nil {
		return t.attempt.On(calls.EventGiveUp)
	}
	return t.attempt.On(calls.EventLost)
}

// ask asks the side over a new connection what became of the call, until it
// answers, is gone, or the wait has passed its bound.
func (t *onceTry) ask(ctx context.Context, e calls.Event) {
	if e != "" {
		t.attempt.On(e)
	}
	t.asked++
	if t.asked > maxAsks {
		t.attempt.On(calls.EventGiveUp)
		return
	}
	t.note("ask")
	asking, cancel := context.WithTimeout(ctx, t.front.Limits.AskFor)
	defer cancel()
	for {
		next := t.member.client.Next()
		call, err := t.member.client.Query(&sessn.Query{Ticket: *t.work.ticket, Mark: true, Members: t.work.members})
		if err == nil {
			t.follow(ctx, call)
			return
		}
		if !t.wait(asking, next) {
			return
		}
	}
}

// wait waits for the session to change; it settles the attempt and returns
// false when there is nothing more to wait for.
func (t *onceTry) wait(ctx context.Context, next <-chan struct{}) bool {
	if t.member.client.Status().Refused || !t.front.pool.isListed(t.member) {
		t.attempt.On(calls.EventGone)
		return false
	}
	select {
	case <-next:
		return true
	case <-ctx.Done():
		t.attempt.On(calls.EventGiveUp)
		return false
	}
}

func (t *onceTry) note(action string) {
	t.front.Log.Decide(trail.Decision{
		Area: trail.AreaCall, Action: action, Request: t.work.req.ID, Service: t.work.req.Service,
		Subject: string(t.work.ticket.Call), Choice: t.member.client.VM.Name,
		Revision: t.front.Self.Revision.Load(),
	})
}

// settled says how the attempt ended.
func (t *onceTry) settled(ctx context.Context) onceAnswer {
	e := ending{outcome: t.attempt.Outcome}
	if t.work.ticket != nil {
		e.ticket, _ = t.work.ticket.Encode()
	}
	if e.outcome == calls.Done && t.relay.head != nil && t.refusal == nil {
		return onceAnswer{ending: e, answer: &t.relay}
	}
	if t.refusal != nil {
		r := endingOfRefusal(t.refusal)
		r.ticket = e.ticket
		return onceAnswer{ending: onceEnding(r)}
	}
	if ctx.Err() != nil {
		g := gaveUp(ctx, e.outcome)
		g.ticket = e.ticket
		return onceAnswer{ending: onceEnding(g)}
	}
	if r := t.work.refused; r != nil && e.outcome == calls.NotRun {
		return onceAnswer{ending: *r}
	}
	e.status, e.retryAfter = http.StatusBadGateway, 0
	e.reason = "the side could not tell"
	if e.outcome == calls.NotRun {
		e.status, e.retryAfter, e.reason = http.StatusServiceUnavailable, retryAfter, "the call was not sent"
	}
	return onceAnswer{ending: onceEnding(e)}
}

// onceEnding lets a caller ask again only for what did not run.
func onceEnding(e ending) ending {
	if e.outcome != calls.NotRun {
		e.retryAfter = 0
	}
	return e
}
