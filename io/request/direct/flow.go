package direct

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/request/resend"
)

// flow passes a stream on while it comes, from one target or from several in turn.
type flow struct {
	*streamRelay
	ctx    context.Context
	x      *exchange
	guard  *guard
	events <-chan message
	// move is the handover under way, nil for none.
	move *handover
	// cancel ends what belongs to a target that took the stream over.
	cancel context.CancelFunc
}

// run passes events on until the stream ends. The error is why the entry itself ended
// the last attempt.
func (f *flow) run() (resend.Outcome, error) {
	defer f.leave()
	for {
		if o := f.step(); o != "" {
			return o, f.x.reason()
		}
	}
}

// step takes the next thing that happens; it returns how the stream ended if it did.
func (f *flow) step() resend.Outcome {
	var taken chan successor
	var late chan struct{}
	if f.move != nil {
		taken, late = f.move.result, f.move.late
	}
	select {
	case m := <-f.events:
		return f.takeMessage(m)
	case why := <-f.guard.wanted:
		if f.move == nil && f.started {
			f.move = f.server.offer(f.ctx, f.q, why)
		}
		return ""
	case n := <-taken:
		_, o := f.settle(n)
		return o
	case <-late:
		return f.expire()
	}
}

// expire ends a handover that has taken too long, unless it ends well right now.
func (f *flow) expire() resend.Outcome {
	select {
	case n := <-f.move.result:
		_, o := f.settle(n)
		return o
	default:
		return f.stay()
	}
}

func (f *flow) takeMessage(m message) resend.Outcome {
	switch {
	case m.err == nil:
		f.guard.heard()
		return f.takeEvent(m.event)
	case errors.Is(m.err, io.EOF):
		if o := f.stay(); o != "" {
			return o
		}
		return f.end(f.x)
	default:
		return f.lose(fault.At("read stream", "", m.err))
	}
}

func (f *flow) takeEvent(e event) resend.Outcome {
	held := 0
	if f.move != nil {
		held = len(f.move.held)
	}
	if !f.follows(e, held) {
		f.q.reason = errOrder.Error()
		return f.lose(errOrder)
	}
	if f.move != nil {
		f.move.hold(f.server.Clock, e, f.handed.Add(heldFor(f.q.route.Gap)))
		return ""
	}
	return f.hand(f.x, e)
}

// hand passes one event on.
func (f *flow) hand(x *exchange, e event) resend.Outcome {
	if f.pass(x, e) != nil {
		return resend.Caller
	}
	return ""
}

// lose takes the end of the target's part. A target that is about to take over still
// may.
func (f *flow) lose(err error) resend.Outcome {
	f.q.story.cut = err
	if f.move == nil {
		return resend.Broken
	}
	goesOn, o := f.settle(<-f.move.result)
	if goesOn || o != "" {
		return o
	}
	return resend.Broken
}

// settle takes the result of a handover: the stream goes on at the other target, or
// with what its own one has written meanwhile.
func (f *flow) settle(n successor) (goesOn bool, o resend.Outcome) {
	if n.ready() && !f.follows(n.first, 0) {
		n.fail(resend.Broken, errOrder)
	}
	if !n.ready() {
		return false, f.discard(n)
	}
	h := f.move
	h.stop()
	f.move = nil
	f.leaveTarget(h.why)
	f.q.tries.Sent()
	f.q.target, f.q.placed = h.verdict.Target.ID, h.verdict.ID
	f.q.beginAttempt(h.began, h.verdict)
	f.q.story.status = n.x.resp.StatusCode
	f.x, f.guard, f.events, f.cancel = n.x, n.guard, n.events, h.cancel
	f.fresh = true
	f.guard.heard()
	return true, f.hand(f.x, n.first)
}

// leaveTarget ends the attempt that the stream goes on without: it is moved, or its
// target has broken off meanwhile.
func (f *flow) leaveTarget(why error) {
	o := resend.Moved
	if f.q.story.cut != nil {
		o, why = resend.Broken, nil
	}
	f.server.judge(f.q, f.q.story.verdict.Target, o, why)
	f.server.noteAttempt(f.ctx, f.q, o, why, true)
	f.close()
	f.server.desk.done(f.q.placed, resultOf(o, why))
	f.q.failed = append(f.q.failed, f.q.target)
}

// stay gives up a handover, if there is one, and goes on with the present target.
func (f *flow) stay() resend.Outcome {
	if f.move == nil {
		return ""
	}
	f.move.cancel()
	n := <-f.move.result
	if n.ready() || n.outcome == resend.Broken {
		n.fail(resend.Dropped, nil)
	}
	return f.discard(n)
}

// discard ends a handover that has failed, and passes on what was held back.
func (f *flow) discard(n successor) resend.Outcome {
	h := f.move
	f.move = nil
	h.stop()
	h.cancel()
	n.close()
	if n.sent {
		f.q.tries.Sent()
	}
	f.q.tries.After(n.outcome)
	if n.outcome != resend.Dropped {
		f.q.failed = append(f.q.failed, h.verdict.Target.ID)
	}
	f.server.desk.done(h.verdict.ID, resultOf(n.outcome, n.err))
	f.server.noteSuccessor(f.ctx, f.q, h, n)
	for _, e := range h.held {
		if o := f.hand(f.x, e); o != "" {
			return o
		}
	}
	return ""
}

// leave ends what the stream still has, but for the first exchange, which is its
// attempt's.
func (f *flow) leave() {
	if f.move != nil {
		f.move.held = nil
		f.stay()
	}
	if f.cancel != nil {
		f.close()
	}
}

// close ends the present exchange.
func (f *flow) close() {
	f.guard.stop()
	f.x.close()
	if f.cancel != nil {
		f.cancel()
	}
}
