package sessn

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/conn/frame"
)

// ErrLost is returned for a call whose connection failed or went silent: it
// says nothing of whether the call ran.
var ErrLost = errors.New("connection lost with the call outstanding")

// ErrUnsent is returned for a call that certainly did not leave.
var ErrUnsent = errors.New("no connection to the side")

// ErrCrossed is returned when an answer's blocks do not follow each other.
var ErrCrossed = errors.New("answer block out of place")

// Call is the entry's end of one call on one connection. Its methods are for
// one goroutine.
type Call struct {
	channel Channel

	conn *entryConn

	mu    sync.Mutex
	parts []frame.Message
	// held is the number of answer bytes in parts.
	held int
	err  error
	wake chan struct{}

	position int
	owed     int
}

func newCall(id Channel, c *entryConn) *Call {
	return &Call{channel: id, conn: c, wake: make(chan struct{}, 1)}
}

// Next returns the next message of the call: Verdict, Head, Data, End or
// Refusal. It returns ErrLost once the connection is gone and what came
// before has been returned.
func (c *Call) Next(ctx context.Context) (frame.Message, error) {
	for {
		m, err := c.take()
		if err != nil {
			return nil, err
		}
		if m != nil {
			return m, c.follow(m)
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (c *Call) take() (frame.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.parts) > 0 {
		m := c.parts[0]
		c.parts = c.parts[1:]
		c.held -= sizeOf(m)
		return m, nil
	}
	return nil, c.err
}

// follow checks that the blocks of the answer follow each other and gives
// credit for what has been taken.
func (c *Call) follow(m frame.Message) error {
	switch m := m.(type) {
	case *Data:
		if m.Position != c.position {
			return errors.Wrapf(ErrCrossed, "at %d, want %d", m.Position, c.position)
		}
		c.position += len(m.Data)
		return c.credit(len(m.Data))
	case *End:
		if m.Size != c.position {
			return errors.Wrapf(ErrCrossed, "end at %d, want %d", m.Size, c.position)
		}
	}
	return nil
}

func (c *Call) credit(n int) error {
	c.owed += n
	if c.owed < Window/2 {
		return nil
	}
	m := &Credit{Channel: c.channel, Bytes: c.owed}
	c.owed = 0
	// A failed send is seen by the connection's reader, which ends the call.
	_ = c.conn.send(m)
	return nil
}

// put hands messages to the call. The side sends no more than its credit,
// so a call that holds more than the window is ended rather than let grow.
func (c *Call) put(ms ...frame.Message) {
	c.mu.Lock()
	for _, m := range ms {
		c.held += sizeOf(m)
	}
	if c.held > Window || len(c.parts) > Window {
		c.parts, c.err = nil, errors.Wrap(ErrLost, "side sent beyond its credit")
	} else {
		c.parts = append(c.parts, ms...)
	}
	c.mu.Unlock()
	c.signal()
}

func sizeOf(m frame.Message) int {
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
	c.signal()
}

func (c *Call) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close forgets the call. The side is told when its answer has not ended.
func (c *Call) Close(ended bool) {
	if c.conn.forget(c) && !ended {
		_ = c.conn.send(&Cancel{Channel: c.channel})
	}
}
