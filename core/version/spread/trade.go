package spread

import (
	"slices"
	"time"
)

// Limits of offers and refusals.
const (
	// refusalLifetime bounds how long a refused offer is respected: if the AcceptOffers
	// was lost, the two sides would otherwise never trade again.
	refusalLifetime = time.Second
	// acceptsPerFreeSlot is how many peers are told of one free download slot.
	acceptsPerFreeSlot = 2
)

// sendOffers fills the free upload slots. Each goes to a neighbour that lacks
// something this side holds: of two chosen at random, the one that holds less.
func (s *State) sendOffers(now time.Time) {
	if s.cfg.OriginOnly {
		return
	}
	if s.uploads >= s.uploadSlots {
		return
	}
	var open []*peer
	for _, p := range s.sortedPeers {
		if s.canOffer(now, p) {
			open = append(open, p)
		}
	}
	for s.uploads < s.uploadSlots && len(open) > 0 {
		k := s.pickPeer(open)
		p := open[k]
		if p.uploads+1 >= s.slotsPerPeer() {
			open = append(open[:k], open[k+1:]...)
		}
		p.uploads++
		p.uploadDeadline = now.Add(s.startTimeout(ViaTrade))
		s.uploads++
		s.emit(Offer{Peer: p.Name})
	}
}

// slotsPerPeer is how many upload slots one peer may have: usually one, but a side
// with few neighbours would then leave slots unused and its link idle.
func (s *State) slotsPerPeer() int {
	near := 0
	for _, p := range s.sortedPeers {
		if s.near(p) {
			near++
		}
	}
	return max(1, (s.uploadSlots+near-1)/max(near, 1))
}

// releaseSlot frees one upload slot of a peer, if it has any.
func (s *State) releaseSlot(p *peer) {
	if p.uploads > 0 {
		p.uploads--
		s.uploads--
	}
}

func (s *State) releaseSlots(p *peer) {
	s.uploads -= p.uploads
	p.uploads = 0
}

// canOffer reports whether p is a neighbour that lacks a chunk held here, has an upload slot
// left and neither refuses offers nor stalled recently.
func (s *State) canOffer(now time.Time, p *peer) bool {
	if !s.near(p) || (p.uploads > 0 && p.uploads >= s.slotsPerPeer()) || (p.lastFaultStalled && now.Before(p.avoidUntil)) {
		return false
	}
	if p.refusing && now.Before(p.refusingUntil) {
		return false
	}
	for _, v := range s.versions {
		if s.ordered && v.keepOnly {
			continue
		}
		m, ok := p.heldChunks[v.id]
		if ok && v.heldHere.countNotIn(m) > 0 {
			return true
		}
	}
	return false
}

// pickPeer returns the index of the peer that holds less of two chosen at random.
func (s *State) pickPeer(open []*peer) int {
	a, b := s.rng.IntN(len(open)), s.rng.IntN(len(open))
	if s.heldCount(open[b]) < s.heldCount(open[a]) {
		return b
	}
	return a
}

func (s *State) heldCount(p *peer) int {
	n := 0
	for _, v := range s.versions {
		n += p.heldChunks[v.id].Count()
	}
	return n
}

// OfferReceived handles a peer's offer of one chunk: of the chunks the peer holds, this
// side requests the one that the fewest neighbours hold, at random among equals.
func (s *State) OfferReceived(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok || !s.near(p) {
		return nil
	}
	c := s.pickChunk(now, p)
	if c == nil || s.inboundTrades >= s.cfg.DownloadSlots {
		p.owedAcceptOffers = true
		s.emit(RefuseOffer{Peer: name})
		return s.decide(now)
	}
	p.owedAcceptOffers = false
	s.beginTransfer(now, c, Fetch{Chunk: c.ref, Via: ViaTrade, Peer: name, Reason: "rarest"})
	return s.decide(now)
}

// pickChunk returns the chunk to request from p, nil if there is none or if p is avoided while
// another neighbour can be used.
func (s *State) pickChunk(now time.Time, p *peer) *chunkState {
	if now.Before(p.avoidUntil) && s.anyNeighbourUsable(now) {
		return nil
	}
	var best *chunkState
	var copies uint16
	ties := 0
	for _, v := range s.tradeOrder() {
		if best != nil && s.ordered {
			break
		}
		m := p.heldChunks[v.id]
		for i, c := range v.chunks {
			if c.held || c.pending() || !m.Has(i) {
				continue
			}
			n := v.neighbourCopies[i]
			if best != nil && n > copies {
				continue
			}
			if best == nil || n < copies {
				best, copies, ties = c, n, 1
				continue
			}
			ties++
			if s.rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}

// tradeOrder lists the versions of which chunks are requested from neighbours.
func (s *State) tradeOrder() []*version {
	if s.ordered {
		return s.orderedVersions()
	}
	return slices.DeleteFunc(slices.Clone(s.versions), func(v *version) bool { return v.keepOnly })
}

// anyNeighbourUsable reports whether some neighbour is not avoided now.
func (s *State) anyNeighbourUsable(now time.Time) bool {
	for _, p := range s.sortedPeers {
		if s.near(p) && !now.Before(p.avoidUntil) {
			return true
		}
	}
	return false
}

// OfferRefused is called when a peer refused an offer.
func (s *State) OfferRefused(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	s.releaseSlot(p)
	p.refusing = true
	p.refusingUntil = now.Add(refusalLifetime)
	return s.decide(now)
}

// PeerReady is called when a peer accepts offers again.
func (s *State) PeerReady(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	p.refusing = false
	return s.decide(now)
}

// BlockSent is called when a block of the chunk that a peer requested has been sent; it
// extends the time that the peer has to request more.
func (s *State) BlockSent(now time.Time, name string) {
	if p, ok := s.peers[name]; ok && p.uploads > 0 {
		p.uploadDeadline = now.Add(s.startTimeout(ViaTrade))
	}
}

// UploadEnded is called when the chunk that a peer requested on an offer has been sent, or
// will not be.
//
// A peer gives up a transfer that makes no progress. If this side's link is slow, chunks
// that it sends to several peers at a time all come to nothing, so it then sends fewer.
func (s *State) UploadEnded(now time.Time, name string, sent bool) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	switch {
	case p.uploads == 0:
		// The chunk was not requested on an offer.
	case sent:
		s.uploadSlots = min(s.uploadSlots+1, s.cfg.UploadSlots)
	default:
		s.uploadSlots = max(s.uploadSlots/2, 1)
	}
	s.releaseSlot(p)
	return s.decide(now)
}

// clearRefusals forgets refusals once this side holds a new chunk.
func (s *State) clearRefusals() {
	for _, p := range s.peers {
		p.refusing = false
	}
}

// sendAcceptOffers tells some of the peers whose offers were refused that they may offer
// again.
func (s *State) sendAcceptOffers() { s.sendAcceptOffersUpTo(acceptsPerFreeSlot) }

// sendAcceptOffersToAll tells every peer whose refused offer could now be accepted, in case
// the ones that sendAcceptOffers chose have nothing to offer any more.
func (s *State) sendAcceptOffersToAll() { s.sendAcceptOffersUpTo(len(s.peers)) }

func (s *State) sendAcceptOffersUpTo(n int) {
	if s.inboundTrades >= s.cfg.DownloadSlots {
		return
	}
	var owedAcceptOffers []*peer
	for _, p := range s.sortedPeers {
		if p.owedAcceptOffers && s.near(p) && s.hasMissingChunk(p) {
			owedAcceptOffers = append(owedAcceptOffers, p)
		}
	}
	s.rng.Shuffle(len(owedAcceptOffers), func(i, j int) { owedAcceptOffers[i], owedAcceptOffers[j] = owedAcceptOffers[j], owedAcceptOffers[i] })
	for _, p := range owedAcceptOffers[:min(n, len(owedAcceptOffers))] {
		p.owedAcceptOffers = false
		s.emit(AcceptOffers{Peer: p.Name})
	}
}

// hasMissingChunk reports whether p holds a chunk that is neither held here nor in
// transfer.
func (s *State) hasMissingChunk(p *peer) bool {
	for _, v := range s.versions {
		for i := range p.heldChunks[v.id] {
			if p.heldChunks[v.id].byteAt(i)&^v.heldHere.byteAt(i)&^v.pending.byteAt(i) != 0 {
				return true
			}
		}
	}
	return false
}
