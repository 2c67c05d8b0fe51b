package sessn

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/process/fleet"
	"hawthornferry/io/conn/link"
)

// Client is an entry's session with one side. It keeps one connection open,
// replaces it when it fails or nothing is received on it, and sends calls over it.
// Set the exported fields before Run.
type Client struct {
	Self   *link.Self
	Clock  clockwork.Clock
	VM     fleet.VM
	Timing Timing
	// OnChange, when set, is called after each heartbeat, when the connection ends,
	// and when an attempt to connect fails. It must not block.
	OnChange func()
	// OnCacheEvents, when set, is called with the target's cache events. It must not block.
	OnCacheEvents func([]PrefixEvent)

	mu            sync.Mutex
	conn          *entryConn
	refused       bool
	statusChanged chan struct{}
}

// Status is what an entry knows about a side. Connected means that a heartbeat has
// been received on the current connection; Heartbeat is the latest one and ReceivedAt
// when it was received. Refused means that the latest attempt to connect found nothing
// listening at the side's address.
type Status struct {
	Connected  bool
	Refused    bool
	ReceivedAt time.Time
	Heartbeat  Heartbeat
}

// Status returns the state of the connection and the latest heartbeat.
func (c *Client) Status() Status {
	c.mu.Lock()
	conn, refused := c.conn, c.refused
	c.mu.Unlock()
	if conn == nil {
		return Status{Refused: refused}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed || conn.lastHeartbeat == nil {
		return Status{}
	}
	return Status{Connected: true, ReceivedAt: conn.lastHeartbeatAt, Heartbeat: *conn.lastHeartbeat}
}

// Run maintains the session until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	t := c.Timing.orDefaults()
	for ctx.Err() == nil {
		if !c.runConnection(ctx, t) {
			c.pause(ctx, t.RedialDelay)
		}
	}
	return nil
}

func (c *Client) pause(ctx context.Context, d time.Duration) {
	timer := c.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// runConnection dials the side and serves the connection until it ends. It reports
// whether a heartbeat was received on it; if not, Run waits before the next attempt.
func (c *Client) runConnection(ctx context.Context, t Timing) bool {
	dialCtx, cancel := context.WithTimeout(ctx, t.SilenceTimeout)
	l, err := link.Dial(dialCtx, c.Self, c.VM.Address, link.PurposeCalls, entryKinds())
	cancel()
	if err != nil {
		c.setRefused(errors.Is(err, syscall.ECONNREFUSED))
		return false
	}
	conn := &entryConn{link: l, notifyChange: c.notifyChange, handleEvents: c.onEvents, calls: map[Channel]*Call{}}
	conn.silence.Timeout = t.SilenceTimeout
	conn.recordReceived(c.Clock.Now())
	c.setConn(conn)
	watchCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.closeWhenSilent(watchCtx, conn, t) })
	_ = conn.receive(c.Clock.Now)
	stop()
	conn.closeAndFailCalls()
	wg.Wait()
	c.clearConn(conn)
	return conn.lastHeartbeat != nil
}

// closeWhenSilent closes a connection on which nothing was received for Timing.SilenceTimeout,
// or when ctx ends.
func (c *Client) closeWhenSilent(ctx context.Context, conn *entryConn, t Timing) {
	tick := c.Clock.NewTicker(t.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			conn.link.Close()
			return
		case <-tick.Chan():
		}
		if conn.isSilent(c.Clock.Now()) {
			conn.link.Close()
			return
		}
	}
}

func (c *Client) setRefused(refused bool) {
	c.mu.Lock()
	c.refused = refused
	c.mu.Unlock()
	c.notifyChange()
}

func (c *Client) setConn(conn *entryConn) {
	c.mu.Lock()
	c.conn, c.refused = conn, false
	c.mu.Unlock()
}

func (c *Client) clearConn(conn *entryConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	c.notifyChange()
}

// notifyChange closes the channel that StatusChanged returned and calls OnChange.
func (c *Client) notifyChange() {
	c.mu.Lock()
	if c.statusChanged != nil {
		close(c.statusChanged)
		c.statusChanged = nil
	}
	c.mu.Unlock()
	if c.OnChange != nil {
		c.OnChange()
	}
}

func (c *Client) onEvents(events []PrefixEvent) {
	if c.OnCacheEvents != nil {
		c.OnCacheEvents(events)
	}
}

// StatusChanged returns a channel that is closed at the next change of Status.
func (c *Client) StatusChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statusChanged == nil {
		c.statusChanged = make(chan struct{})
	}
	return c.statusChanged
}

// ClockReading returns the latest reading of the side's clock, which calls send back in
// Start.EchoedReading. It returns false when the client is not connected.
func (c *Client) ClockReading() (fresh.ClockReading, bool) {
	s := c.Status()
	return s.Heartbeat.Reading, s.Connected
}

// Start sends a call. body is the whole request body. ErrUnsent means that nothing
// was sent; after any other error the side may have received the call.
func (c *Client) Start(m *Start, body []byte) (*Call, error) {
	conn, call, err := c.openCall()
	if err != nil {
		return nil, err
	}
	m.Channel = call.channel
	m.BodySize = len(body)
	first := min(len(body), MaxBlockSize)
	m.Body = body[:first]
	if err := conn.send(m); err != nil {
		call.Close(true)
		return nil, errors.Mark(err, ErrConnectionLost)
	}
	for at := first; at < len(body); at += MaxBlockSize {
		end := min(at+MaxBlockSize, len(body))
		if err := conn.send(&Body{Channel: m.Channel, Position: at, Data: body[at:end]}); err != nil {
			call.Close(true)
			return nil, errors.Mark(err, ErrConnectionLost)
		}
	}
	return call, nil
}

// Query asks for the state of a once-call; the first message of the returned Call
// is a Verdict.
func (c *Client) Query(m *Query) (*Call, error) {
	conn, call, err := c.openCall()
	if err != nil {
		return nil, err
	}
	m.Channel = call.channel
	if err := conn.send(m); err != nil {
		call.Close(true)
		return nil, errors.Mark(err, ErrConnectionLost)
	}
	return call, nil
}

func (c *Client) openCall() (*entryConn, *Call, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return nil, nil, ErrUnsent
	}
	call, ok := conn.openCall()
	if !ok {
		return nil, nil, ErrUnsent
	}
	return conn, call, nil
}
