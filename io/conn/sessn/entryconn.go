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
	// notifyChange is called after each heartbeat, handleEvents for cache events.
	notifyChange func()
	handleEvents func([]PrefixEvent)

	mu              sync.Mutex
	calls           map[Channel]*Call
	lastChannel     Channel
	closed          bool
	silence         fresh.SilenceDetector
	lastHeartbeat   *Heartbeat
	lastHeartbeatAt time.Time
}

func (c *entryConn) send(m frame.Message) error {
	err := c.link.Send(m)
	if err != nil {
		// The reader then gets an error, and all calls of the connection fail.
		c.link.Close()
	}
	return err
}

// openCall registers a call. It returns false before the first heartbeat and once
// the connection has ended.
func (c *entryConn) openCall() (*Call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.lastHeartbeat == nil {
		return nil, false
	}
	c.lastChannel++
	call := newCall(c.lastChannel, c)
	c.calls[c.lastChannel] = call
	return call, true
}

// removeCall removes a call. It reports whether the call was registered and the
// connection is still open.
func (c *entryConn) removeCall(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[call.channel] != call {
		return false
	}
	delete(c.calls, call.channel)
	return !c.closed
}

// receive reads and handles messages until the connection ends.
func (c *entryConn) receive(now func() time.Time) error {
	for {
		m, err := c.link.Receive()
		if err != nil {
			return err
		}
		c.recordReceived(now())
		switch m := m.(type) {
		case *Heartbeat:
			c.onHeartbeat(m, now())
		case *CacheEvents:
			c.handleEvents(m.Events)
		default:
			c.deliver(m)
		}
	}
}

func (c *entryConn) recordReceived(now time.Time) {
	c.mu.Lock()
	c.silence.MessageReceived(now)
	c.mu.Unlock()
}

func (c *entryConn) isSilent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence.TimedOut(now)
}

func (c *entryConn) onHeartbeat(hb *Heartbeat, now time.Time) {
	c.mu.Lock()
	c.lastHeartbeat, c.lastHeartbeatAt = hb, now
	c.mu.Unlock()
	c.notifyChange()
	_ = c.send(&Alive{})
}

// deliver adds m to its call's queue. A message for an unknown call is dropped: the
// call was cancelled before its answer arrived.
func (c *entryConn) deliver(m frame.Message) {
	id, ok := channelOf(m)
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
		call.enqueue(a.split()...)
		return
	}
	call.enqueue(m)
}

func channelOf(m frame.Message) (Channel, bool) {
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

// closeAndFailCalls closes the connection and fails every outstanding call.
func (c *entryConn) closeAndFailCalls() {
	c.link.Close()
	c.mu.Lock()
	c.closed = true
	outstanding := c.calls
	c.calls = map[Channel]*Call{}
	c.mu.Unlock()
	for _, call := range outstanding {
		call.fail(ErrConnectionLost)
	}
}
