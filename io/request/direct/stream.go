package direct

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/resend"
)

// eventStreamType is the media type of a stream of server-sent events.
const eventStreamType = "text/event-stream"

// streamRelay forwards the events of a stream as they arrive. It sends the response
// head together with the first event, so that a target that fails before that can be
// replaced without the caller noticing.
type streamRelay struct {
	server *Server
	q      *request
	caller callerWriter

	headSent bool
	// awaitingFirst is set until the present target has sent its first event.
	awaitingFirst bool
	// lastID is the ID of the last event that the caller has, if hasLastID is set.
	lastID    uint64
	hasLastID bool
	// lastSentAt is when the caller was last sent an event.
	lastSentAt time.Time
	// nonStream handles a response that is not a stream; nil until there is one.
	nonStream *bufferedRelay
}

func (r *streamRelay) readResponse(ctx context.Context, x *exchange, g *watchdog) (resend.Outcome, error) {
	if !isStream(x.resp) {
		return r.readNonStream(ctx, x, g)
	}
	r.q.progress.status = x.resp.StatusCode
	r.awaitingFirst = true
	f := &streamForwarder{streamRelay: r, ctx: ctx, x: x, watchdog: g, events: x.readEvents(r.server.Memory)}
	return f.run()
}

// isStream reports whether a response is a stream of events.
func isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}

// sendEvent sends an event to the caller, preceded by the response head if need be.
func (r *streamRelay) sendEvent(x *exchange, e event) error {
	if r.awaitingFirst {
		r.awaitingFirst = false
		r.server.dispatcher.responseBegan(r.q.placementID)
	}
	if !r.headSent {
		r.headSent = true
		r.q.progress.timeToFirstEvent = r.server.Clock.Since(r.q.arrivedAt)
		r.server.metrics.recordFirstEvent(r.q.progress.timeToFirstEvent)
		r.caller.writeHead(x.resp, -1)
	}
	if e.hasID {
		if r.q.progress.firstEventAt.IsZero() {
			r.q.progress.firstEventAt = r.server.Clock.Now()
		}
		r.reportRunning()
		r.lastID, r.hasLastID = e.id, true
		r.q.lastEventID = strconv.FormatUint(e.id, 10)
	}
	if err := r.caller.write(e.raw); err != nil {
		return err
	}
	r.lastSentAt = r.server.Clock.Now()
	return r.caller.rc.Flush()
}

// reportRunning reports once for each attempt that its target runs the request and has not
// crashed. The response may go on for long, and others are refused meanwhile.
func (r *streamRelay) reportRunning() {
	p := &r.q.progress
	if p.reportedSound || p.responseDuration(r.server.Clock.Now()) < poison.MinInnocentRun {
		return
	}
	p.reportedSound = true
	r.server.reportSound(r.q)
}

// endedBeforeFirstEvent reports whether a stream that only its connection ends has no events,
// although the caller has none either. Then the target has crashed before it had written any.
func (r *streamRelay) endedBeforeFirstEvent(x *exchange) bool {
	return x.endsWithConnection() && r.awaitingFirst && r.q.lastEventID == ""
}

// finishStream handles a stream that its target has ended properly. It sends the
// response head of a stream without events.
func (r *streamRelay) finishStream(x *exchange) resend.Outcome {
	r.q.progress.mayBeTruncated = x.endsWithConnection() && r.q.progress.responseDuration(r.server.Clock.Now()) < poison.MinInnocentRun
	if !r.headSent {
		r.caller.writeHead(x.resp, -1)
		r.headSent = true
	}
	return resend.Relayed
}

// readNonStream handles a response that is not a stream, such as a failure. If the
// caller already has a part of the stream, the attempt counts as broken.
func (r *streamRelay) readNonStream(ctx context.Context, x *exchange, g *watchdog) (resend.Outcome, error) {
	if r.headSent {
		r.q.progress.responseErr = errors.Newf("status %d instead of the rest of the stream", x.resp.StatusCode)
		return resend.Broken, x.abortReason()
	}
	if r.nonStream == nil {
		r.nonStream = &bufferedRelay{q: r.q, caller: r.caller}
	}
	return r.nonStream.readResponse(ctx, x, g)
}

func (r *streamRelay) responseBegun() bool {
	return r.headSent || (r.nonStream != nil && r.nonStream.sent)
}

func (r *streamRelay) canContinue() bool { return r.nonStream == nil || r.nonStream.canContinue() }

func (r *streamRelay) sendHeldFailure() bool {
	return r.nonStream != nil && !r.headSent && r.nonStream.sendHeldFailure()
}
