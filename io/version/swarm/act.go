package swarm

import (
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
)

// act carries out one action; it is called with the state locked.
func (n *Node) act(s *state, a burst.Action) {
	switch a := a.(type) {
	case burst.Fetch:
		n.decide("fetch", a.Chunk.Digest, choiceOf(a.Peer), string(a.Via), a.Reason)
		n.fetch(s, a)
	case burst.Stop:
		n.stopTransfer(s, a)
	case burst.Discard:
		n.decide("discard", a.Chunk, "", "", "no longer wanted")
		n.discard(s, a.Chunk)
	case burst.Connect:
		n.dial(s, a.Peer)
	case burst.Disconnect:
		n.toPeer(s, a.Peer, func(c *conn) { c.Close() })
	case burst.Greet:
		n.toPeer(s, a.Peer, func(c *conn) { c.send(&maps{Manifest: a.Manifest, Have: a.Have, Seen: a.Seen}) })
	case burst.Announce:
		n.toPeer(s, a.Peer, func(c *conn) { c.tell(a) })
	case burst.Gone:
		n.toPeer(s, a.Peer, func(c *conn) { c.send(&gone{Sides: a.Sides[:min(len(a.Sides), maxGone)]}) })
	case burst.Offer:
		n.toPeer(s, a.Peer, func(c *conn) { c.send(&offer{}) })
	case burst.Pass:
		n.toPeer(s, a.Peer, func(c *conn) { c.send(&pass{}) })
	case burst.Ready:
		n.toPeer(s, a.Peer, func(c *conn) { c.send(&ready{}) })
	}
}

func (n *Node) toPeer(s *state, name string, f func(c *conn)) {
	if c, ok := s.conns[name]; ok {
		f(c)
	}
}

func (n *Node) stopTransfer(s *state, a burst.Stop) {
	in, ok := s.incoming[a.Chunk]
	if !ok {
		return
	}
	n.decide("stop", a.Chunk, choiceOf(a.Peer), "", a.Reason)
	if a.Reason == string(burst.FailStalled) {
		n.counters.failure(burst.FailStalled)
		n.warn("transfer chunk", choiceOf(a.Peer), "stalled", a.Chunk)
	}
	delete(s.incoming, a.Chunk)
	in.cancel(errStopped)
}

func (n *Node) discard(s *state, d chunk.Digest) {
	n.cache.drop(d)
	n.spawn(s, func() {
		// A version that is wanted again may have fetched the chunk anew
		// since; it must then stay.
		if n.wanted(d) {
			return
		}
		if err := n.Staging.Delete(n.ctx, d); err != nil && n.ctx.Err() == nil {
			n.report("discard chunk", "engine", err)
		}
	})
}

func choiceOf(peer string) string {
	if peer == "" {
		return "origin"
	}
	return peer
}

func (n *Node) decide(action string, d chunk.Digest, choice, outcome, reason string) {
	n.Log.Decide(trail.Decision{
		Area:     trail.AreaTransfer,
		Action:   action,
		Subject:  string(d),
		Choice:   choice,
		Outcome:  outcome,
		Reason:   reason,
		Revision: n.Self.Revision.Load(),
	})
}
