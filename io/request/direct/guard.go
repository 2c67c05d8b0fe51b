package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/request/place"
)

// How long a target may be silent before its request is moved to another one,
// in objectives of the route. An answer that comes later is late anyway; one
// from another target is at least whole, and a target that hangs or is dark
// never answers. Below two, engines that read a long prompt would be left.
const (
	firstPatience = 2.5
	gapPatience   = 2.5
	// leastSilence bounds the patience from below.
	leastSilence = 150 * time.Millisecond
	// beginReserve is how long before the bound on versions a request must
	// have begun on an older one.
	beginReserve = 300 * time.Millisecond
)

// dueEvery is how often a request that has not begun is looked at anew: the
// version that overtakes it may be named, or its naming come to light, after it
// was sent, and a timer stands still while the machine is suspended.
const dueEvery = 200 * time.Millisecond

// guard watches over one exchange: a target that is silent for too long loses
// its request when another one can have it, and a request that has not begun by
// the time at which its target's version may not be begun on any more is ended.
type guard struct {
	server  *Server
	q       *request
	x       *exchange
	target  string
	serving uint64
	timer   clockwork.Timer
	// movable is set when another target may take the request over, and moves
	// brings why it should.
	movable bool
	moves   chan error

	mu  sync.Mutex
	due clockwork.Timer
	// settled is set once the request has begun or the exchange is over.
	settled bool
	// begun is set once a part of the answer has come.
	begun atomic.Bool
}

// Why an entry itself ends an attempt. errOverdue is for one at a target whose
// version may not be begun on any more.
var (
	errOverdue = errors.New("not begun before its version is too old")
	errSilent  = errors.New("target is silent")
	errLoading = errors.New("target waits to load")
)

func (s *Server) guard(q *request, x *exchange, v place.Verdict, movable bool) *guard {
	g := &guard{
		server: s, q: q, x: x, target: v.Target.ID, serving: v.Serving,
		movable: movable, moves: make(chan error, 1),
	}
	g.watchDue()
	s.moves.add(g)
	if g.movable {
		g.timer = s.Clock.AfterFunc(patienceOf(q.route.Objective, firstPatience), g.silent)
	}
	return g
}

// requestMove asks for an answer that has begun to be moved to another target.
func (g *guard) requestMove(why error) {
	select {
	case g.moves <- why:
	default:
	}
}

// beginWithin is how long a request may still begin on a version; false if
// nothing newer bounds that.
func (s *Server) beginWithin(q *request, serving uint64) (time.Duration, bool) {
	if q.service.Engine == nil || serving == 0 || s.Rules.Version <= 0 {
		return 0, false
	}
	since, replaced := s.Source.Current().ReplacedSince(q.service.Engine.Model, serving)
	if !replaced {
		return 0, false
	}
	return s.Rules.Version - beginReserve - s.Clock.Since(since), true
}

// overdue reports whether a request may not begin on a version any more.
func (s *Server) overdue(q *request, serving uint64) bool {
	left, bounded := s.beginWithin(q, serving)
	return bounded && left <= 0
}

// watchDue ends the exchange if its time is over, and else looks again later.
func (g *guard) watchDue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settled || g.q.service.Engine == nil || g.serving == 0 {
		return
	}
	pause := dueEvery
	if left, bounded := g.server.beginWithin(g.q, g.serving); bounded {
		if left <= 0 {
			g.settled = true
			g.x.abandon(errOverdue)
			return
		}
		pause = min(pause, left)
	}
	g.due = g.server.Clock.AfterFunc(pause, g.watchDue)
}

// settle ends the watch over the beginning.
func (g *guard) settle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled = true
	if g.due != nil {
		g.due.Stop()
	}
}

func patienceOf(d time.Duration, times float64) time.Duration {
	return max(time.Duration(float64(d)*times), leastSilence)
}

// silent moves the request when there is another target for it and it may be
// sent once more; else its answer may still come, and to end it would cost the
// caller what it has.
func (g *guard) silent() {
	if g.begun.Load() {
		g.requestMove(errSilent)
		return
	}
	if !g.server.desk.other(g.q.service.Name, g.target) || !g.server.retry(g.q.service.Name) {
		return
	}
	g.q.prepaid.Store(true)
	g.x.abandon(errSilent)
}

// heard takes a part of the answer.
func (g *guard) heard() {
	g.begun.Store(true)
	g.settle()
	if g.timer != nil && g.q.route.Gap > 0 {
		g.timer.Reset(patienceOf(g.q.route.Gap, gapPatience))
	}
}

func (g *guard) stop() {
	g.server.moves.remove(g)
	if g.timer != nil {
		g.timer.Stop()
	}
	g.settle()
}
