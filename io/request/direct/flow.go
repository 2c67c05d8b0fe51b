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
	defer f.cleanUp()
	for {
		if o := f.step(); o != "" {
			return o, f.x.reason()
		}
	}
}

// step takes the next thing that happens; it returns how the stream ended if it did.
func (f *flow) step() resend.Outcome {
	var taken chan successor
	var expired chan struct{}
	if f.move != nil {
		taken, expired = f.move.result, f.move.expired
	}
	select {
	case m := <-f.events:
		return f.takeMessage(m)
	case why := <-f.guard.moves:
		if f.move == nil && f.started {
			f.move = f.server.beginHandover(f.ctx, f.q, why)
		}
		return ""
	case n := <-taken:
		_, o := f.finishHandover(n)
		return o
	case <-expired:
		return f.expireHandover()
	}
}

// expireHandover ends a handover that has taken too long, unless it ends well right now.
func (f *flow) expireHandover() resend.Outcome {
	select {
	case n := <-f.move.result:
		_, o := f.finishHandover(n)
		return o
	default:
		return f.cancelHandover()
	}
}

func (f *flow) takeMessage(m message) resend.Outcome {
	switch {
	case m.err == nil:
		f.guard.heard()
		return f.takeEvent(m.event)
	case errors.Is(m.err, io.EOF):
		if o := f.cancelHandover(); o != "" {
			return o
		}
		return f.end(f.x)
	default:
		return f.sourceEnded(fault.At("read stream", "", m.err))
	}
}

func (f *flow) takeEvent(e event) resend.Outcome {
	buffered := 0
	if f.move != nil {
		buffered = len(f.move.buffered)
	}
	if !f.follows(e, buffered) {
		f.q.reason = errOrder.Error()
		return f.sourceEnded(errOrder)
	}
	if f.move != nil {
		f.move.buffer(f.server.Clock, e, f.handed.Add(bufferingTime(f.q.route.Gap)))
		return ""
	}
	return f.forward(f.x, e)
}

// forward passes one event on.
func (f *flow) forward(x *exchange, e event) resend.Outcome {
	if f.pass(x, e) != nil {
		return resend.Caller
	}
	return ""
}

// sourceEnded takes the end of the target's part. A target that is about to take over still
// may.
func (f *flow) sourceEnded(err error) resend.Outcome {
	f.q.story.cut = err
	if f.move == nil {
		return resend.Broken
	}
	goesOn, o := f.finishHandover(<-f.move.result)
	if goesOn || o != "" {
		return o
	}
	return resend.Broken
}

// finishHandover takes the result of a handover: the stream goes on at the other target, or
// with what its own one has written meanwhile.
func (f *flow) finishHandover(n successor) (goesOn bool, o resend.Outcome) {
	if n.ready() && !f.follows(n.first, 0) {
		n.fail(resend.Broken, errOrder)
	}
	if !n.ready() {
		return false, f.dropSuccessor(n)
	}
	h := f.move
	h.stop()
	f.move = nil
	f.closeSource(h.why)
	f.q.tries.Sent()
	f.q.target, f.q.placementID = h.verdict.Target.ID, h.verdict.ID
	f.q.beginAttempt(h.began, h.verdict)
	f.q.story.status = n.x.resp.StatusCode
	f.x, f.guard, f.events, f.cancel = n.x, n.guard, n.events, h.cancel
	f.fresh = true
	f.guard.heard()
	return true, f.forward(f.x, n.first)
}

// closeSource ends the attempt that the stream goes on without: it is moved, or its
// target has broken off meanwhile.
func (f *flow) closeSource(why error) {
	o := resend.Moved
	if f.q.story.cut != nil {
		o, why = resend.Broken, nil
	}
	f.server.noteOutcome(f.q, f.q.story.verdict.Target, o, why)
	f.server.noteAttempt(f.ctx, f.q, o, why, true)
	f.close()
	f.server.desk.done(f.q.placementID, resultOf(o, why))
	f.q.failed = append(f.q.failed, f.q.target)
}

// cancelHandover gives up a handover, if there is one, and goes on with the present target.
func (f *flow) cancelHandover() resend.Outcome {
	if f.move == nil {
		return ""
	}
	f.move.cancel()
	n := <-f.move.result
	if n.ready() || n.outcome == resend.Broken && !lostConnection(n.err) {
		n.fail(resend.Dropped, nil)
	}
	return f.dropSuccessor(n)
}

// dropSuccessor ends a handover that has failed, and forwards what was buffered.
func (f *flow) dropSuccessor(n successor) resend.Outcome {
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
	for _, e := range h.buffered {
		if o := f.forward(f.x, e); o != "" {
			return o
		}
	}
	return ""
}

// cleanUp ends what the stream still has, but for the first exchange, which is its
// attempt's.
func (f *flow) cleanUp() {
	if f.move != nil {
		f.move.buffered = nil
		f.cancelHandover()
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
