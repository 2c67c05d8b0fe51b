package direct

import (
	"time"

	"github.com/jonboulle/clockwork"
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

// guard watches over one exchange: a target that is silent for too long loses
// its request when another one can have it.
type guard struct {
	server *Server
	q      *request
	x      *exchange
	timer  clockwork.Timer
	// due ends a request that has not begun by the time at which its target's
	// version may not be begun on any more.
	due clockwork.Timer
}

func (s *Server) guard(q *request, x *exchange, serving uint64) *guard {
	g := &guard{server: s, q: q, x: x}
	if e := q.service.Engine; e != nil && serving > 0 && s.Rules.Version > 0 {
		for _, v := range s.Source.Current().Named(e.Model) {
			if v.Version <= serving {
				continue
			}
			left := s.Rules.Version - beginReserve - s.Clock.Since(v.Since)
			if left < q.deadline.Sub(s.Clock.Now()) {
				g.due = s.Clock.AfterFunc(max(left, 0), func() { x.abandon("not begun before its version is too old") })
			}
		}
	}
	if q.tries.Movable() {
		g.timer = s.Clock.AfterFunc(patienceOf(q.route.Objective, firstPatience), g.silent)
	}
	return g
}

func patienceOf(d time.Duration, times float64) time.Duration {
	return max(time.Duration(float64(d)*times), leastSilence)
}

// silent moves the request when there is another target for it and it may be
// sent once more; else its answer may still come, and to end it would cost the
// caller what it has.
func (g *guard) silent() {
	if !g.server.desk.other(g.q.service.Name, g.q.target) || !g.server.retry(g.q.service.Name) {
		return
	}
	g.q.prepaid.Store(true)
	g.x.abandon("target is silent")
}

// heard takes a part of the answer.
func (g *guard) heard() {
	if g.due != nil {
		g.due.Stop()
		g.due = nil
	}
	if g.timer != nil && g.q.route.Gap > 0 {
		g.timer.Reset(patienceOf(g.q.route.Gap, gapPatience))
	}
}

func (g *guard) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
	if g.due != nil {
		g.due.Stop()
	}
}
