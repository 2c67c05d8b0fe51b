package swarm

import (
	"strconv"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
)

// perform carries out one action of the distribution. The caller holds n.mu.
func (n *Node) perform(s *state, a spread.Action) {
	switch a := a.(type) {
	case spread.Fetch:
		n.logDecision("fetch", a.Chunk.Digest, peerOrOrigin(a.Peer), string(a.Via), a.Reason)
		n.startTransfer(s, a)
	case spread.StopTransfer:
		n.stopTransfer(s, a)
	case spread.DiscardChunk:
		s.discarded++
		n.discardChunk(s, a.Chunk)
	case spread.Connect:
		n.dial(s, a.Peer)
	case spread.Disconnect:
		n.withConn(s, a.Peer, func(c *conn) { c.Close() })
	case spread.SendChunkSets:
		n.withConn(s, a.Peer, func(c *conn) {
			c.queueControl(&chunkSets{Manifest: a.Manifest, Have: a.Have, HeldInRegion: a.HeldInRegion})
		})
	case spread.Announce:
		n.withConn(s, a.Peer, func(c *conn) { c.queueUpdate(a) })
	case spread.ReportDown:
		n.withConn(s, a.Peer, func(c *conn) { c.queueControl(&downSides{Sides: a.Sides[:min(len(a.Sides), maxDownSides)]}) })
	case spread.Offer:
		n.withConn(s, a.Peer, func(c *conn) { c.queueControl(&offer{}) })
	case spread.RefuseOffer:
		n.withConn(s, a.Peer, func(c *conn) { c.queueControl(&refuseOffer{}) })
	case spread.AcceptOffers:
		n.withConn(s, a.Peer, func(c *conn) { c.queueControl(&acceptOffers{}) })
	}
}

// logDiscarded writes one entry for the chunks discarded since the last one: a version
// that is no longer wanted has many. The caller holds n.mu.
func (n *Node) logDiscarded(s *state) {
	if s.discarded == 0 {
		return
	}
	n.logDecision("discard", "", "", "", strconv.Itoa(s.discarded)+" chunks no longer wanted")
	s.discarded = 0
}

// withConn calls f with the connection to a peer, if there is one. The caller
// holds n.mu.
func (n *Node) withConn(s *state, name string, f func(c *conn)) {
	if c, ok := s.conns[name]; ok {
		f(c)
	}
}

// stopTransfer cancels the transfer of a chunk. The caller holds n.mu.
func (n *Node) stopTransfer(s *state, a spread.StopTransfer) {
	in, ok := s.incoming[a.Chunk]
	if !ok {
		return
	}
	n.logDecision("stop", a.Chunk, peerOrOrigin(a.Peer), "", a.Reason)
	if a.Reason == string(spread.FailStalled) {
		n.counters.failure(spread.FailStalled)
		n.logWarning("transfer chunk", peerOrOrigin(a.Peer), "stalled", a.Chunk)
	}
	delete(s.incoming, a.Chunk)
	in.cancel(errStopped)
}

// discardChunk deletes a chunk from the cache and, in the background, from the
// staging area. The caller holds n.mu.
func (n *Node) discardChunk(s *state, d chunk.Digest) {
	n.cache.discard(d)
	n.spawn(s, func() {
		// A version that is wanted again may have fetched the chunk again in
		// the meantime; it must then be kept.
		if n.isWantedChunk(d) {
			return
		}
		if err := n.Staging.Delete(n.ctx, d); err != nil && n.ctx.Err() == nil {
			n.logError("discard chunk", "engine", err)
		}
	})
}

// peerOrOrigin returns the name to log for the sender of a chunk.
func peerOrOrigin(peer string) string {
	if peer == "" {
		return "origin"
	}
	return peer
}

// logDecision writes one entry to the decision log.
func (n *Node) logDecision(action string, d chunk.Digest, choice, outcome, reason string) {
	n.Log.Record(trail.Decision{
		Area:     trail.AreaTransfer,
		Action:   action,
		Subject:  string(d),
		Choice:   choice,
		Outcome:  outcome,
		Reason:   reason,
		Revision: n.Self.Revision.Load(),
	})
}
