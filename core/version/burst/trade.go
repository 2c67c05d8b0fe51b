package burst

import "time"

// Times of offers.
const (
	// fullLife bounds how long a refusal is heeded: a Ready that was lost
	// would otherwise leave the pair idle for good.
	fullLife = time.Second
	// readyAtOnce is how many peers are told of one free place.
	readyAtOnce = 2
)

// offer fills the free upload slots: each goes to a neighbour that lacks
// something this side holds, the one that holds less of two taken at random.
func (s *State) offer(now time.Time) {
	if s.cfg.Direct {
		return
	}
	if s.uploads >= s.cfg.Uploads {
		return
	}
	var open []*peer
	for _, p := range s.order {
		if s.eligible(now, p) {
			open = append(open, p)
		}
	}
	for s.uploads < s.cfg.Uploads && len(open) > 0 {
		k := s.pickPeer(open)
		p := open[k]
		if p.uploads+1 >= s.slotsEach() {
			open = append(open[:k], open[k+1:]...)
		}
		p.uploads++
		p.uploadEnd = now.Add(s.startPatience(ViaTrade))
		s.uploads++
		s.emit(Offer{Peer: p.Name})
	}
}

// slotsEach is how many upload slots one peer may have. One is the rule; a
// side with few neighbours would leave slots, and so its link, idle by it.
func (s *State) slotsEach() int {
	near := 0
	for _, p := range s.order {
		if s.near(p) {
			near++
		}
	}
	return max(1, (s.cfg.Uploads+near-1)/max(near, 1))
}

// release frees one upload slot of a peer, if it has any.
func (s *State) release(p *peer) {
	if p.uploads > 0 {
		p.uploads--
		s.uploads--
	}
}

func (s *State) releaseAll(p *peer) {
	s.uploads -= p.uploads
	p.uploads = 0
}

func (s *State) eligible(now time.Time, p *peer) bool {
	if !s.near(p) || (p.uploads > 0 && p.uploads >= s.slotsEach()) || (p.stalled && now.Before(p.badUntil)) {
		return false
	}
	if p.full && now.Before(p.fullUntil) {
		return false
	}
	for _, st := range s.sets {
		m, ok := p.maps[st.id]
		if ok && st.have.beyond(m) > 0 {
			return true
		}
	}
	return false
}

func (s *State) pickPeer(open []*peer) int {
	a, b := s.rng.IntN(len(open)), s.rng.IntN(len(open))
	if s.holds(open[b]) < s.holds(open[a]) {
		return b
	}
	return a
}

func (s *State) holds(p *peer) int {
	n := 0
	for _, st := range s.sets {
		n += p.maps[st.id].Count()
	}
	return n
}

// Offered takes a peer's offer of one chunk: this side picks the chunk of the
// peer's that is rarest among its neighbours, at random among equals.
func (s *State) Offered(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok || !s.near(p) {
		return nil
	}
	it := s.pickChunk(now, p)
	if it == nil || s.trades >= s.cfg.Inbound {
		p.owed = true
		s.emit(Pass{Peer: name})
		return s.settle(now)
	}
	p.owed = false
	s.begin(now, it, Fetch{Chunk: it.ref, Via: ViaTrade, Peer: name, Reason: "rarest"})
	return s.settle(now)
}

func (s *State) pickChunk(now time.Time, p *peer) *item {
	if now.Before(p.badUntil) && s.anyGood(now) {
		return nil
	}
	var best *item
	var copies uint16
	ties := 0
	for _, st := range s.sets {
		if st.keep {
			continue
		}
		m := p.maps[st.id]
		for i, it := range st.items {
			if it.held || it.pending() || !m.Has(i) {
				continue
			}
			c := st.copies[i]
			if best != nil && c > copies {
				continue
			}
			if best == nil || c < copies {
				best, copies, ties = it, c, 1
				continue
			}
			ties++
			if s.rng.IntN(ties) == 0 {
				best = it
			}
		}
	}
	return best
}

// anyGood reports whether some neighbour is not left alone now.
func (s *State) anyGood(now time.Time) bool {
	for _, p := range s.order {
		if s.near(p) && !now.Before(p.badUntil) {
			return true
		}
	}
	return false
}

// Passed tells that a peer refused an offer.
func (s *State) Passed(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	s.release(p)
	p.full = true
	p.fullUntil = now.Add(fullLife)
	return s.settle(now)
}

// Readied tells that a peer takes offers again.
func (s *State) Readied(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	p.full = false
	return s.settle(now)
}

// Sent tells that a block of the chunk a peer asked for has been sent; the
// peer is given new time to ask for more.
func (s *State) Sent(now time.Time, name string) {
	if p, ok := s.peers[name]; ok && p.uploads > 0 {
		p.uploadEnd = now.Add(s.startPatience(ViaTrade))
	}
}

// Served tells that the chunk a peer asked for on an offer has been sent, or
// will not be.
func (s *State) Served(now time.Time, name string) []Action {
	p, ok := s.peers[name]
	if !ok {
		return nil
	}
	s.release(p)
	return s.settle(now)
}

// unseal lifts refusals once this side holds something new.
func (s *State) unseal() {
	for _, p := range s.peers {
		p.full = false
	}
}

// invite tells some of the peers whose offers were refused that there is room
// again.
func (s *State) invite() { s.inviteUpTo(readyAtOnce) }

// wake tells all of them, in case those told before had nothing to give.
func (s *State) wake() { s.inviteUpTo(len(s.peers)) }

func (s *State) inviteUpTo(n int) {
	if s.trades >= s.cfg.Inbound {
		return
	}
	var owed []*peer
	for _, p := range s.order {
		if p.owed && s.near(p) && s.lacksOf(p) {
			owed = append(owed, p)
		}
	}
	s.rng.Shuffle(len(owed), func(i, j int) { owed[i], owed[j] = owed[j], owed[i] })
	for _, p := range owed[:min(n, len(owed))] {
		p.owed = false
		s.emit(Ready{Peer: p.Name})
	}
}

// lacksOf reports whether p holds a chunk that is neither held here nor on
// its way.
func (s *State) lacksOf(p *peer) bool {
	for _, st := range s.sets {
		for i := range p.maps[st.id] {
			if p.maps[st.id].byteAt(i)&^st.have.byteAt(i)&^st.pending.byteAt(i) != 0 {
				return true
			}
		}
	}
	return false
}
