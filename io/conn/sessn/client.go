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
// replaces it when it fails or goes silent, and carries calls over it. Set
// the exported fields before Run.
type Client struct {
	Self   *link.Self
	Clock  clockwork.Clock
	VM     fleet.VM
	Timing Timing
	// Changed, when set, is called after each heartbeat and when the
	// connection comes or goes. It must not block.
	Changed func()
	// Events, when set, takes the target's cache events. It must not block.
	Events func([]PrefixEvent)

	mu      sync.Mutex
	conn    *entryConn
	refused bool
	up      chan struct{}
}

// Status is what an entry knows of a side. Connected is false while there is
// no connection that has shown a heartbeat. Refused means that the last
// attempt found nothing listening at the side's address.
type Status struct {
	Connected bool
	Refused   bool
	At        time.Time
	Beat      Heartbeat
}

// Status returns what the latest heartbeat said.
func (c *Client) Status() Status {
	c.mu.Lock()
	conn, refused := c.conn, c.refused
	c.mu.Unlock()
	if conn == nil {
		return Status{Refused: refused}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed || conn.beat == nil {
		return Status{}
	}
	return Status{Connected: true, At: conn.beatAt, Beat: *conn.beat}
}

// Run keeps the session until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	t := c.Timing.orDefault()
	for ctx.Err() == nil {
		if !c.once(ctx, t) {
			c.pause(ctx, t.Redial)
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

// once dials and serves one connection to its end. It reports whether the
// connection worked at all.
func (c *Client) once(ctx context.Context, t Timing) bool {
	dialCtx, cancel := context.WithTimeout(ctx, t.Silent)
	l, err := link.Dial(dialCtx, c.Self, c.VM.Address, link.PurposeCalls, entryKinds())
	cancel()
	if err != nil {
		c.noteRefused(errors.Is(err, syscall.ECONNREFUSED))
		return false
	}
	conn := &entryConn{link: l, told: c.told, events: c.onEvents, calls: map[Channel]*Call{}}
	conn.silence.Timeout = t.Silent
	conn.heard(c.Clock.Now())
	c.set(conn)
	watched, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { c.watch(watched, conn, t) })
	_ = conn.receive(c.Clock.Now)
	stop()
	conn.end()
	wg.Wait()
	c.unset(conn)
	return conn.beat != nil
}

// watch closes a connection that has gone silent.
func (c *Client) watch(ctx context.Context, conn *entryConn, t Timing) {
	tick := c.Clock.NewTicker(t.Beat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			conn.link.Close()
			return
		case <-tick.Chan():
		}
		if conn.silent(c.Clock.Now()) {
			conn.link.Close()
			return
		}
	}
}

func (c *Client) noteRefused(refused bool) {
	c.mu.Lock()
	c.refused = refused
	c.mu.Unlock()
	c.told()
}

func (c *Client) set(conn *entryConn) {
	c.mu.Lock()
	c.conn, c.refused = conn, false
	c.mu.Unlock()
}

func (c *Client) unset(conn *entryConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	c.told()
}

// told wakes those who wait for a change.
func (c *Client) told() {
	c.mu.Lock()
	if c.up != nil {
		close(c.up)
		c.up = nil
	}
	c.mu.Unlock()
	if c.Changed != nil {
		c.Changed()
	}
}

func (c *Client) onEvents(events []PrefixEvent) {
	if c.Events != nil {
		c.Events(events)
	}
}

// Next returns a channel that is closed at the next change of Status.
func (c *Client) Next() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up == nil {
		c.up = make(chan struct{})
	}
	return c.up
}

// Reading returns the side's latest reading, for the calls to echo.
func (c *Client) Reading() (fresh.ClockReading, bool) {
	s := c.Status()
	return s.Beat.Reading, s.Connected
}

// Start sends a call. body is the whole request body. ErrUnsent means that
// it certainly did not leave; any other error that it may have.
func (c *Client) Start(m *Start, body []byte) (*Call, error) {
	conn, call, err := c.open()
	if err != nil {
		return nil, err
	}
	m.Channel = call.channel
	m.Size = len(body)
	first := min(len(body), BlockSize)
	m.Body = body[:first]
	if err := conn.send(m); err != nil {
		call.Close(true)
		return nil, errors.Mark(err, ErrLost)
	}
	for at := first; at < len(body); at += BlockSize {
		end := min(at+BlockSize, len(body))
		if err := conn.send(&Body{Channel: m.Channel, Position: at, Data: body[at:end]}); err != nil {
			call.Close(true)
			return nil, errors.Mark(err, ErrLost)
		}
	}
	return call, nil
}

// Query asks what became of a call; the first message is a Verdict.
func (c *Client) Query(m *Query) (*Call, error) {
	conn, call, err := c.open()
	if err != nil {
		return nil, err
	}
	m.Channel = call.channel
	if err := conn.send(m); err != nil {
		call.Close(true)
		return nil, errors.Mark(err, ErrLost)
	}
	return call, nil
}

func (c *Client) open() (*entryConn, *Call, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return nil, nil, ErrUnsent
	}
	call, ok := conn.open()
	if !ok {
		return nil, nil, ErrUnsent
	}
	return conn, call, nil
}
