package swarm

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Bounds of a connection.
const (
	maxControl = 4096
	maxBlocks  = 256
	pingEvery  = 5 * time.Second
	// silence is how long a connection may bring nothing before it is
	// closed: something between the ends may have lost track of it, and the
	// peer would otherwise be waited for in vain.
	silence      = 15 * time.Second
	writeTimeout = 30 * time.Second
)

// conn is one connection to a peer side. Messages are queued and written by
// one goroutine, control before blocks, so that a decision never waits for
// bulk or for a peer that does not read.
type conn struct {
	*link.Conn

	mu      sync.Mutex
	control []frame.Message
	blocks  []*block
	news    map[chunk.Digest]*news
	wake    chan struct{}
}

func newConn(c *link.Conn) *conn {
	return &conn{Conn: c, news: map[chunk.Digest]*news{}, wake: make(chan struct{}, 1)}
}

func (c *conn) name() string { return c.Peer.VM.Name }

// send queues a control message; a peer that lets the queue fill is cut off.
func (c *conn) send(m frame.Message) {
	c.mu.Lock()
	c.control = append(c.control, m)
	full := len(c.control) > maxControl
	c.mu.Unlock()
	c.signal(full)
}

// sendBlock queues a block.
func (c *conn) sendBlock(b *block) {
	c.mu.Lock()
	c.blocks = append(c.blocks, b)
	full := len(c.blocks) > maxBlocks
	c.mu.Unlock()
	c.signal(full)
}

// tell queues news, joined with what is still queued of the same manifest.
func (c *conn) tell(a burst.Announce) {
	c.mu.Lock()
	n, ok := c.news[a.Manifest]
	if !ok {
		n = &news{Manifest: a.Manifest}
		c.news[a.Manifest] = n
	}
	n.Have = append(n.Have, a.Have...)
	n.Seen = append(n.Seen, a.Seen...)
	n.Tried = append(n.Tried, a.Tried...)
	full := len(n.Have) > maxIndexes || len(n.Seen) > maxIndexes || len(n.Tried) > maxIndexes
	c.mu.Unlock()
	c.signal(full)
}

func (c *conn) signal(full bool) {
	if full {
		c.Close()
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take returns the queued control messages, or one block when there are none.
func (c *conn) take() ([]frame.Message, *block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []frame.Message
	for id, n := range c.news {
		out = append(out, n)
		delete(c.news, id)
	}
	out = append(out, c.control...)
	c.control = nil
	if len(out) > 0 || len(c.blocks) == 0 {
		return out, nil
	}
	b := c.blocks[0]
	c.blocks = c.blocks[1:]
	return nil, b
}

// write writes queued messages until ctx ends or the connection fails.
func (n *Node) write(ctx context.Context, c *conn) error {
	for {
		msgs, b := c.take()
		if b != nil {
			if err := n.cross(ctx, c, len(b.Data)); err != nil {
				return err
			}
			msgs = append(msgs, b)
		}
		if len(msgs) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.wake:
				continue
			case <-n.Clock.After(pingEvery):
				msgs = append(msgs, &ping{})
			}
		}
		if err := n.writeAll(c, msgs); err != nil {
			return err
		}
	}
}

func (n *Node) writeAll(c *conn, msgs []frame.Message) error {
	if err := c.SetWriteDeadline(n.Clock.Now().Add(writeTimeout)); err != nil {
		return fault.At("send", c.name(), err)
	}
	for _, m := range msgs {
		if err := c.Send(m); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) cross(ctx context.Context, c *conn, size int) error {
	if n.Shaper == nil {
		return nil
	}
	return n.Shaper.Shape(ctx, n.Self.VM, c.Peer.VM, size)
}

// read hands each message to the node until the connection ends.
func (n *Node) read(c *conn) error {
	for {
		if err := c.SetReadDeadline(n.Clock.Now().Add(silence)); err != nil {
			return fault.At("receive", c.name(), err)
		}
		m, err := c.Receive()
		if err != nil {
			return err
		}
		if err := n.take(c, m); err != nil {
			return err
		}
	}
}

func (n *Node) take(c *conn, m frame.Message) error {
	switch m := m.(type) {
	case *maps:
		n.do(func(s *state) { s.add(s.core.Greeted(s.now, c.name(), m.Manifest, m.Have, m.Seen)) })
	case *news:
		n.do(func(s *state) {
			s.add(s.core.Announced(s.now, c.name(), m.Manifest, m.Have, m.Seen))
			s.add(s.core.Tried(s.now, c.name(), m.Manifest, m.Tried))
		})
	case *gone:
		n.do(func(s *state) { s.add(s.core.SidesGone(s.now, c.name(), m.Sides)) })
	case *offer:
		n.do(func(s *state) { s.add(s.core.Offered(s.now, c.name())) })
	case *pass:
		n.do(func(s *state) { s.add(s.core.Passed(s.now, c.name())) })
	case *ready:
		n.do(func(s *state) { s.add(s.core.Readied(s.now, c.name())) })
	case *want:
		n.uploads.request(c, m)
	case *drop:
		n.uploads.cancel(c, m.transferID)
	case *block:
		n.deliver(c, m)
	case *lacks:
		n.lacking(c, m.transferID)
	case *later:
		n.deferred(c, m.transferID)
	case *askManifest:
		n.serveManifest(c, m.Manifest)
	case *part:
		n.takePart(c, m)
	case *ping:
	default:
		return fault.At("receive", c.name(), errors.Newf("unexpected message %s", m.Kind()))
	}
	return nil
}
