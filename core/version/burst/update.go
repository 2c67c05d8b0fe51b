package burst

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
	"hawthornferry/core/version/chunk"
)

// Update replaces the wanted versions and their members. Chunks that an
// earlier version shares with a wanted one are kept; transfers of chunks that
// no version wants any more are stopped and what is held of them discarded.
func (s *State) Update(now time.Time, sets []Set) []Action {
	old := s.sets
	s.sets = nil
	for _, it := range s.items {
		it.places = nil
	}
	for _, w := range sets {
		s.sets = append(s.sets, s.newSet(w))
	}
	s.dropUnwanted()
	s.keepSeen(old)
	s.updatePeers(now)
	s.stale = true
	return s.settle(now)
}

func (s *State) newSet(w Set) *set {
	n := len(w.Manifest.Chunks)
	st := &set{
		id:         w.ID,
		keep:       w.Keep,
		extraPlace: unranked,
		manifest:   w.Manifest,
		members:    map[string][]string{},
		have:       NewBits(n),
		pending:    NewBits(n),
		seen:       NewBits(n),
		copies:     make([]uint16, n),
	}
	for _, m := range w.Members {
		st.members[m.Region] = append(st.members[m.Region], m.Name)
	}
	for r := range st.members {
		slices.Sort(st.members[r])
		st.regions = append(st.regions, r)
	}
	slices.Sort(st.regions)
	st.regions = rank.Order(string(w.ID), st.regions, func(r string) string { return r })
	for i := range n {
		st.upstream = append(st.upstream, s.upstreamOf(st, i))
		st.place = append(st.place, unranked)
	}
	for _, d := range w.Staged {
		s.adopt(d)
	}
	for i, ref := range w.Manifest.Chunks {
		st.items = append(st.items, s.place(st, i, ref))
	}
	return st
}

func (s *State) place(st *set, i int, ref chunk.Ref) *item {
	it, ok := s.items[ref.Digest]
	if !ok {
		it = &item{ref: ref}
		s.items[ref.Digest] = it
	}
	it.ref = ref
	it.places = append(it.places, place{set: st, index: i})
	if it.held {
		st.have.Set(i)
		st.seen.Set(i)
	}
	if it.pending() {
		st.pending.Set(i)
	}
	return it
}

func (s *State) adopt(d chunk.Digest) {
	it, ok := s.items[d]
	if !ok {
		it = &item{}
		s.items[d] = it
	}
	if it.pending() {
		return
	}
	it.held = true
}

func (s *State) dropUnwanted() {
	for _, d := range slices.Sorted(maps.Keys(s.items)) {
		it := s.items[d]
		if len(it.places) > 0 {
			continue
		}
		if it.pending() {
			s.emit(Stop{Chunk: d, Peer: it.from, Reason: "no longer wanted"})
			s.clearPending(it)
		}
		if it.held {
			s.emit(Discard{Chunk: d})
		}
		delete(s.items, d)
	}
}

// keepSeen carries over what the region was known to hold of versions that
// are still wanted.
func (s *State) keepSeen(old []*set) {
	for _, st := range s.sets {
		known := false
		for _, o := range old {
			if o.id == st.id {
				known = true
				st.seen = o.seen.clone()
				st.extra = o.extra
			}
		}
		if !known {
			s.takeEarly(st)
		}
		s.recount(st)
	}
}

func (s *State) recount(st *set) {
	clear(st.copies)
	for _, p := range s.peers {
		m, ok := p.maps[st.id]
		if !ok || !p.connected || p.Region != s.cfg.Self.Region {
			continue
		}
		for i := range st.items {
			if m.Has(i) {
				st.copies[i]++
			}
		}
	}
}

// updatePeers forgets sides that are no members any more, and greets those
// that are connected with the maps of the versions now wanted.
func (s *State) updatePeers(now time.Time) {
	known := map[string]string{}
	for _, st := range s.sets {
		for region, names := range st.members {
			for _, n := range names {
				known[n] = region
			}
		}
	}
	for name, p := range s.peers {
		if _, ok := known[name]; !ok && !p.connected {
			delete(s.peers, name)
		}
	}
	s.sortPeers()
	s.dials = s.neighbours()
	for _, n := range s.dials {
		s.peer(n, s.cfg.Self.Region)
	}
	for _, p := range s.order {
		if p.connected {
			s.greet(p)
		}
	}
	s.connect(now)
}

// neighbours are the sides of the region that this side dials: those that
// rank first for its own name, so that the mesh is a random graph which
// changes little as sides come and go.
func (s *State) neighbours() []string {
	var names []string
	for _, st := range s.sets {
		for _, n := range st.members[s.cfg.Self.Region] {
			if n != s.cfg.Self.Name && !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
	}
	ordered := rank.Order(s.cfg.Self.Name, names, func(n string) string { return n })
	return ordered[:min(len(ordered), s.cfg.Degree)]
}

func (s *State) connect(now time.Time) {
	if s.cfg.Direct {
		return
	}
	for _, n := range s.dials {
		p := s.peer(n, s.cfg.Self.Region)
		if p.connected || now.Before(p.dialAt) {
			continue
		}
		p.dialAt = now.Add(s.dialWait(p.dialFails))
		p.dialFails++
		s.emit(Connect{Peer: n})
	}
}

func (s *State) peer(name, region string) *peer {
	p, ok := s.peers[name]
	if !ok {
		p = &peer{Member: Member{Name: name, Region: region}, maps: map[chunk.Digest]Bits{}, early: map[chunk.Digest]Bits{}}
		s.peers[name] = p
		s.sortPeers()
	}
	return p
}

func (s *State) sortPeers() {
	s.order = s.order[:0]
	for _, p := range s.peers {
		s.order = append(s.order, p)
	}
	slices.SortFunc(s.order, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
}

func (s *State) greet(p *peer) {
	if p.Region != s.cfg.Self.Region {
		return
	}
	for _, st := range s.sets {
		s.emit(Greet{Peer: p.Name, Manifest: st.id, Have: st.have.clone(), Seen: st.seen.clone()})
	}
}
