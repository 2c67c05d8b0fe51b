package swarm

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Limits of a connection.
const (
	maxQueuedControl = 4096
	maxQueuedBlocks  = 256
	pingInterval     = 5 * time.Second
	// readTimeout is how long a connection may deliver nothing, not even a
	// ping, before it is closed. A device between the ends may have lost the
	// connection without notice, and requests to the peer would never be
	// answered.
	readTimeout  = 15 * time.Second
	writeTimeout = 30 * time.Second
)

// conn is a connection to a peer. One goroutine writes the queued messages,
// control messages before blocks, so that callers never wait for a block to be
// written or for a peer that does not read.
type conn struct {
	*link.Conn

	mu      sync.Mutex
	control []frame.Message
	blocks  []*block
	updates map[chunk.Digest]*chunkUpdate
	wake    chan struct{}
}

func newConn(c *link.Conn) *conn {
	return &conn{Conn: c, updates: map[chunk.Digest]*chunkUpdate{}, wake: make(chan struct{}, 1)}
}

func (c *conn) peerName() string { return c.Peer.VM.Name }

// queueControl queues a control message. The connection is closed if the queue
// is full, since the peer does not read.
func (c *conn) queueControl(m frame.Message) {
	c.mu.Lock()
	c.control = append(c.control, m)
	full := len(c.control) > maxQueuedControl
	c.mu.Unlock()
	c.wakeOrClose(full)
}

// queueBlock queues a block. The connection is closed if the queue is full.
func (c *conn) queueBlock(b *block) {
	c.mu.Lock()
	c.blocks = append(c.blocks, b)
	full := len(c.blocks) > maxQueuedBlocks
	c.mu.Unlock()
	c.wakeOrClose(full)
}

// queueUpdate queues an announcement, merged with a queued one of the same
// manifest. The connection is closed if the result is too large for one
// message.
func (c *conn) queueUpdate(a spread.Announce) {
	c.mu.Lock()
	n, ok := c.updates[a.Manifest]
	if !ok {
		n = &chunkUpdate{Manifest: a.Manifest}
		c.updates[a.Manifest] = n
	}
	n.Have = append(n.Have, a.Have...)
	n.HeldInRegion = append(n.HeldInRegion, a.HeldInRegion...)
	n.Retrying = append(n.Retrying, a.Retrying...)
	full := len(n.Have) > maxIndexes || len(n.HeldInRegion) > maxIndexes || len(n.Retrying) > maxIndexes
	c.mu.Unlock()
	c.wakeOrClose(full)
}

// wakeOrClose wakes writeLoop, or closes the connection if a queue is full.
func (c *conn) wakeOrClose(full bool) {
	if full {
		c.Close()
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// dequeue returns all queued control messages and updates, or one block if
// there are none.
func (c *conn) dequeue() ([]frame.Message, *block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []frame.Message
	for id, n := range c.updates {
		out = append(out, n)
		delete(c.updates, id)
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

// writeLoop writes queued messages, and a ping when there are none for
// pingInterval, until ctx ends or the connection fails.
func (n *Node) writeLoop(ctx context.Context, c *conn) error {
	for {
		msgs, b := c.dequeue()
		if b != nil {
			if err := n.shapeBlock(ctx, c, len(b.Data)); err != nil {
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
			case <-n.Clock.After(pingInterval):
				msgs = append(msgs, &ping{})
			}
		}
		if err := n.writeMessages(c, msgs); err != nil {
			return err
		}
	}
}

// writeMessages writes messages with a common deadline.
func (n *Node) writeMessages(c *conn, msgs []frame.Message) error {
	if err := c.SetWriteDeadline(n.Clock.Now().Add(writeTimeout)); err != nil {
		return operr.Wrap("send", c.peerName(), err)
	}
	for _, m := range msgs {
		if err := c.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// shapeBlock waits for the Shaper, if one is set.
func (n *Node) shapeBlock(ctx context.Context, c *conn, size int) error {
	if n.Shaper == nil {
		return nil
	}
	return n.Shaper.Shape(ctx, n.Self.VM, c.Peer.VM, size)
}

// readLoop reads and handles messages until the connection fails.
func (n *Node) readLoop(c *conn) error {
	for {
		if err := c.SetReadDeadline(n.Clock.Now().Add(readTimeout)); err != nil {
			return operr.Wrap("receive", c.peerName(), err)
		}
		m, err := c.Receive()
		if err != nil {
			return err
		}
		if err := n.handleMessage(c, m); err != nil {
			return err
		}
	}
}

// handleMessage handles one message of a peer.
func (n *Node) handleMessage(c *conn, m frame.Message) error {
	switch m := m.(type) {
	case *chunkSets:
		n.withState(func(s *state) {
			s.addActions(s.distribution.ChunkSetsReceived(s.now, c.peerName(), m.Manifest, m.Have, m.HeldInRegion))
		})
	case *chunkUpdate:
		n.withState(func(s *state) {
			s.addActions(s.distribution.AnnounceReceived(s.now, c.peerName(), m.Manifest, m.Have, m.HeldInRegion))
			s.addActions(s.distribution.RetriesReported(s.now, c.peerName(), m.Manifest, m.Retrying))
		})
	case *downSides:
		n.withState(func(s *state) { s.addActions(s.distribution.SidesReportedDown(s.now, c.peerName(), m.Sides)) })
	case *offer:
		n.withState(func(s *state) { s.addActions(s.distribution.OfferReceived(s.now, c.peerName())) })
	case *refuseOffer:
		n.withState(func(s *state) { s.addActions(s.distribution.OfferRefused(s.now, c.peerName())) })
	case *acceptOffers:
		n.withState(func(s *state) { s.addActions(s.distribution.PeerReady(s.now, c.peerName())) })
	case *blockRequest:
		n.uploads.handleRequest(c, m)
	case *cancelTransfer:
		n.uploads.cancel(c, m.transferID)
	case *block:
		n.handleBlock(c, m)
	case *refuseRequest:
		n.handleRefusal(c, m.transferID)
	case *deferRequest:
		n.handleDeferral(c, m.transferID)
	case *manifestRequest:
		n.serveManifest(c, m.Manifest)
	case *manifestPart:
		n.addManifestPart(c, m)
	case *ping:
	default:
		return operr.Wrap("receive", c.peerName(), errors.Newf("unexpected message %s", m.Kind()))
	}
	return nil
}
