package swarm

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/spread"
)

// handleBlock passes a received block to its transfer. A block of no current
// transfer is ignored: the peer may have sent it before it received a
// cancelTransfer.
func (n *Node) handleBlock(c *conn, b *block) {
	in := n.transferOf(c, b.transferID)
	if in == nil {
		return
	}
	select {
	case in.blocks <- b:
	default:
		err := errors.Wrapf(errCorrupt, "more blocks of %s than requested", b.Chunk)
		in.cancel(operr.Wrap("receive chunk", c.peerName(), err))
	}
}

// handleDeferral handles a peer's message that it wants the chunk too but does
// not hold it yet.
func (n *Node) handleDeferral(c *conn, id transferID) {
	n.withState(func(s *state) {
		in := s.transferOf(c, id)
		if in == nil {
			return
		}
		select {
		case in.deferred <- struct{}{}:
		default:
			// An earlier deferral is still waiting to be read by the transfer.
		}
		s.addActions(s.distribution.ImportDeferred(s.now, id.Chunk, c.peerName()))
	})
}

// transferOf returns the transfer that a peer's message belongs to, or nil if
// it has ended.
func (n *Node) transferOf(c *conn, id transferID) *incoming {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.transferOf(c, id)
}

// transferOf does the same with the state already locked.
func (s *state) transferOf(c *conn, id transferID) *incoming {
	in := s.incoming[id.Chunk]
	if in == nil || in.id != id || in.fetch.Peer != c.peerName() {
		return nil
	}
	return in
}

// handleRefusal ends a transfer whose request the peer refused.
func (n *Node) handleRefusal(c *conn, id transferID) {
	if in := n.transferOf(c, id); in != nil {
		in.cancel(operr.Wrap("ask for chunk", c.peerName(), errNotHeld))
	}
}

// finishTransfer reports the outcome of a transfer to the distribution, the
// cache and the log.
func (n *Node) finishTransfer(in *incoming, b []byte, err error) {
	d := in.fetch.Chunk.Digest
	if err == nil {
		n.cache.put(d, b)
	}
	n.withState(func(s *state) {
		if s.incoming[d] == in {
			delete(s.incoming, d)
		}
		if err == nil {
			s.addActions(s.distribution.ChunkStaged(s.now, d))
			return
		}
		if errors.Is(err, errStopped) || n.ctx.Err() != nil {
			return
		}
		why, after := classifyFailure(err)
		s.addActions(s.distribution.TransferFailed(s.now, d, in.fetch.Peer, why, after))
	})
	if err == nil {
		n.uploads.signal()
		n.notifyProgress()
		return
	}
	if !errors.Is(err, errStopped) && n.ctx.Err() == nil {
		n.logFailedTransfer(in, err)
	}
}

// classifyFailure maps an error to a failure of the distribution and the delay
// that the server asked for, zero if none.
func classifyFailure(err error) (spread.Failure, time.Duration) {
	var status *statusError
	switch {
	case errors.As(err, &status):
		return spread.FailRefused, status.RetryAfter
	case errors.Is(err, errCorrupt):
		return spread.FailCorrupt, 0
	case errors.Is(err, errNotHeld):
		return spread.FailNotHeld, 0
	default:
		return spread.FailDisconnected, 0
	}
}
