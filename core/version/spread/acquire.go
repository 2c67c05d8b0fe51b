package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
)

// minImportTries is the least number of attempts at sides of the upstream region
// before an import falls back to the origin.
const minImportTries = 3

// nearlyDoneFactor says when an older version is fetched before the newest: when the
// newest lacks at least this many times as many chunks.
const nearlyDoneFactor = 2

// regionOrder returns the regions in the order in which chunk i passes through
// them. The origin's region comes first when it has members; the others
// follow in rendezvous order, rotated by one place for each chunk, so that
// the pairs of regions carry equal shares.
func (s *State) regionOrder(v *version, i int) []string {
	var first, rest []string
	for _, r := range v.regions {
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

// upstreamOf is the region from which this side's region gets chunk i, empty for
// the origin.
func (s *State) upstreamOf(v *version, i int) string {
	order := s.regionOrder(v, i)
	k := slices.Index(order, s.cfg.Self.Region)
	if k <= 0 {
		return ""
	}
	return order[(k-1)/s.cfg.Fanout]
}

// startFetches starts the origin fetches and imports that are due. Chunks are
// fetched in manifest order, and only the first few that the region lacks may be in
// transfer from one upstream at a time. So the link shares that the importing sides
// use add up to no more than the link, although they share no state.
func (s *State) startFetches(now time.Time) {
	shared := map[string]int{}
	for _, v := range s.fetchOrder() {
		if s.cfg.OriginOnly {
			s.fetchAllFromOrigin(now, v)
			continue
		}
		s.startDue(now, v, shared)
		s.fetchExtraCopy(now, v)
	}
}

// fetchOrder lists the versions to fetch: the newest first, but a version of which the
// region lacks at most half as much goes before it. If they shared the link, neither
// might be complete when the origin becomes unavailable.
func (s *State) fetchOrder() []*version {
	if s.ordered {
		return slices.DeleteFunc(s.orderedVersions(), (*version).paused)
	}
	var out []*version
	for _, v := range s.versions {
		if !v.keepOnly {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		return nil
	}
	newest := out[0].missingInRegion()
	slices.SortStableFunc(out, func(a, b *version) int {
		return cmp.Compare(b.nearlyDone(newest), a.nearlyDone(newest))
	})
	return out
}

// missingInRegion is how many chunks the region is not known to hold.
func (v *version) missingInRegion() int { return len(v.chunks) - v.heldInRegion.Count() }

// nearlyDone is 1 for a version that is nearly complete compared with the newest, and 0
// otherwise. newest is how many chunks the newest lacks.
func (v *version) nearlyDone(newest int) int {
	if n := v.missingInRegion(); n > 0 && n*nearlyDoneFactor <= newest {
		return 1
	}
	return 0
}

// startDue starts the transfers of one version that are due. shared counts the fetch
// slots of each upstream that all versions use. A chunk whose attempts fail uses a slot
// of its own version only, so that a version that cannot be fetched does not block
// another.
func (s *State) startDue(now time.Time, v *version, shared map[string]int) {
	taken, earlier := map[string]int{}, maps.Clone(shared)
	for i, c := range v.chunks {
		if c.held {
			continue
		}
		// The region relies on this side for the chunk: restart a failed import at once,
		// at any rank.
		if c.announcedEarly {
			s.startFetch(now, v, i, maxTimeout*maxRank)
			continue
		}
		if v.heldInRegion.Has(i) {
			s.recover(now, v, i)
			continue
		}
		up := v.upstream[i]
		if max(taken[up], shared[up]) >= s.slotsFor(now, v, up, earlier[up]) {
			s.postpone(c)
			continue
		}
		if c.dueAt.IsZero() {
			c.dueAt = now
		}
		late := now.Sub(c.dueAt)
		if late < s.rankDelay(up, 1) {
			taken[up]++
			if s.usesSharedSlot(now, v, up, c) {
				shared[up]++
			}
		} else {
			s.suspectFirstRanked(now, v, i)
		}
		s.startFetch(now, v, i, late)
	}
}

// retrying reports whether the region is known to have tried to fetch the chunk and
// failed recently.
func (c *chunkState) retrying(now time.Time) bool {
	return c.failures > 0 || c.deferrals > 0 || !c.retryNoticeAt.IsZero() && now.Sub(c.retryNoticeAt) < minRankDelay
}

// fetchSlots is how many chunks of one version may be in transfer from upstream up at a time.
func (s *State) fetchSlots(up string) int {
	if up == "" {
		return s.cfg.OriginSlots
	}
	return s.cfg.ImportSlots
}

// startFetch starts the transfer of a due chunk if this side ranks first for it,
// or if it has waited as long as its rank requires.
func (s *State) startFetch(now time.Time, v *version, i int, late time.Duration) {
	c := v.chunks[i]
	if c.pending() || now.Before(c.retryAt) {
		return
	}
	up := v.upstream[i]
	selfRank := s.rankFor(v, i)
	if selfRank < 0 || late < s.rankDelay(up, selfRank) {
		return
	}
	if up == "" && s.countVia(ViaOrigin) >= s.cfg.OriginSlots {
		return
	}
	s.fetch(now, v, i, up, selfRank)
}

// maxRank is above every rank. A chunk that this side announced early is treated as overdue
// by maxTimeout*maxRank, so that a failed import of it is restarted at once at any rank.
const maxRank = 1 << 16

// rankUnknown marks a rank that has not been computed yet.
const rankUnknown = -2

// rankFor is this side's rank for a chunk among the sides of the region.
func (s *State) rankFor(v *version, i int) int {
	if v.ranks[i] == rankUnknown {
		key := string(v.chunks[i].ref.Digest)
		v.ranks[i] = rank.Position(key, s.cfg.Self.Name, s.candidates(v))
	}
	return v.ranks[i]
}

// fetch begins the transfer of chunk i from region up, or from the origin if pickExporter
// says so. selfRank is this side's rank.
func (s *State) fetch(now time.Time, v *version, i int, up string, selfRank int) {
	c := v.chunks[i]
	reason := "ranks first"
	if selfRank > 0 {
		reason = "steps in"
	}
	from := s.pickExporter(now, v, c, up)
	if from == "" {
		s.beginTransfer(now, c, Fetch{Chunk: c.ref, Via: ViaOrigin, Reason: reason})
		return
	}
	s.peer(from, up)
	s.beginTransfer(now, c, Fetch{Chunk: c.ref, Via: ViaImport, Peer: from, Share: s.linkShare(v, up), Reason: reason})
}

// linkShare is the fraction of the region link that one import from region up may
// use. The incoming link of this region is shared by the regions that still have chunks
// for it, the outgoing link of the other by the regions that it supplies.
func (s *State) linkShare(v *version, up string) float64 {
	feeds := len(v.regions) - 1
	if up != s.cfg.OriginRegion && slices.Contains(v.regions, s.cfg.OriginRegion) {
		feeds--
	}
	var from []string
	for i, u := range v.upstream {
		if u != "" && !v.heldInRegion.Has(i) && !slices.Contains(from, u) {
			from = append(from, u)
		}
	}
	return 1 / float64(max(feeds, len(from), 1)*s.cfg.ImportSlots)
}

// pickExporter picks the side of region up to request a chunk from: the one that
// ranks first for it, which gets it first; after failures the next in rank. It
// returns "" for the origin.
func (s *State) pickExporter(now time.Time, v *version, c *chunkState, up string) string {
	if up == "" || s.fallsBackToOrigin(now, v, c, up) {
		return ""
	}
	names := v.members[up]
	ordered := rank.Order(string(c.ref.Digest), names, func(n string) string { return n })
	if len(ordered) == 0 {
		return ""
	}
	if c.probing && len(ordered) > 1 {
		return ordered[(c.attempts+1+(c.deferrals-1)%(len(ordered)-1))%len(ordered)]
	}
	for _, n := range ordered[min(c.attempts, len(ordered)):] {
		if p, ok := s.peers[n]; ok && now.Before(p.avoidUntil) {
			continue
		}
		return n
	}
	return ordered[c.attempts%len(ordered)]
}

// recover fetches a chunk that is said to be held in the region, but that
// no reachable neighbour has held for long or that neighbours failed to send more than
// once. The sides that held it may be gone, or hold it corrupt, and this side
// would never be complete.
func (s *State) recover(now time.Time, v *version, i int) {
	c := v.chunks[i]
	if c.pending() || (c.failedTrades < maxFailedTrades && s.reachable(now, v, i)) {
		// unreachableSince is kept when the chunk becomes reachable. A neighbour whose
		// link has stalled becomes reachable between its faults, and a timer restarted
		// each time would never end.
		return
	}
	if c.unreachableSince.IsZero() {
		c.unreachableSince = now
	}
	up := v.upstream[i]
	late := now.Sub(c.unreachableSince) - s.unreachableTimeout(now, up)
	if late < 0 {
		return
	}
	s.startFetch(now, v, i, late)
}

// unreachableTimeout is how long a chunk that the region is said to hold may stay
// unreachable: it takes some steps from neighbour to neighbour. The timeout is shorter
// after a side stopped running, since that one may have been the only holder.
func (s *State) unreachableTimeout(now time.Time, up string) time.Duration {
	if now.Sub(s.lastDownAt) < downDuration {
		return retryNoticeInterval
	}
	return unreachableFactor * s.rankDelay(up, 1)
}

// reachable reports whether a neighbour that is not avoided holds chunk i.
func (s *State) reachable(now time.Time, v *version, i int) bool {
	if v.neighbourCopies[i] == 0 || !s.anyAvoided(now) {
		return v.neighbourCopies[i] > 0
	}
	for _, p := range s.sortedPeers {
		if s.near(p) && p.heldChunks[v.id].Has(i) && !now.Before(p.avoidUntil) {
			return true
		}
	}
	return false
}

// anyAvoided reports whether any peer is avoided now.
func (s *State) anyAvoided(now time.Time) bool { return now.Before(s.avoidEnd) }

// fetchAllFromOrigin is startDue for Config.OriginOnly: it fetches every chunk from the
// origin.
func (s *State) fetchAllFromOrigin(now time.Time, v *version) {
	for _, c := range v.chunks {
		if c.held || c.pending() || now.Before(c.retryAt) {
			continue
		}
		if s.countVia(ViaOrigin) >= s.cfg.DownloadSlots {
			return
		}
		s.beginTransfer(now, c, Fetch{Chunk: c.ref, Via: ViaOrigin, Reason: "baseline"})
	}
}

// countVia is how many transfers by one route are in progress.
func (s *State) countVia(v Via) int {
	n := 0
	for _, c := range s.chunks {
		if c.via == v {
			n++
		}
	}
	return n
}

// beginTransfer records a transfer and emits the action that starts it.
func (s *State) beginTransfer(now time.Time, c *chunkState, f Fetch) {
	c.via = f.Via
	c.source = f.Peer
	c.startedAt = now
	c.firstByteAt = now
	c.receiving, c.fullyRequested = false, false
	c.queued = true
	c.deadline = now.Add(max(s.startTimeout(f.Via), maxQueueBackoffs*s.cfg.MaxBackoff))
	for _, pl := range c.positions {
		pl.version.pending.Set(pl.index)
	}
	if f.Via == ViaTrade {
		s.inboundTrades++
	}
	s.emit(f)
}

// clearPending records that no transfer of c is in progress any more.
func (s *State) clearPending(c *chunkState) {
	if c.via == ViaTrade {
		s.inboundTrades--
	}
	c.via, c.source = "", ""
	c.awaitingPeer, c.queued, c.probing = false, false, false
	for _, pl := range c.positions {
		pl.version.pending.Clear(pl.index)
	}
}
