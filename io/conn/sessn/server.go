package sessn

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Service is what stands behind a side's sessions.
type Service interface {
	// Begin serves a call whose request has come in whole. It runs in its
	// own goroutine.
	Begin(s *Stream)
	// Ask serves a query in its own goroutine.
	Ask(s *Stream, q *Query)
	// Beat returns what the next heartbeat says.
	Beat() Heartbeat
	// Changed returns a channel that is closed when Beat says something new.
	Changed() <-chan struct{}
	// Events returns the target's cache events after a position, at most
	// MaxEvents of them, and the position of the last.
	Events(after uint64) ([]PrefixEvent, uint64)
}

// Server accepts the sessions of entries. Set the exported fields first.
type Server struct {
	Service Service
	Clock   clockwork.Clock
	Timing  Timing
	// MaxCalls bounds the calls open on one connection.
	MaxCalls int

	// bodies is the number of bytes of the request bodies of open calls.
	bodies atomic.Int64

	mu    sync.Mutex
	conns map[*sideConn]bool
}

// DefaultMaxCalls bounds the calls open on one connection where nothing is
// set.
const DefaultMaxCalls = 1024

// Handler returns the handler for connections of purpose calls.
func (s *Server) Handler() link.Handler {
	return link.Handler{Kinds: sideKinds(), Serve: s.serve}
}

// sideConn is one connection of an entry at the side.
type sideConn struct {
	link   *link.Conn
	server *Server
	wg     sync.WaitGroup

	mu      sync.Mutex
	streams map[Channel]*Stream
	silence fresh.SilenceDetector
	// beaten counts heartbeats sent, alive those that the entry has answered;
	// heardFrom is closed and renewed with each answer.
	beaten    int
	alive     int
	heardFrom chan struct{}
}

// maxBodies bounds the request bodies of open calls, over all connections.
const maxBodies = 2 * MaxBody

// serve runs one connection. It returns when the connection has ended and
// every call on it has returned.
func (s *Server) serve(ctx context.Context, l *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	c := &sideConn{link: l, server: s, streams: map[Channel]*Stream{}, heardFrom: make(chan struct{})}
	s.add(c)
	defer s.remove(c)
	c.silence.Timeout = s.Timing.orDefault().Silent
	c.heard(s.Clock.Now())
	c.wg.Go(func() { c.beats(ctx) })
	_ = c.receive(ctx)
	c.gone()
	c.dropUnfinished()
	cancel()
	l.Close()
	c.wg.Wait()
}

// beats sends heartbeats, and closes the connection once it is silent: the
// calls on it are then cancelled, since nobody reads their answers.
func (c *sideConn) beats(ctx context.Context) {
	tick := c.server.Clock.NewTicker(c.server.Timing.orDefault().Beat)
	defer tick.Stop()
	var seen uint64
	for {
		changed := c.server.Service.Changed()
		hb := c.server.Service.Beat()
		c.mu.Lock()
		c.beaten++
		c.mu.Unlock()
		if err := c.send(&hb); err != nil {
			return
		}
		var events []PrefixEvent
		events, seen = c.server.Service.Events(seen)
		if len(events) > 0 && c.send(&Events{Events: events}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.Chan():
		}
		if c.silent(c.server.Clock.Now()) {
			c.link.Close()
			return
		}
	}
}

func (c *sideConn) heard(now time.Time) {
	c.mu.Lock()
	c.silence.MessageReceived(now)
	c.mu.Unlock()
}

func (c *sideConn) silent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence.TimedOut(now)
}

func (c *sideConn) send(m frame.Message) error {
	err := c.link.Send(m)
	if err != nil {
		c.link.Close()
	}
	return err
}

func (c *sideConn) receive(ctx context.Context) error {
	for {
		m, err := c.link.Receive()
		if err != nil {
			return err
		}
		c.heard(c.server.Clock.Now())
		if err := c.handle(ctx, m); err != nil {
			return err
		}
	}
}

func (c *sideConn) handle(ctx context.Context, m frame.Message) error {
	switch m := m.(type) {
	case *Start:
		return c.onStart(ctx, m)
	case *Body:
		return c.onBody(m)
	case *Query:
		return c.onQuery(ctx, m)
	case *Alive:
		c.onAlive()
	case *Cancel:
		c.onCancel(m.Channel)
	case *Credit:
		if s := c.stream(m.Channel); s != nil {
			s.addCredit(m.Bytes)
		}
	}
	return nil
}

// open registers a channel. It returns nil when too many are open.
func (c *sideConn) open(ctx context.Context, id Channel) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.streams[id]; ok {
		return nil, errors.Newf("channel %d is open already", id)
	}
	if len(c.streams) >= c.maxCalls() {
		return nil, nil
	}
	s := newStream(ctx, c, id)
	c.streams[id] = s
	return s, nil
}

func (c *sideConn) maxCalls() int {
	if c.server.MaxCalls > 0 {
		return c.server.MaxCalls
	}
	return DefaultMaxCalls
}

func (c *sideConn) stream(id Channel) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *sideConn) forget(id Channel) {
	c.mu.Lock()
	delete(c.streams, id)
	c.mu.Unlock()
}

func (c *sideConn) onStart(ctx context.Context, m *Start) error {
	if c.server.bodies.Add(int64(m.Size)) > maxBodies {
		c.server.bodies.Add(-int64(m.Size))
		return c.busy(m)
	}
	s, err := c.open(ctx, m.Channel)
	if err != nil || s == nil {
		c.server.bodies.Add(-int64(m.Size))
	}
	if err != nil {
		return err
	}
	if s == nil {
		return c.busy(m)
	}
	s.Start, s.want = m, m.Size
	s.Body = m.Body
	m.Body = nil
	c.beginWhole(s)
	return nil
}

// busy refuses a call over the connection's bounds. The same ticket or key
// may run through another connection, so nothing is said of it.
func (c *sideConn) busy(m *Start) error {
	r := &Refusal{Channel: m.Channel, Outcome: calls.OutcomeNotRun, Reason: calls.ReasonBusy}
	if m.Ticket != nil && m.Ticket.Binding != calls.BindFree {
		r.Outcome = calls.OutcomeUnknown
	}
	return c.send(r)
}

func (c *sideConn) onBody(m *Body) error {
	s := c.stream(m.Channel)
	if s == nil {
		return nil
	}
	if m.Position != len(s.Body) || len(s.Body)+len(m.Data) > s.want {
		return errors.Wrapf(ErrCrossed, "body at %d, want %d", m.Position, len(s.Body))
	}
	s.Body = append(s.Body, m.Data...)
	c.beginWhole(s)
	return nil
}

// beginWhole hands a call on once its request is whole. A call is never
// started on a part of its body: the rest might not come.
func (c *sideConn) beginWhole(s *Stream) {
	if len(s.Body) < s.want {
		return
	}
	s.begun = true
	c.wg.Go(func() {
		defer c.server.bodies.Add(-int64(s.want))
		defer s.cancel()
		defer c.forget(s.channel)
		c.server.Service.Begin(s)
	})
}

func (c *sideConn) onQuery(ctx context.Context, m *Query) error {
	s, err := c.open(ctx, m.Channel)
	if err != nil {
		return err
	}
	if s == nil {
		return c.send(&Refusal{Channel: m.Channel, Outcome: calls.OutcomeUnknown, Reason: calls.ReasonBusy})
	}
	c.wg.Go(func() {
		defer s.cancel()
		defer c.forget(s.channel)
		c.server.Service.Ask(s, m)
	})
	return nil
}

func (c *sideConn) onCancel(id Channel) {
	s := c.stream(id)
	if s == nil {
		return
	}
	if s.unfinished() {
		c.server.bodies.Add(-int64(s.want))
		c.forget(id)
	}
	s.cancel()
}

// dropUnfinished gives up the calls whose bodies never came whole.
func (c *sideConn) dropUnfinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.streams {
		if s.unfinished() {
			c.server.bodies.Add(-int64(s.want))
		}
	}
}
