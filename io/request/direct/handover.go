package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/request/place"
	"hawthornferry/core/request/resend"
)

// Limits on how long the caller gets no events because a stream is being handed over:
// maxBuffering, and bufferingShare as a fraction of the route's gap objective.
const (
	maxBuffering   = 500 * time.Millisecond
	bufferingShare = 0.9
	// maxBufferedBytes limits the bytes of the events that are buffered meanwhile. A target
	// sends some hundred bytes in that time.
	maxBufferedBytes = 64 << 10
)

// bufferingTime returns how long after the last event the caller may get none because
// of a handover.
func bufferingTime(gap time.Duration) time.Duration {
	if gap <= 0 {
		return maxBuffering
	}
	return min(maxBuffering, time.Duration(bufferingShare*float64(gap)))
}

// errNotStream is returned if a successor's response is not an event stream.
var errNotStream = errors.New("response is not an event stream")

// handover moves a response under way to another target. The present target is kept
// until the other one, the successor, has sent the next event: the successor may reject
// the request or fail, and the response would be lost.
type handover struct {
	cause     error
	verdict   place.Verdict
	startedAt time.Time
	cancel    context.CancelFunc
	// result receives the successor, once.
	result chan successor

	// buffered holds the events that the present target has sent during the handover.
	// bufferExpired is closed when they may wait no longer.
	buffered      []event
	bufferedBytes int
	bufferExpired chan struct{}
	bufferTimer   clockwork.Timer
}

// successor is the attempt at the other target, up to its first event. If it ended
// before that, outcome says how.
type successor struct {
	x        *exchange
	watchdog *watchdog
	events   <-chan streamItem
	first    event
	sent     bool
	outcome  resend.Outcome
	err      error
}

// ready reports whether the successor has sent its first event.
func (succ *successor) ready() bool { return succ.outcome == "" }

// fail sets how the attempt ended and returns a copy.
func (succ *successor) fail(o resend.Outcome, err error) successor {
	succ.outcome, succ.err = o, err
	return *succ
}

// close closes the exchange, if there is one, and stops its watchdog.
func (succ *successor) close() {
	if succ.x == nil {
		return
	}
	succ.watchdog.stop()
	succ.x.close()
}

// beginHandover places a response under way at another target and starts an attempt
// there. It returns nil if no target has room, the request is blocked, or it may not be
// sent again.
func (s *Server) beginHandover(ctx context.Context, q *request, cause error) *handover {
	left := q.tries.Remaining()
	if _, blocked := s.blocked(q); blocked || left == 0 {
		return nil
	}
	w := s.placerRequest(q)
	w.ID, w.Resumed = q.placementID+"+", true
	w.FailedTargets = append(w.FailedTargets[:len(w.FailedTargets):len(w.FailedTargets)], q.targetID)
	v, ok := s.dispatcher.placeHandover(w, cause, bufferingTime(q.route.MaxEventGap))
	if !ok {
		return nil
	}
	if !s.takeRetry(q) {
		s.dispatcher.done(v.ID, place.ResultCallerGone)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &handover{
		cause: cause, verdict: v, startedAt: s.Clock.Now(), cancel: cancel,
		result: make(chan successor, 1), bufferExpired: make(chan struct{}),
	}
	req := s.targetRequest(ctx, q, v)
	go func() { h.result <- s.attemptSuccessor(ctx, q, v, req, left > 1) }()
	return h
}

// attemptSuccessor makes the attempt at the other target up to its first event. movable
// tells whether the response may later be handed over from that target, too.
func (s *Server) attemptSuccessor(ctx context.Context, q *request, v place.Verdict, req *http.Request, movable bool) successor {
	succ := successor{}
	x, err := s.connector.connect(ctx, v.Target)
	if err != nil {
		return succ.fail(resend.Unreached, err)
	}
	if err := s.checkPlacement(v); err != nil {
		x.close()
		return succ.fail(resend.Unreached, err)
	}
	s.attemptSent(q)
	succ.x, succ.sent, succ.watchdog = x, true, s.startWatchdog(q, x, v, movable)
	if o, err := s.sendAndCheck(q, x, req); o != "" {
		return succ.fail(o, err)
	}
	if !isStream(x.resp) {
		return succ.fail(resend.Broken, errNotStream)
	}
	succ.events = x.readEvents(s.Memory)
	item := <-succ.events
	if item.err != nil {
		return succ.fail(resend.Broken, errors.CombineErrors(x.abortReason(), item.err))
	}
	succ.first = item.event
	return succ
}

// buffer keeps an event of the present target. With the first event, it starts the
// timer that expires the handover at the given time.
func (h *handover) buffer(clock clockwork.Clock, e event, until time.Time) {
	h.buffered = append(h.buffered, e)
	h.bufferedBytes += len(e.raw)
	if h.bufferTimer != nil {
		return
	}
	h.bufferTimer = clock.AfterFunc(until.Sub(clock.Now()), func() { close(h.bufferExpired) })
}

func (h *handover) stopBufferTimer() {
	if h.bufferTimer != nil {
		h.bufferTimer.Stop()
	}
}
