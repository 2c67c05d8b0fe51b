package sessn

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/conn/frame"
)

// ErrConnectionLost is returned for a call whose connection failed or was closed because
// nothing was received on it. The call may or may not have run.
var ErrConnectionLost = errors.New("connection lost with the call outstanding")

// ErrUnsent is returned for a call of which nothing was sent, so that it has not run.
var ErrUnsent = errors.New("no connection to the side")

// ErrOutOfOrder is returned when a block of a body does not begin where the previous
// one ended.
var ErrOutOfOrder = errors.New("block at an unexpected position")

// Call is the entry's end of one call on one connection. Its exported methods are
// not safe for concurrent use.
type Call struct {
	channel Channel

	conn *entryConn

	mu    sync.Mutex
	queue []frame.Message
	// queuedBytes is the number of answer bytes in queue.
	queuedBytes int
	err         error
	wake        chan struct{}

	position   int
	uncredited int
}

func newCall(id Channel, c *entryConn) *Call {
	return &Call{channel: id, conn: c, wake: make(chan struct{}, 1)}
}

// Next returns the next message of the call: Verdict, Head, Data, End or Refusal.
// When the connection has ended it returns the messages received before, then
// ErrConnectionLost.
func (c *Call) Next(ctx context.Context) (frame.Message, error) {
	for {
		m, err := c.dequeue()
		if err != nil {
			return nil, err
		}
		if m != nil {
			return m, c.checkPosition(m)
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *Call) dequeue() (frame.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		m := c.queue[0]
		c.queue = c.queue[1:]
		c.queuedBytes -= answerBytes(m)
		return m, nil
	}
	return nil, c.err
}

// checkPosition checks that m continues the answer where the previous block ended,
// and gives the side credit for the bytes that the caller has taken.
func (c *Call) checkPosition(m frame.Message) error {
	switch m := m.(type) {
	case *Data:
		if m.Position != c.position {
			return errors.Wrapf(ErrOutOfOrder, "at %d, want %d", m.Position, c.position)
		}
		c.position += len(m.Data)
		return c.sendCredit(len(m.Data))
	case *End:
		if m.Size != c.position {
			return errors.Wrapf(ErrOutOfOrder, "end at %d, want %d", m.Size, c.position)
		}
	}
	return nil
}

func (c *Call) sendCredit(n int) error {
	c.uncredited += n
	if c.uncredited < CreditWindow/2 {
		return nil
	}
	m := &Credit{Channel: c.channel, Bytes: c.uncredited}
	c.uncredited = 0
	// A failed send closes the connection, whose reader then fails the call.
	_ = c.conn.send(m)
	return nil
}

// enqueue adds received messages to the call's queue. A side that keeps to its
// credit never has more than CreditWindow bytes queued, so the call fails beyond that
// instead of using more memory.
func (c *Call) enqueue(ms ...frame.Message) {
	c.mu.Lock()
	for _, m := range ms {
		c.queuedBytes += answerBytes(m)
	}
	if c.queuedBytes > CreditWindow || len(c.queue) > CreditWindow {
		c.queue, c.err = nil, errors.Wrap(ErrConnectionLost, "side sent more than its credit allows")
	} else {
		c.queue = append(c.queue, ms...)
	}
	c.mu.Unlock()
	c.wakeReader()
}

func answerBytes(m frame.Message) int {
	if d, ok := m.(*Data); ok {
		return len(d.Data)
	}
	return 0
}

func (c *Call) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.wakeReader()
}

func (c *Call) wakeReader() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close removes the call from the connection. ended says that the answer is
// complete; otherwise the side gets a Cancel.
func (c *Call) Close(ended bool) {
	if c.conn.removeCall(c) && !ended {
		_ = c.conn.send(&Cancel{Channel: c.channel})
	}
}
