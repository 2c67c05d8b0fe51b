package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
	"hawthornferry/core/version/chunk"
)

// Update replaces the wanted versions and their members. Chunks that an old version
// shares with a wanted one are kept. Transfers of chunks that no version wants any more
// are stopped, and those that are held are discarded.
func (s *State) Update(now time.Time, wanted []WantedVersion) []Action {
	old := s.versions
	s.versions = nil
	if s.wantedSince.IsZero() && len(wanted) > 0 {
		s.wantedSince = now
	}
	s.setPriorities(wanted)
	for _, c := range s.chunks {
		c.positions = nil
	}
	for _, w := range wanted {
		s.versions = append(s.versions, s.newVersion(w))
	}
	s.dropUnwanted()
	s.carryOver(old)
	s.updatePeers(now)
	s.fetchesDue = true
	return s.decide(now)
}

// newVersion returns the state of a wanted version, and adds its chunks to s.chunks.
func (s *State) newVersion(w WantedVersion) *version {
	n := len(w.Manifest.Chunks)
	v := &version{
		id:              w.ID,
		keepOnly:        w.KeepOnly || w.Priority == PriorityKept,
		priority:        w.Priority,
		extraRank:       rankUnknown,
		manifest:        w.Manifest,
		members:         map[string][]string{},
		received:        map[string]time.Time{},
		returned:        map[string]time.Time{},
		heldHere:        NewBits(n),
		pending:         NewBits(n),
		heldInRegion:    NewBits(n),
		neighbourCopies: make([]uint16, n),
	}
	for _, m := range w.Members {
		v.members[m.Region] = append(v.members[m.Region], m.Name)
	}
	for r := range v.members {
		slices.Sort(v.members[r])
		v.regions = append(v.regions, r)
	}
	slices.Sort(v.regions)
	v.regions = rank.Order(string(w.ID), v.regions, func(r string) string { return r })
	for i := range n {
		v.upstream = append(v.upstream, s.upstreamOf(v, i))
		v.ranks = append(v.ranks, rankUnknown)
	}
	for _, d := range w.Staged {
		s.markStaged(d)
	}
	for i, ref := range w.Manifest.Chunks {
		v.chunks = append(v.chunks, s.place(v, i, ref))
	}
	return v
}

// place records that the chunk ref is at index i of v, and returns its state.
func (s *State) place(v *version, i int, ref chunk.Ref) *chunkState {
	c, ok := s.chunks[ref.Digest]
	if !ok {
		c = &chunkState{ref: ref}
		s.chunks[ref.Digest] = c
	}
	c.ref = ref
	c.positions = append(c.positions, position{version: v, index: i})
	if c.held {
		v.heldHere.Set(i)
		v.heldInRegion.Set(i)
	}
	if c.pending() {
		v.pending.Set(i)
	}
	return c
}

// markStaged marks a chunk from the staging area as held, unless it is being transferred.
func (s *State) markStaged(d chunk.Digest) {
	c, ok := s.chunks[d]
	if !ok {
		c = &chunkState{}
		s.chunks[d] = c
	}
	if c.pending() {
		return
	}
	c.held = true
}

// dropUnwanted stops the transfers and discards the chunks that no version has any more.
func (s *State) dropUnwanted() {
	for _, d := range slices.Sorted(maps.Keys(s.chunks)) {
		c := s.chunks[d]
		if len(c.positions) > 0 {
			continue
		}
		if c.pending() {
			s.emit(StopTransfer{Chunk: d, Peer: c.source, Reason: "no longer wanted"})
			s.clearPending(c)
		}
		if c.held {
			s.emit(DiscardChunk{Chunk: d})
		}
		delete(s.chunks, d)
	}
}

// carryOver copies what the region is known to hold of versions that are still
// wanted from their old state.
func (s *State) carryOver(old []*version) {
	for _, v := range s.versions {
		known := false
		for _, o := range old {
			if o.id == v.id {
				known = true
				v.heldInRegion = o.heldInRegion.clone()
				v.extraBytes = o.extraBytes
				v.received, v.returned = o.received, o.returned
			}
		}
		if !known {
			s.applyEarly(v)
		}
		s.recountCopies(v)
	}
}

// recountCopies counts for each chunk of v the neighbours that hold it.
func (s *State) recountCopies(v *version) {
	clear(v.neighbourCopies)
	for _, p := range s.peers {
		m, ok := p.heldChunks[v.id]
		if !ok || !p.connected || p.Region != s.cfg.Self.Region {
			continue
		}
		for i := range v.chunks {
			if m.Has(i) {
				v.neighbourCopies[i]++
			}
		}
	}
}

// updatePeers removes sides that are no longer members, and sends those that are
// connected the chunk sets of the versions now wanted.
func (s *State) updatePeers(now time.Time) {
	known := map[string]string{}
	for _, v := range s.versions {
		for region, names := range v.members {
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
	s.dialNames = s.sidesToDial()
	for _, n := range s.dialNames {
		s.peer(n, s.cfg.Self.Region)
	}
	for _, p := range s.sortedPeers {
		if p.connected {
			s.sendChunkSets(p)
		}
	}
	s.connect(now)
}

// sidesToDial are the sides of the region that this side connects to: those that rank
// first for its own name. Its neighbours are these and the ones that connect to it. The
// mesh is then a random graph that changes little as sides come and go.
func (s *State) sidesToDial() []string {
	var names []string
	for _, v := range s.versions {
		for _, n := range v.members[s.cfg.Self.Region] {
			if n != s.cfg.Self.Name && !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
	}
	ordered := rank.Order(s.cfg.Self.Name, names, func(n string) string { return n })
	return ordered[:min(len(ordered), s.cfg.Degree)]
}

func (s *State) connect(now time.Time) {
	if s.cfg.OriginOnly {
		return
	}
	for _, n := range s.dialNames {
		p := s.peer(n, s.cfg.Self.Region)
		if p.connected || now.Before(p.nextDialAt) {
			continue
		}
		p.nextDialAt = now.Add(s.dialDelay(p.dialFails))
		p.dialFails++
		s.emit(Connect{Peer: n})
	}
}

func (s *State) peer(name, region string) *peer {
	p, ok := s.peers[name]
	if !ok {
		p = &peer{Member: Member{Name: name, Region: region}, heldChunks: map[chunk.Digest]Bits{}, earlyInRegion: map[chunk.Digest]Bits{}}
		s.peers[name] = p
		s.sortPeers()
	}
	return p
}

func (s *State) sortPeers() {
	s.sortedPeers = s.sortedPeers[:0]
	for _, p := range s.peers {
		s.sortedPeers = append(s.sortedPeers, p)
	}
	slices.SortFunc(s.sortedPeers, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
}

// sendChunkSets sends peer p the chunk sets of all versions, if it is in this side's region.
func (s *State) sendChunkSets(p *peer) {
	if p.Region != s.cfg.Self.Region {
		return
	}
	for _, v := range s.versions {
		s.emit(SendChunkSets{Peer: p.Name, Manifest: v.id, Have: v.heldHere.clone(), HeldInRegion: v.heldInRegion.clone()})
	}
}
