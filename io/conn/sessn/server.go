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

// Service handles the calls of a side's sessions and provides its heartbeats;
// gate.Proxy implements it.
type Service interface {
	// HandleCall handles a call whose request has been received completely. It is called
	// in a goroutine of its own.
	HandleCall(s *Stream)
	// HandleQuery handles a query. It is called in a goroutine of its own.
	HandleQuery(s *Stream, q *Query)
	// Heartbeat returns the content of the next heartbeat.
	Heartbeat() Heartbeat
	// HeartbeatChanged returns a channel that is closed when the result of Heartbeat
	// changes.
	HeartbeatChanged() <-chan struct{}
	// CacheEvents returns the target's cache events after a position, at most MaxEvents
	// of them, and the position of the last one returned.
	CacheEvents(after uint64) ([]PrefixEvent, uint64)
}

// Server is the side's end of all sessions with entries. Set the exported fields
// before Handler is used.
type Server struct {
	Service Service
	Clock   clockwork.Clock
	Timing  Timing
	// MaxCalls is the maximum number of open calls on one connection; 0 means
	// DefaultMaxCalls.
	MaxCalls int

	// bodyBytes is the total size of the request bodies of open calls.
	bodyBytes atomic.Int64

	mu    sync.Mutex
	conns map[*sideConn]bool
}

// DefaultMaxCalls is used when Server.MaxCalls is not set.
const DefaultMaxCalls = 1024

// Handler returns the handler for connections of purpose calls.
func (s *Server) Handler() link.Handler {
	return link.Handler{Kinds: sideKinds(), Serve: s.serve}
}

// sideConn is the side's end of one connection with an entry.
type sideConn struct {
	link   *link.Conn
	server *Server
	wg     sync.WaitGroup

	mu      sync.Mutex
	streams map[Channel]*Stream
	silence fresh.SilenceDetector
	// heartbeatsSent counts the heartbeats sent, heartbeatsAnswered those that the
	// entry has answered. answerReceived is closed and replaced at each answer; it is
	// nil once the connection has ended.
	heartbeatsSent     int
	heartbeatsAnswered int
	answerReceived     chan struct{}
}

// maxBodyBytes limits the total size of the request bodies of open calls on all
// connections, and so the memory that they use. Calls beyond it are refused as
// busy.
const maxBodyBytes = 2 * MaxBody

// serve handles one connection. It returns when the connection has ended and the
// handlers of all its calls have returned.
func (s *Server) serve(ctx context.Context, l *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	c := &sideConn{link: l, server: s, streams: map[Channel]*Stream{}, answerReceived: make(chan struct{})}
	s.addConn(c)
	defer s.removeConn(c)
	c.silence.Timeout = s.Timing.orDefaults().SilenceTimeout
	c.recordReceived(s.Clock.Now())
	c.wg.Go(func() { c.sendHeartbeats(ctx) })
	_ = c.receive(ctx)
	c.stopAwaiting()
	c.releaseIncompleteBodies()
	cancel()
	l.Close()
	c.wg.Wait()
}

// sendHeartbeats sends heartbeats and cache events. It closes the connection when
// nothing was received for Timing.SilenceTimeout; its calls are then cancelled, since nobody
// reads their answers.
func (c *sideConn) sendHeartbeats(ctx context.Context) {
	tick := c.server.Clock.NewTicker(c.server.Timing.orDefaults().HeartbeatInterval)
	defer tick.Stop()
	var seen uint64
	for {
		changed := c.server.Service.HeartbeatChanged()
		hb := c.server.Service.Heartbeat()
		c.mu.Lock()
		c.heartbeatsSent++
		c.mu.Unlock()
		if err := c.send(&hb); err != nil {
			return
		}
		var events []PrefixEvent
		events, seen = c.server.Service.CacheEvents(seen)
		if len(events) > 0 && c.send(&CacheEvents{Events: events}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.Chan():
		}
		if c.isSilent(c.server.Clock.Now()) {
			c.link.Close()
			return
		}
	}
}

func (c *sideConn) recordReceived(now time.Time) {
	c.mu.Lock()
	c.silence.MessageReceived(now)
	c.mu.Unlock()
}

func (c *sideConn) isSilent(now time.Time) bool {
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
		c.recordReceived(c.server.Clock.Now())
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

// openStream registers a channel. It returns nil when too many are open.
func (c *sideConn) openStream(ctx context.Context, id Channel) (*Stream, error) {
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

func (c *sideConn) removeStream(id Channel) {
	c.mu.Lock()
	delete(c.streams, id)
	c.mu.Unlock()
}

func (c *sideConn) onStart(ctx context.Context, m *Start) error {
	if c.server.bodyBytes.Add(int64(m.BodySize)) > maxBodyBytes {
		c.server.bodyBytes.Add(-int64(m.BodySize))
		return c.refuseBusy(m)
	}
	s, err := c.openStream(ctx, m.Channel)
	if err != nil || s == nil {
		c.server.bodyBytes.Add(-int64(m.BodySize))
	}
	if err != nil {
		return err
	}
	if s == nil {
		return c.refuseBusy(m)
	}
	s.Start, s.bodySize = m, m.BodySize
	s.Body = m.Body
	m.Body = nil
	c.startIfComplete(s)
	return nil
}

// refuseBusy refuses a call that exceeds a limit. A call with a ticket bound to a
// ticket or key may be running through another connection, so its outcome is given
// as unknown.
func (c *sideConn) refuseBusy(m *Start) error {
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
	if m.Position != len(s.Body) || len(s.Body)+len(m.Data) > s.bodySize {
		return errors.Wrapf(ErrOutOfOrder, "body at %d, want %d", m.Position, len(s.Body))
	}
	s.Body = append(s.Body, m.Data...)
	c.startIfComplete(s)
	return nil
}

// startIfComplete passes a call to the Service once its whole request body has been
// received. A call never starts with a part of its body, because the rest might not
// arrive.
func (c *sideConn) startIfComplete(s *Stream) {
	if len(s.Body) < s.bodySize {
		return
	}
	s.started = true
	c.wg.Go(func() {
		defer c.server.bodyBytes.Add(-int64(s.bodySize))
		defer s.cancel()
		defer c.removeStream(s.channel)
		c.server.Service.HandleCall(s)
	})
}

func (c *sideConn) onQuery(ctx context.Context, m *Query) error {
	s, err := c.openStream(ctx, m.Channel)
	if err != nil {
		return err
	}
	if s == nil {
		return c.send(&Refusal{Channel: m.Channel, Outcome: calls.OutcomeUnknown, Reason: calls.ReasonBusy})
	}
	c.wg.Go(func() {
		defer s.cancel()
		defer c.removeStream(s.channel)
		c.server.Service.HandleQuery(s, m)
	})
	return nil
}

func (c *sideConn) onCancel(id Channel) {
	s := c.stream(id)
	if s == nil {
		return
	}
	if s.bodyIncomplete() {
		c.server.bodyBytes.Add(-int64(s.bodySize))
		c.removeStream(id)
	}
	s.cancel()
}

// releaseIncompleteBodies subtracts the calls whose bodies were never completed from
// bodyBytes.
func (c *sideConn) releaseIncompleteBodies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.streams {
		if s.bodyIncomplete() {
			c.server.bodyBytes.Add(-int64(s.bodySize))
		}
	}
}
