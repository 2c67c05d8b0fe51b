package spread

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Failure says why a transfer failed.
type Failure string

// The causes of a failed transfer.
const (
	FailStalled      Failure = "stalled"
	FailCorrupt      Failure = "corrupt"
	FailNotHeld      Failure = "lacks"
	FailRefused      Failure = "refused"
	FailDisconnected Failure = "gone"
	// FailDeferred is a timed-out wait for a peer that does not hold the chunk yet.
	FailDeferred Failure = "lacksAsYet"
	// FailQueueTimeout is a request that waited too long for this side's own link.
	FailQueueTimeout Failure = "queuedTooLong"
)

// Tick must be called a few times a second: it ends transfers that timed out,
// starts overdue ones and reconnects.
func (s *State) Tick(now time.Time) []Action {
	s.expireTransfers(now)
	s.announceRetries(now)
	s.expireSuspicions(now)
	s.connect(now)
	s.sendAcceptOffersToAll()
	s.fetchesDue = true
	return s.decide(now)
}

// PeerConnected is called when a connection to a side is open.
func (s *State) PeerConnected(now time.Time, m Member) []Action {
	if len(s.peers) >= MaxPeers && s.peers[m.Name] == nil {
		return nil
	}
	p := s.peer(m.Name, m.Region)
	p.connected = true
	p.dialFails = 0
	s.clearSuspicion(m.Name)
	s.sendChunkSets(p)
	return s.decide(now)
}

// PeerDisconnected is called when the last connection to a side has closed. Its
// transfers end, and the chunks it announced are forgotten.
func (s *State) PeerDisconnected(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	p.connected = false
	p.refusing, p.owedAcceptOffers = false, false
	s.releaseSlots(p)
	for id := range p.heldChunks {
		s.forgetChunkSets(p, id)
	}
	for _, c := range s.pendingChunks() {
		if c.source == name {
			s.handleFailure(now, c, FailDisconnected, 0)
		}
	}
	// A new connection shows at once whether the side still runs.
	s.connect(now)
	return s.decide(now)
}

// ChunkSetsReceived handles the complete chunk sets of a peer for one version.
func (s *State) ChunkSetsReceived(now time.Time, name string, id chunk.Digest, have, heldInRegion Bits) []Action {
	p, ok := s.peers[name]
	if !ok || (p.heldChunks[id] == nil && len(p.heldChunks) >= maxVersionsPerPeer) {
		return nil
	}
	v := s.version(id)
	if v == nil {
		p.storeEarly(id, have.indexes(), heldInRegion.indexes())
		return s.decide(now)
	}
	return s.AnnounceReceived(now, name, id, have.indexes(), heldInRegion.indexes())
}

// AnnounceReceived handles a peer's announcement of chunks that it holds (have) and of
// chunks that it knows to be held in the region (heldInRegion).
func (s *State) AnnounceReceived(now time.Time, name string, id chunk.Digest, have, heldInRegion []int) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	v := s.version(id)
	if v == nil {
		if p.heldChunks[id] != nil || len(p.heldChunks) < maxVersionsPerPeer {
			p.storeEarly(id, have, heldInRegion)
		}
		return nil
	}
	m := p.heldChunks[id]
	if len(m) < len(v.heldHere) {
		grown := NewBits(len(v.chunks))
		copy(grown, m)
		m = grown
		p.heldChunks[id] = m
	}
	for _, i := range have {
		if i < 0 || i >= len(v.chunks) || m.Has(i) {
			continue
		}
		m.Set(i)
		if s.near(p) {
			v.neighbourCopies[i]++
		}
		s.clearSuspicion(name)
	}
	s.relayHeldInRegion(now, v, append(have, heldInRegion...), name)
	return s.decide(now)
}

// storeEarly keeps a peer's announcement for a version that this side does not
// know yet. Peers announce each chunk once per connection. If the announcement were
// dropped, the peer's offers would be refused as long as the connection lasts, and
// the chunk would in the end be fetched from the origin again.
func (p *peer) storeEarly(id chunk.Digest, have, heldInRegion []int) {
	p.heldChunks[id] = p.heldChunks[id].withIndexes(have)
	p.earlyInRegion[id] = p.earlyInRegion[id].withIndexes(heldInRegion)
}

// applyEarly applies what peers of the region announced about a version before
// this side knew it.
func (s *State) applyEarly(v *version) {
	for _, p := range s.sortedPeers {
		if p.Region != s.cfg.Self.Region {
			continue
		}
		for _, bits := range []Bits{p.heldChunks[v.id], p.earlyInRegion[v.id]} {
			for i := range v.chunks {
				if bits.Has(i) {
					v.heldInRegion.Set(i)
				}
			}
		}
		delete(p.earlyInRegion, v.id)
	}
}

// relayHeldInRegion tells the neighbours which chunks the region holds, each chunk
// once. From this every side knows which chunks are due next on the region link,
// without shared state.
func (s *State) relayHeldInRegion(now time.Time, v *version, indexes []int, from string) {
	var news []int
	for _, i := range indexes {
		if i < 0 || i >= len(v.chunks) || v.heldInRegion.Has(i) {
			continue
		}
		v.heldInRegion.Set(i)
		s.recordSupply(now, v.chunks[i], v.upstream[i])
		s.noteReceived(now, v, v.upstream[i])
		s.markAvailable(now, v.upstream[i])
		news = append(news, i)
	}
	if len(news) == 0 {
		return
	}
	s.fetchesDue = true
	for _, p := range s.sortedPeers {
		if !s.near(p) || p.Name == from {
			continue
		}
		if heldInRegion := without(news, p.heldChunks[v.id]); len(heldInRegion) > 0 {
			s.emit(Announce{Peer: p.Name, Manifest: v.id, HeldInRegion: heldInRegion})
		}
	}
}

// ChunkStaged is called when a chunk is verified and staged. It is also accepted for
// chunks without a transfer, such as those found in the staging area.
func (s *State) ChunkStaged(now time.Time, d chunk.Digest) []Action {
	c, ok := s.chunks[d]
	if !ok {
		return []Action{DiscardChunk{Chunk: d}}
	}
	if c.held {
		return nil
	}
	if c.pending() {
		if c.via == ViaOrigin {
			s.noteOriginResult(now, true)
		}
		s.recordDuration(c, now)
		s.resetFaults(c.source)
		s.clearPending(c)
	}
	c.held = true
	for _, pl := range c.positions {
		if !pl.version.heldInRegion.Has(pl.index) {
			s.recordSupply(now, c, pl.upstream())
			// A chunk that the region held already has come from a neighbour.
			s.noteReceived(now, pl.version, pl.upstream())
		}
		pl.version.heldHere.Set(pl.index)
		pl.version.heldInRegion.Set(pl.index)
		s.markAvailable(now, pl.upstream())
		s.announceHeld(pl)
	}
	s.fetchesDue = true
	s.clearRefusals()
	s.sendAcceptOffers()
	return s.decide(now)
}

// announceHeld tells the neighbours that lack a chunk that this side holds it.
func (s *State) announceHeld(pl position) {
	for _, p := range s.sortedPeers {
		if s.near(p) && !p.heldChunks[pl.version.id].Has(pl.index) {
			s.emit(Announce{Peer: p.Name, Manifest: pl.version.id, Have: []int{pl.index}})
		}
	}
}

// without returns the indexes that are not in held.
func without(indexes []int, held Bits) []int {
	var out []int
	for _, i := range indexes {
		if !held.Has(i) {
			out = append(out, i)
		}
	}
	return out
}

func (s *State) version(id chunk.Digest) *version {
	for _, v := range s.versions {
		if v.id == id {
			return v
		}
	}
	return nil
}

// near reports whether p is a connected side of this side's region.
func (s *State) near(p *peer) bool {
	return p.connected && p.Region == s.cfg.Self.Region
}

// forgetChunkSets drops what peer p announced of version id.
func (s *State) forgetChunkSets(p *peer, id chunk.Digest) {
	delete(p.earlyInRegion, id)
	m, ok := p.heldChunks[id]
	if !ok {
		return
	}
	delete(p.heldChunks, id)
	v := s.version(id)
	if v == nil {
		return
	}
	for i := range v.chunks {
		if m.Has(i) && v.neighbourCopies[i] > 0 && p.Region == s.cfg.Self.Region {
			v.neighbourCopies[i]--
		}
	}
}

// maxVersionsPerPeer bounds the number of versions for which a peer's chunk sets are kept.
const maxVersionsPerPeer = 16
