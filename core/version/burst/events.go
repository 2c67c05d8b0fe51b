package burst

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Failure says why a transfer failed.
type Failure string

// The ways in which a transfer fails.
const (
	FailStalled Failure = "stalled"
	FailCorrupt Failure = "corrupt"
	FailLacks   Failure = "lacks"
	FailRefused Failure = "refused"
	FailGone    Failure = "gone"
	// FailLater is the end of a wait for a peer that lacked the chunk itself.
	FailLater Failure = "lacksAsYet"
	// FailQueued is the end of a wait for this side's own link.
	FailQueued Failure = "queuedTooLong"
)

// Tick is to be called a few times a second: it ends stalled transfers,
// starts overdue ones and dials again.
func (s *State) Tick(now time.Time) []Action {
	s.expire(now)
	s.tellTried(now)
	s.forgive(now)
	s.connect(now)
	s.wake()
	s.stale = true
	return s.settle(now)
}

// Connected tells that a connection to a side is open.
func (s *State) Connected(now time.Time, m Member) []Action {
	if len(s.peers) >= MaxPeers && s.peers[m.Name] == nil {
		return nil
	}
	p := s.peer(m.Name, m.Region)
	p.connected = true
	p.dialFails = 0
	s.trust(m.Name)
	s.greet(p)
	return s.settle(now)
}

// Disconnected tells that no connection to a side is open any more. Its
// transfers are over, and what it offered is forgotten.
func (s *State) Disconnected(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	p.connected = false
	p.full, p.owed = false, false
	s.releaseAll(p)
	for id := range p.maps {
		s.forgetMap(p, id)
	}
	for _, it := range s.pendingItems() {
		if it.from == name {
			s.failed(now, it, FailGone, 0)
		}
	}
	// Whether the side has ended shows at once by a new connection.
	s.connect(now)
	return s.settle(now)
}

// Greeted takes the whole maps of a peer for one version.
func (s *State) Greeted(now time.Time, name string, id chunk.Digest, have, seen Bits) []Action {
	p, ok := s.peers[name]
	if !ok || (p.maps[id] == nil && len(p.maps) >= maxMaps) {
		return nil
	}
	st := s.set(id)
	if st == nil {
		p.keepEarly(id, have.members(), seen.members())
		return s.settle(now)
	}
	return s.Announced(now, name, id, have.members(), seen.members())
}

// Announced takes news of a peer: chunks that it holds and chunks that it
// has heard to be held in the region.
func (s *State) Announced(now time.Time, name string, id chunk.Digest, have, seen []int) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	st := s.set(id)
	if st == nil {
		if p.maps[id] != nil || len(p.maps) < maxMaps {
			p.keepEarly(id, have, seen)
		}
		return nil
	}
	m := p.maps[id]
	if len(m) < len(st.have) {
		grown := NewBits(len(st.items))
		copy(grown, m)
		m = grown
		p.maps[id] = m
	}
	for _, i := range have {
		if i < 0 || i >= len(st.items) || m.Has(i) {
			continue
		}
		m.Set(i)
		if s.near(p) {
			st.copies[i]++
		}
		s.trust(name)
	}
	s.spread(now, st, append(have, seen...), name)
	return s.settle(now)
}

// keepEarly remembers a peer's news of a version that this side has not heard
// of. Peers tell each chunk once; dropped, the news would be missing for as
// long as the connection lasts: the peer's offers would be refused, and the
// chunk in the end drawn again.
func (p *peer) keepEarly(id chunk.Digest, have, seen []int) {
	p.maps[id] = p.maps[id].with(have)
	p.early[id] = p.early[id].with(seen)
}

// takeEarly takes in what peers of the region told of a version before it was
// known here.
func (s *State) takeEarly(st *set) {
	for _, p := range s.order {
		if p.Region != s.cfg.Self.Region {
			continue
		}
		for _, bits := range []Bits{p.maps[st.id], p.early[st.id]} {
			for i := range st.items {
				if bits.Has(i) {
					st.seen.Set(i)
				}
			}
		}
		delete(p.early, st.id)
	}
}

// spread passes on to the neighbours which chunks the region holds, each
// once. By it all sides of a region take turns on the region link without a
// shared record of whose turn it is.
func (s *State) spread(now time.Time, st *set, indexes []int, from string) {
	var news []int
	for _, i := range indexes {
		if i < 0 || i >= len(st.items) || st.seen.Has(i) {
			continue
		}
		st.seen.Set(i)
		s.flows(now, st.upstream[i])
		news = append(news, i)
	}
	if len(news) == 0 {
		return
	}
	s.stale = true
	for _, p := range s.order {
		if !s.near(p) || p.Name == from {
			continue
		}
		if seen := without(news, p.maps[st.id]); len(seen) > 0 {
			s.emit(Announce{Peer: p.Name, Manifest: st.id, Seen: seen})
		}
	}
}

// Arrived tells that a chunk is verified and staged. It also takes the chunks
// that the staging area held from the start.
func (s *State) Arrived(now time.Time, d chunk.Digest) []Action {
	it, ok := s.items[d]
	if !ok {
		return []Action{Discard{Chunk: d}}
	}
	if it.held {
		return nil
	}
	if it.pending() {
		if it.via == ViaOrigin {
			s.originAnswered(now, true)
		}
		s.measure(it, now)
		s.pardon(it.from)
		s.clearPending(it)
	}
	it.held = true
	for _, pl := range it.places {
		pl.set.have.Set(pl.index)
		pl.set.seen.Set(pl.index)
		s.flows(now, pl.upstream())
		s.announceHeld(pl)
	}
	s.stale = true
	s.unseal()
	s.invite()
	return s.settle(now)
}

// announceHeld tells the neighbours that lack a chunk that it is held here.
// Those that hold it have no use for the news.
func (s *State) announceHeld(pl place) {
	for _, p := range s.order {
		if s.near(p) && !p.maps[pl.set.id].Has(pl.index) {
			s.emit(Announce{Peer: p.Name, Manifest: pl.set.id, Have: []int{pl.index}})
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

func (s *State) set(id chunk.Digest) *set {
	for _, st := range s.sets {
		if st.id == id {
			return st
		}
	}
	return nil
}

// near reports whether p is a connected side of the own region.
func (s *State) near(p *peer) bool {
	return p.connected && p.Region == s.cfg.Self.Region
}

func (s *State) forgetMap(p *peer, id chunk.Digest) {
	delete(p.early, id)
	m, ok := p.maps[id]
	if !ok {
		return
	}
	delete(p.maps, id)
	st := s.set(id)
	if st == nil {
		return
	}
	for i := range st.items {
		if m.Has(i) && st.copies[i] > 0 && p.Region == s.cfg.Self.Region {
			st.copies[i]--
		}
	}
}

// maxMaps bounds the versions of which a peer's maps are kept.
const maxMaps = 16
