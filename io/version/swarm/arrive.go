package swarm

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/version/burst"
)

// deliver hands a block to its transfer. A block that nobody asked for is
// dropped: it may have crossed with a drop.
func (n *Node) deliver(c *conn, b *block) {
	in := n.transfer(c, b.transferID)
	if in == nil {
		return
	}
	select {
	case in.blocks <- b:
	default:
		err := errors.Wrapf(errCorrupt, "more blocks of %s than asked for", b.Chunk)
		in.cancel(fault.At("receive chunk", c.name(), err))
	}
}

// deferred takes a peer's word that it wants a chunk too and still lacks it.
func (n *Node) deferred(c *conn, id transferID) {
	n.do(func(s *state) {
		in := s.transfer(c, id)
		if in == nil {
			return
		}
		select {
		case in.later <- struct{}{}:
		default:
			// It was told before and has not been taken yet.
		}
		s.add(s.core.Deferred(s.now, id.Chunk, c.name()))
	})
}

// transfer returns the transfer that a peer's message belongs to, nil if it is
// over.
func (n *Node) transfer(c *conn, id transferID) *incoming {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.transfer(c, id)
}

func (s *state) transfer(c *conn, id transferID) *incoming {
	in := s.incoming[id.Chunk]
	if in == nil || in.id != id || in.fetch.Peer != c.name() {
		return nil
	}
	return in
}

func (n *Node) lacking(c *conn, id transferID) {
	if in := n.transfer(c, id); in != nil {
		in.cancel(fault.At("ask for chunk", c.name(), errLacks))
	}
}

// finish tells the decisions how a transfer ended.
func (n *Node) finish(in *incoming, b []byte, err error) {
	d := in.fetch.Chunk.Digest
	if err == nil {
		n.cache.put(d, b)
	}
	n.do(func(s *state) {
		if s.incoming[d] == in {
			delete(s.incoming, d)
		}
		if err == nil {
			s.add(s.core.Arrived(s.now, d))
			return
		}
		if errors.Is(err, errStopped) || n.ctx.Err() != nil {
			return
		}
		why, after := classify(err)
		s.add(s.core.Failed(s.now, d, in.fetch.Peer, why, after))
	})
	if err == nil {
		n.uploads.signal()
		n.progressed()
		return
	}
	if !errors.Is(err, errStopped) && n.ctx.Err() == nil {
		n.failedTransfer(in, err)
	}
}

func classify(err error) (burst.Failure, time.Duration) {
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		return burst.FailRefused, refused.RetryAfter
	case errors.Is(err, errCorrupt):
		return burst.FailCorrupt, 0
	case errors.Is(err, errLacks):
		return burst.FailLacks, 0
	default:
		return burst.FailGone, 0
	}
}
