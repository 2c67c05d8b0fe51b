package burst

import (
	"cmp"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
)

// sourceTries is how many tries at sides of the earlier region an import makes at
// the least before it turns to the origin.
const sourceTries = 3

// soonerFactor is how many times less a version must lack than the newest to be
// fetched before it.
const soonerFactor = 2

// regionOrder returns the regions in the order in which chunk i passes through
// them. The origin's region comes first when it has members; the others
// follow in rendezvous order, turned by one place for each chunk, so that
// the pairs of regions carry equal shares.
func (s *State) regionOrder(st *set, i int) []string {
	var first, rest []string
	for _, r := range st.regions {
		if r == s.cfg.OriginRegion {
			first = append(first, r)
			continue
		}
		rest = append(rest, r)
	}
	if len(rest) == 0 {
		return first
	}
	k := i % len(rest)
	out := append(first, rest[k:]...)
	return append(out, rest[:k]...)
}

// upstreamOf is the region from which the own region gets chunk i, empty for
// the origin.
func (s *State) upstreamOf(st *set, i int) string {
	order := s.regionOrder(st, i)
	k := slices.Index(order, s.cfg.Self.Region)
	if k <= 0 {
		return ""
	}
	return order[(k-1)/s.cfg.Fanout]
}

// acquire starts the draws and imports whose turn it is. Chunks take turns in
// manifest order: only the first few that the region lacks may be on the way
// from one upstream at a time, so that the shares of the link that the
// importers use add up to no more than the link, with no shared record.
func (s *State) acquire(now time.Time) {
	shared := map[string]int{}
	for _, st := range s.inTurn() {
		if s.cfg.Direct {
			s.drawAll(now, st)
			continue
		}
		s.takeTurns(now, st, shared)
		s.drawExtra(now, st)
	}
}

// inTurn lists the versions to fetch in the order in which they take turns: the
// newest first, but one of which the region lacks less than half as much goes before
// it. Were they to share the link, neither might be whole when the origin goes away.
func (s *State) inTurn() []*set {
	var out []*set
	for _, st := range s.sets {
		if !st.keep {
			out = append(out, st)
		}
	}
	if len(out) == 0 {
		return nil
	}
	newest := out[0].unseen()
	slices.SortStableFunc(out, func(a, b *set) int {
		return cmp.Compare(b.goesFirst(newest), a.goesFirst(newest))
	})
	return out
}

// unseen is how many chunks the region is not known to hold.
func (st *set) unseen() int { return len(st.items) - st.seen.Count() }

// goesFirst is 1 for a version that is nearly there, where the newest lacks the
// given number of chunks.
func (st *set) goesFirst(newest int) int {
	if n := st.unseen(); n > 0 && n*soonerFactor <= newest {
		return 1
	}
	return 0
}

// takeTurns starts what is due of one version. shared counts the turns that all
// versions use of each upstream; a chunk that is tried in vain takes one of its own
// version only, or a version that cannot be had would hold up another.
func (s *State) takeTurns(now time.Time, st *set, shared map[string]int) {
	taken := map[string]int{}
	for i, it := range st.items {
		if it.held {
			continue
		}
		if it.early {
			s.start(now, st, i, mostPatience*mostRank)
			continue
		}
		if st.seen.Has(i) {
			s.recover(now, st, i)
			continue
		}
		up := st.upstream[i]
		if max(taken[up], shared[up]) >= s.turns(up) {
			continue
		}
		if it.dueAt.IsZero() {
			it.dueAt = now
		}
		late := now.Sub(it.dueAt)
		if late < s.stepIn(up, 1) {
			taken[up]++
			if !it.inVain(now) {
				shared[up]++
			}
		} else {
			s.suspectFirst(now, st, i)
		}
		s.start(now, st, i, late)
	}
}

// inVain reports whether the region is known to have tried to fetch a chunk and
// failed lately.
func (it *item) inVain(now time.Time) bool {
	return it.fails > 0 || it.laters > 0 || !it.tried.IsZero() && now.Sub(it.tried) < leastStepIn
}

func (s *State) turns(up string) int {
	if up == "" {
		return s.cfg.Draws
	}
	return s.cfg.Turns
}

// start begins the transfer of a chunk that is due when this side ranks
// first for it, or has waited as long as its rank asks.
func (s *State) start(now time.Time, st *set, i int, late time.Duration) {
	it := st.items[i]
	if it.pending() || now.Before(it.retryAt) {
		return
	}
	up := st.upstream[i]
	pos := s.position(st, i)
	if pos < 0 || late < s.stepIn(up, pos) {
		return
	}
	if up == "" && s.running(ViaOrigin) >= s.cfg.Draws {
		return
	}
	s.fetchFrom(now, st, i, up, pos)
}

// mostRank is above every rank; late by that much a side need not wait.
const mostRank = 1 << 16

// unranked marks a rank that was not yet worked out.
const unranked = -2

// position is this side's rank for a chunk among the sides of the region.
func (s *State) position(st *set, i int) int {
	if st.place[i] == unranked {
		key := string(st.items[i].ref.Digest)
		st.place[i] = rank.Position(key, s.cfg.Self.Name, s.trusted(st))
	}
	return st.place[i]
}

func (s *State) fetchFrom(now time.Time, st *set, i int, up string, pos int) {
	it := st.items[i]
	reason := "ranks first"
	if pos > 0 {
		reason = "steps in"
	}
	from := s.exporter(now, st, it, up)
	if from == "" {
		s.begin(now, it, Fetch{Chunk: it.ref, Via: ViaOrigin, Reason: reason})
		return
	}
	s.peer(from, up)
	s.begin(now, it, Fetch{Chunk: it.ref, Via: ViaImport, Peer: from, Share: s.share(st, up), Reason: reason})
}

// share is the part of the region link that one import from region up may
// use. The own link inwards is shared by the regions that still have chunks
// for this one, the other's link outwards by the regions that it feeds.
func (s *State) share(st *set, up string) float64 {
	feeds := len(st.regions) - 1
	if up != s.cfg.OriginRegion && slices.Contains(st.regions, s.cfg.OriginRegion) {
		feeds--
	}
	var from []string
	for i, u := range st.upstream {
		if u != "" && !st.seen.Has(i) && !slices.Contains(from, u) {
			from = append(from, u)
		}
	}
	return 1 / float64(max(feeds, len(from), 1)*s.cfg.Turns)
}

// exporter picks the side of region up to ask for a chunk: the one that ranks
// first for it, which has it first; after failures the next in rank, and
// after those none, which means the origin.
func (s *State) exporter(now time.Time, st *set, it *item, up string) string {
	if up == "" || s.drawsInstead(now, st, it, up) {
		return ""
	}
	names := st.members[up]
	ordered := rank.Order(string(it.ref.Digest), names, func(n string) string { return n })
	if len(ordered) == 0 {
		return ""
	}
	if it.probing && len(ordered) > 1 {
		return ordered[(it.attempts+1+(it.laters-1)%(len(ordered)-1))%len(ordered)]
	}
	for _, n := range ordered[min(it.attempts, len(ordered)):] {
		if p, ok := s.peers[n]; ok && now.Before(p.badUntil) {
			continue
		}
		return n
	}
	return ordered[it.attempts%len(ordered)]
}

// recover fetches a chunk that the region was heard to hold but that no
// neighbour has had for long, or that neighbours failed to send more than
// once: those that held it may be gone, or hold it corrupt, and the side
// would never be whole.
func (s *State) recover(now time.Time, st *set, i int) {
	it := st.items[i]
	if it.pending() || (it.badTrades < mostBadTrades && s.withinReach(now, st, i)) {
		// The time since it was first out of reach is kept: a neighbour
		// whose link has stalled comes within reach between its faults,
		// and counting anew each time would never end.
		return
	}
	if it.lostAt.IsZero() {
		it.lostAt = now
	}
	up := st.upstream[i]
	late := now.Sub(it.lostAt) - s.lostWait(now, up)
	if late < 0 {
		return
	}
	s.start(now, st, i, late)
}

// lostWait is how long a chunk that was heard of may stay out of reach: it takes some
// steps from neighbour to neighbour. When a side has ended it may have been the only
// one to hold it.
func (s *State) lostWait(now time.Time, up string) time.Duration {
	if now.Sub(s.passedOver) < goneFor {
		return triedEvery
	}
	return lostFactor * s.stepIn(up, 1)
}

// withinReach reports whether a neighbour that is not left alone holds chunk i.
func (s *State) withinReach(now time.Time, st *set, i int) bool {
	if st.copies[i] == 0 || !s.blaming(now) {
		return st.copies[i] > 0
	}
	for _, p := range s.order {
		if s.near(p) && p.maps[st.id].Has(i) && !now.Before(p.badUntil) {
			return true
		}
	}
	return false
}

// blaming reports whether any peer is left alone now.
func (s *State) blaming(now time.Time) bool { return now.Before(s.blameEnd) }

func (s *State) drawAll(now time.Time, st *set) {
	for _, it := range st.items {
		if it.held || it.pending() || now.Before(it.retryAt) {
			continue
		}
		if s.running(ViaOrigin) >= s.cfg.Inbound {
			return
		}
		s.begin(now, it, Fetch{Chunk: it.ref, Via: ViaOrigin, Reason: "baseline"})
	}
}

func (s *State) running(v Via) int {
	n := 0
	for _, it := range s.items {
		if it.via == v {
			n++
		}
	}
	return n
}

func (s *State) begin(now time.Time, it *item, f Fetch) {
	it.via = f.Via
	it.from = f.Peer
	it.began = now
	it.since = now
	it.flowing, it.asked = false, false
	it.queued = true
	it.deadline = now.Add(max(s.startPatience(f.Via), queueFactor*s.cfg.MostPause))
	for _, pl := range it.places {
		pl.set.pending.Set(pl.index)
	}
	if f.Via == ViaTrade {
		s.trades++
	}
	s.emit(f)
}

func (s *State) clearPending(it *item) {
	if it.via == ViaTrade {
		s.trades--
	}
	it.via, it.from = "", ""
	it.later, it.queued, it.probing = false, false, false
	for _, pl := range it.places {
		pl.set.pending.Clear(pl.index)
	}
}
