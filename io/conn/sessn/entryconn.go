package sessn

import (
	"sync"
	"time"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// entryConn is one connection of an entry to a side.
type entryConn struct {
	link *link.Conn
	// told is called after each heartbeat, events for cache events.
	told   func()
	events func([]PrefixEvent)

	mu      sync.Mutex
	calls   map[Channel]*Call
	last    Channel
	closed  bool
	silence fresh.SilenceDetector
	beat    *Heartbeat
	beatAt  time.Time
}

func (c *entryConn) send(m frame.Message) error {
	err := c.link.Send(m)
	if err != nil {
		// The reader ends with the connection and tells all its calls.
		c.link.Close()
	}
	return err
}

// open registers a call; it fails once the connection has ended.
func (c *entryConn) open() (*Call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.beat == nil {
		return nil, false
	}
	c.last++
	call := newCall(c.last, c)
	c.calls[c.last] = call
	return call, true
}

// forget drops a call and reports whether its connection still works.
func (c *entryConn) forget(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[call.channel] != call {
		return false
	}
	delete(c.calls, call.channel)
	return !c.closed
}

// receive reads until the connection ends.
func (c *entryConn) receive(now func() time.Time) error {
	for {
		m, err := c.link.Receive()
		if err != nil {
			return err
		}
		c.heard(now())
		switch m := m.(type) {
		case *Heartbeat:
			c.onBeat(m, now())
		case *Events:
			c.events(m.Events)
		default:
			c.deliver(m)
		}
	}
}

func (c *entryConn) heard(now time.Time) {
	c.mu.Lock()
	c.silence.MessageReceived(now)
	c.mu.Unlock()
}

func (c *entryConn) silent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence.TimedOut(now)
}

func (c *entryConn) onBeat(hb *Heartbeat, now time.Time) {
	c.mu.Lock()
	c.beat, c.beatAt = hb, now
	c.mu.Unlock()
	c.told()
	_ = c.send(&Alive{})
}

// deliver hands m to its call. An answer for a call that nobody waits for is
// dropped: it came late, after a cancel.
func (c *entryConn) deliver(m frame.Message) {
	id, ok := callOf(m)
	if !ok {
		return
	}
	c.mu.Lock()
	call := c.calls[id]
	c.mu.Unlock()
	if call == nil {
		return
	}
	if a, ok := m.(*Answer); ok {
		call.put(a.parts()...)
		return
	}
	call.put(m)
}

func callOf(m frame.Message) (Channel, bool) {
	switch m := m.(type) {
	case *Verdict:
		return m.Channel, true
	case *Answer:
		return m.Channel, true
	case *Head:
		return m.Channel, true
	case *Data:
		return m.Channel, true
	case *End:
		return m.Channel, true
	case *Refusal:
		return m.Channel, true
	}
	return 0, false
}

// end closes the connection and tells every outstanding call.
func (c *entryConn) end() {
	c.link.Close()
	c.mu.Lock()
	c.closed = true
	left := c.calls
	c.calls = map[Channel]*Call{}
	c.mu.Unlock()
	for _, call := range left {
		call.fail(ErrLost)
	}
}
