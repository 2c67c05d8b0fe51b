package spread

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// RequestSent is called when the request has been sent to the source. Before that the
// transfer waits for this machine's own link, which is not the source's fault.
func (s *State) RequestSent(now time.Time, d chunk.Digest) {
	c, ok := s.chunks[d]
	if !ok || !c.queued {
		return
	}
	c.queued = false
	c.startedAt = now
	c.deadline = now.Add(s.startTimeout(c.via))
}

// BytesReceived is called when bytes of a transfer came in. From then on a pause as
// long as a mean transfer takes means that it has stalled. A transfer from a peer also
// has a limit of its total time, so that it cannot go on for ever at a trickle.
func (s *State) BytesReceived(now time.Time, d chunk.Digest) []Action {
	c, ok := s.chunks[d]
	if !ok || !c.pending() {
		return nil
	}
	c.queued = false
	if !c.receiving {
		// The time in which the peer was still fetching the chunk itself does not
		// count as part of the transfer.
		c.receiving = true
		c.firstByteAt = now
	}
	p := s.transferTimeout(c.via)
	pause := max(p/timeoutFactor, s.cfg.MinTimeout)
	if c.via == ViaImport {
		// An exporter serves several regions and its own; an import that is
		// restarted crosses the region link twice.
		pause = s.startTimeout(c.via)
	}
	c.deadline = now.Add(pause)
	last := c.firstByteAt.Add(maxDurationFactor * p)
	if c.via != ViaOrigin && c.deadline.After(last) {
		c.deadline = last
	}
	s.announceEarly(now, c)
	return s.decide(now)
}

// ImportDeferred is called when the peer of an import wants the chunk too but does not
// hold it yet. That is a fault neither of the peer nor of the sides of this region that
// rank before this one. Only the first in rank waits at that peer, or the chunk would
// cross the region link once for each side that waits.
func (s *State) ImportDeferred(now time.Time, d chunk.Digest, from string) []Action {
	c, ok := s.chunks[d]
	if !ok || c.via != ViaImport || c.source != from || c.receiving || c.awaitingPeer {
		return nil
	}
	if s.isStandIn(c) {
		s.markUnavailable(now, c.positions[0].upstream())
	}
	if c.deferredSince.IsZero() {
		c.deferredSince = now
	}
	// markUnavailable cleared the suspicions, so this side may now be first by rank.
	if stepped := s.isStandIn(c); stepped || c.probing {
		s.emit(StopTransfer{Chunk: d, Peer: from, Reason: string(FailDeferred)})
		s.clearPending(c)
		if stepped {
			c.dueAt, c.unreachableSince = now, now
			c.deferrals++
			c.probing = true
		}
		s.fetchesDue = true
		return s.decide(now)
	}
	c.awaitingPeer = true
	c.deadline = now.Add(s.cfg.MinTimeout)
	return s.decide(now)
}

// FullyRequested is called when every byte of an import has been requested.
func (s *State) FullyRequested(now time.Time, d chunk.Digest) []Action {
	c, ok := s.chunks[d]
	if !ok || c.via != ViaImport {
		return nil
	}
	c.fullyRequested = true
	s.announceEarly(now, c)
	return s.decide(now)
}

// announceEarly tells the region that the chunk is held here once all of an import has
// been requested and its bytes arrive. The link share is then used up while the last bytes
// come in, and the next chunk can start. If the import fails after all, this side restarts
// it at once. While the exporter still lacks the chunk nothing is announced, since it uses
// none of the link and may never get the chunk. Nor is a transfer announced that takes
// longer than usual, as over a slow link of this side: no other side would then fetch the
// chunk.
func (s *State) announceEarly(now time.Time, c *chunkState) {
	if !c.fullyRequested || !c.receiving || c.announcedEarly || s.slowerThanUsual(now, c) {
		return
	}
	c.announcedEarly = true
	for _, pl := range c.positions {
		s.relayHeldInRegion(now, pl.version, []int{pl.index}, "")
	}
}

// TransferFailed is called when a transfer ended without the chunk. after is the
// Retry-After of the origin, zero otherwise.
func (s *State) TransferFailed(now time.Time, d chunk.Digest, from string, why Failure, after time.Duration) []Action {
	c, ok := s.chunks[d]
	if !ok || !c.pending() || c.source != from {
		return nil
	}
	s.handleFailure(now, c, why, after)
	return s.decide(now)
}
