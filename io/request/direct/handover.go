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

// maxBuffering bounds for how long a caller gets no events while an answer is moved, and
// bufferingShare is the part of the route's gap that bounds it too.
const (
	maxBuffering   = 500 * time.Millisecond
	bufferingShare = 0.9
)

// bufferingTime is for how long after its last event a caller may get none.
func bufferingTime(gap time.Duration) time.Duration {
	if gap <= 0 {
		return maxBuffering
	}
	return min(maxBuffering, time.Duration(bufferingShare*float64(gap)))
}

// errNoRest is returned for an answer that is not the rest of a stream.
var errNoRest = errors.New("no stream in place of the rest of one")

// handover moves an answer under way to another target. The first one is kept until
// the other has written the next event: it may turn the answer away, or fail, and what
// the caller has would be lost.
type handover struct {
	why     error
	verdict place.Verdict
	began   time.Time
	cancel  context.CancelFunc
	// result brings one successor.
	result chan successor

	// buffered is what the first target has written meanwhile, and expired is closed
	// once that may wait no longer.
	buffered []event
	expired  chan struct{}
	timer    clockwork.Timer
}

// successor is the attempt at the other target once it has written the next event; if
// it ended before, outcome tells how.
type successor struct {
	x       *exchange
	guard   *guard
	events  <-chan message
	first   event
	sent    bool
	outcome resend.Outcome
	err     error
}

func (n *successor) ready() bool { return n.outcome == "" }

func (n *successor) fail(o resend.Outcome, err error) successor {
	n.outcome, n.err = o, err
	return *n
}

// close ends the attempt.
func (n *successor) close() {
	if n.x == nil {
		return
	}
	n.guard.stop()
	n.x.close()
}

// beginHandover places an answer under way at another target and begins an attempt there. It
// returns nil when there is no place or the request may not be sent once more.
func (s *Server) beginHandover(ctx context.Context, q *request, why error) *handover {
	left := q.tries.Left()
	if _, blocked := s.blocked(q); blocked || left == 0 {
		return nil
	}
	w := s.work(q)
	w.ID, w.Begun = q.placementID+"+", true
	w.Avoid = append(w.Avoid[:len(w.Avoid):len(w.Avoid)], q.target)
	v, ok := s.desk.move(w, why, bufferingTime(q.route.Gap))
	if !ok {
		return nil
	}
	if !s.retry(q.service.Name) {
		s.desk.done(v.ID, place.ResultLeft)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &handover{
		why: why, verdict: v, began: s.Clock.Now(), cancel: cancel,
		result: make(chan successor, 1), expired: make(chan struct{}),
	}
	req := s.outgoing(ctx, q, v)
	go func() { h.result <- s.attemptSuccessor(ctx, q, v, req, left > 1) }()
	return h
}

// attemptSuccessor makes the attempt at the other target up to its first event. Movable is set
// when the answer may leave that target, too.
func (s *Server) attemptSuccessor(ctx context.Context, q *request, v place.Verdict, req *http.Request, movable bool) successor {
	n := successor{}
	x, err := s.sender.connect(ctx, v.Target)
	if err != nil {
		return n.fail(resend.Unsent, err)
	}
	n.x, n.sent, n.guard = x, true, s.guard(q, x, v, movable)
	if o, err := s.ask(q, x, req); o != "" {
		return n.fail(o, err)
	}
	if !isStream(x.resp) {
		return n.fail(resend.Broken, errNoRest)
	}
	n.events = x.messages()
	m := <-n.events
	if m.err != nil {
		return n.fail(resend.Broken, errors.CombineErrors(x.reason(), m.err))
	}
	n.first = m.event
	return n
}

// buffer keeps back an event of the first target until the given time at the most.
func (h *handover) buffer(clock clockwork.Clock, e event, until time.Time) {
	h.buffered = append(h.buffered, e)
	if h.timer != nil {
		return
	}
	h.timer = clock.AfterFunc(until.Sub(clock.Now()), func() { close(h.expired) })
}

// stop ends the watch over the time for which events are buffered.
func (h *handover) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}
