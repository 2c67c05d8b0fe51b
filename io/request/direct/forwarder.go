package direct

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/request/resend"
)

// streamForwarder forwards the events of one stream to the caller while they arrive. It
// handles handovers of the stream to other targets.
type streamForwarder struct {
	*streamRelay
	ctx      context.Context
	x        *exchange
	watchdog *watchdog
	events   <-chan streamItem
	// sourceHasID is set once the present target has sent an event with an ID.
	sourceHasID bool
	// pending is the handover in progress, or nil.
	pending *handover
	// cancel cancels the context of a target that has taken the stream over. It is nil
	// while the stream is at its first target.
	cancel context.CancelFunc
}

// run forwards events until the stream ends. The error is the reason if the entry
// itself aborted the last attempt.
func (f *streamForwarder) run() (resend.Outcome, error) {
	defer f.cleanUp()
	for {
		if o := f.handleNext(); o != "" {
			return o, f.x.abortReason()
		}
	}
}

// handleNext waits for the next event, handover request or result and handles it. It
// returns the outcome if that ends the stream, otherwise "".
func (f *streamForwarder) handleNext() resend.Outcome {
	var results chan successor
	var bufferExpired chan struct{}
	if f.pending != nil {
		results, bufferExpired = f.pending.result, f.pending.bufferExpired
	}
	select {
	case item := <-f.events:
		return f.handleItem(item)
	case cause := <-f.watchdog.handoverRequests:
		if f.pending == nil && f.headSent {
			f.pending = f.server.beginHandover(f.ctx, f.q, cause)
		}
		return ""
	case succ := <-results:
		_, o := f.finishHandover(succ)
		return o
	case <-bufferExpired:
		return f.expireHandover()
	}
}

// expireHandover cancels a handover for which events have been buffered for too long. A
// result that has arrived in the meantime is still used.
func (f *streamForwarder) expireHandover() resend.Outcome {
	select {
	case succ := <-f.pending.result:
		_, o := f.finishHandover(succ)
		return o
	default:
		return f.cancelHandover()
	}
}

// handleItem handles an event or the end of the present target's stream.
func (f *streamForwarder) handleItem(item streamItem) resend.Outcome {
	switch {
	case item.err == nil:
		f.watchdog.received()
		return f.handleEvent(item.event)
	case errors.Is(item.err, io.EOF):
		if f.endedBeforeFirstEvent(f.x) {
			return f.handleSourceEnd(operr.Wrap("read stream", "", io.ErrUnexpectedEOF))
		}
		if o := f.cancelHandover(); o != "" {
			return o
		}
		return f.finishStream(f.x)
	default:
		return f.handleSourceEnd(operr.Wrap("read stream", "", item.err))
	}
}

// handleEvent forwards an event of the present target, or buffers it during a handover.
func (f *streamForwarder) handleEvent(e event) resend.Outcome {
	if err := f.checkOrder(e); err != nil {
		f.q.reason = err.Error()
		return f.handleSourceEnd(err)
	}
	if f.pending != nil {
		f.pending.buffer(f.server.Clock, e, f.lastSentAt.Add(bufferingTime(f.q.route.MaxEventGap)))
		if f.pending.bufferedBytes > maxBufferedBytes {
			return f.expireHandover()
		}
		return ""
	}
	return f.forward(f.x, e)
}

// forward sends one event to the caller.
func (f *streamForwarder) forward(x *exchange, e event) resend.Outcome {
	if f.sendEvent(x, e) != nil {
		return resend.CallerGone
	}
	return ""
}

// handleSourceEnd handles a stream that the present target has broken off. If a
// handover is in progress, its result decides whether the stream continues.
func (f *streamForwarder) handleSourceEnd(err error) resend.Outcome {
	f.q.progress.responseErr = err
	if f.pending == nil {
		return resend.Broken
	}
	continues, o := f.finishHandover(<-f.pending.result)
	if continues || o != "" {
		return o
	}
	return resend.Broken
}

// finishHandover handles the result of a handover. If the successor is ready, the
// stream continues there; otherwise the handover is dropped and the buffered events of
// the present target are forwarded.
func (f *streamForwarder) finishHandover(succ successor) (continues bool, o resend.Outcome) {
	if succ.ready() {
		if err := f.mayContinueWith(succ.first); err != nil {
			succ.fail(resend.Broken, err)
		}
	}
	if !succ.ready() {
		return false, f.dropSuccessor(succ)
	}
	h := f.pending
	h.stopBufferTimer()
	f.pending = nil
	f.closeSource(h.cause)
	f.q.tries.Sent()
	f.q.targetID, f.q.placementID = h.verdict.Target.ID, h.verdict.ID
	f.q.beginAttempt(h.startedAt, h.verdict)
	f.q.progress.status = succ.x.resp.StatusCode
	f.x, f.watchdog, f.events, f.cancel = succ.x, succ.watchdog, succ.events, h.cancel
	f.awaitingFirst, f.sourceHasID = true, succ.first.hasID
	f.watchdog.received()
	return true, f.forward(f.x, succ.first)
}

// closeSource ends the attempt at the present target, whose stream continues at another
// one. The outcome is Moved, or Broken if the target has broken off in the meantime.
func (f *streamForwarder) closeSource(cause error) {
	o := resend.Moved
	if f.q.progress.responseErr != nil {
		o, cause = resend.Broken, nil
	}
	f.server.reportOutcome(f.q, f.q.progress.verdict.Target, o, cause)
	f.server.recordAttempt(f.ctx, f.q, o, cause, true)
	f.close()
	f.server.dispatcher.done(f.q.placementID, placeResultOf(o, cause))
	f.q.failedTargets = append(f.q.failedTargets, f.q.targetID)
}

// cancelHandover cancels the handover in progress, if any; the stream stays at the
// present target.
func (f *streamForwarder) cancelHandover() resend.Outcome {
	if f.pending == nil {
		return ""
	}
	f.pending.cancel()
	succ := <-f.pending.result
	if succ.ready() || succ.outcome == resend.Broken && !lostConnection(succ.err) && !isCutOff(succ.err) {
		succ.fail(resend.Dropped, nil)
	}
	return f.dropSuccessor(succ)
}

// dropSuccessor cleans up after a failed handover and forwards the events buffered
// during it.
func (f *streamForwarder) dropSuccessor(succ successor) resend.Outcome {
	h := f.pending
	f.pending = nil
	h.stopBufferTimer()
	h.cancel()
	succ.close()
	if succ.sent {
		f.q.tries.Sent()
	} else {
		f.server.releaseRetries(f.q)
	}
	f.q.tries.Ended(succ.outcome)
	if succ.outcome != resend.Dropped {
		f.q.failedTargets = append(f.q.failedTargets, h.verdict.Target.ID)
	}
	f.server.dispatcher.done(h.verdict.ID, placeResultOf(succ.outcome, succ.err))
	f.server.recordFailedHandover(f.ctx, f.q, h, succ)
	for _, e := range h.buffered {
		if o := f.forward(f.x, e); o != "" {
			return o
		}
	}
	return ""
}

// cleanUp releases what the stream still holds. The exchange of the first target is
// closed by attempt.
func (f *streamForwarder) cleanUp() {
	if f.pending != nil {
		f.pending.buffered = nil
		f.cancelHandover()
	}
	if f.cancel != nil {
		f.close()
	}
}

// close closes the present exchange and stops its watchdog.
func (f *streamForwarder) close() {
	f.watchdog.stop()
	f.x.close()
	if f.cancel != nil {
		f.cancel()
	}
}
