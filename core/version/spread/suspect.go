package spread

import (
	"maps"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
)

// suspectFirstRanked excludes the side that ranks first for an overdue chunk from the
// ranking. Otherwise each chunk for which a dead side ranks first would use a fetch slot
// until the next in rank takes over, and the link would idle for as long. Every side of
// the region sees the same chunk overdue and comes to the same result; while they differ
// a chunk may be fetched twice, no more.
func (s *State) suspectFirstRanked(now time.Time, v *version, i int) {
	if v.chunks[i].pending() {
		return
	}
	names := s.candidates(v)
	ordered := rank.Order(string(v.chunks[i].ref.Digest), names, func(n string) string { return n })
	if len(ordered) < 2 || ordered[0] == s.cfg.Self.Name {
		return
	}
	s.suspects[ordered[0]] = now.Add(suspectDuration)
	v.chunks[i].dueAt = now
	s.resetRanks()
}

// ConnectionRefused is called when a connection to a side was refused because no
// process listens: the side has stopped. The sides after it need not wait until its
// chunks are overdue.
func (s *State) ConnectionRefused(now time.Time, name string) []Action {
	s.markDown(now, []string{name}, "")
	return s.decide(now)
}

// SidesReportedDown handles a peer's report of sides that do not run.
func (s *State) SidesReportedDown(now time.Time, from string, sides []string) []Action {
	if p, ok := s.peers[from]; !ok || !s.near(p) {
		return nil
	}
	s.markDown(now, sides, from)
	return s.decide(now)
}

// markDown records that sides of the region do not run, unless this side has a connection
// to them, and relays those that it did not know of.
func (s *State) markDown(now time.Time, sides []string, from string) {
	var fresh []string
	for _, name := range sides {
		if !s.isRegionMember(name) || name == s.cfg.Self.Name {
			continue
		}
		if p, ok := s.peers[name]; ok && p.connected {
			continue
		}
		if s.down[name].Sub(now) > downDuration/2 {
			continue
		}
		s.down[name] = now.Add(downDuration)
		fresh = append(fresh, name)
	}
	if len(fresh) == 0 {
		return
	}
	s.lastDownAt = now
	s.resetRanks()
	s.fetchesDue = true
	for _, p := range s.sortedPeers {
		if s.near(p) && p.Name != from {
			s.emit(ReportDown{Peer: p.Name, Sides: fresh})
		}
	}
}

func (s *State) isRegionMember(name string) bool {
	return slices.ContainsFunc(s.versions, func(v *version) bool {
		return slices.Contains(v.members[s.cfg.Self.Region], name)
	})
}

// clearSuspicion ends the suspicion against a side that shows activity.
func (s *State) clearSuspicion(name string) {
	_, suspected := s.suspects[name]
	_, down := s.down[name]
	if !suspected && !down {
		return
	}
	delete(s.suspects, name)
	delete(s.down, name)
	s.resetRanks()
}

// markUnavailable records that this side's own attempts at an upstream failed, so the
// sides that rank before it are not at fault. Otherwise an outage of the origin would
// make every chunk overdue for every side, and when it ends all sides would fetch all
// chunks at once over the origin's link, which is meant to carry four copies at most.
func (s *State) markUnavailable(now time.Time, up string) {
	s.unavailable[up] = true
	s.resetDueTimes(now, up)
}

// markAvailable records that a chunk has come from an upstream. If the upstream was
// unavailable, due times restart, so that time lost in the outage does not count.
func (s *State) markAvailable(now time.Time, up string) {
	s.lastReceived[up] = now
	if !s.unavailable[up] {
		return
	}
	delete(s.unavailable, up)
	s.resetDueTimes(now, up)
}

// resetDueTimes ends all suspicions and restarts the due times of the chunks of an
// upstream. Otherwise all chunks that became due one after the other during the outage
// would be overdue in the same moment.
func (s *State) resetDueTimes(now time.Time, up string) {
	for _, v := range s.versions {
		for i, c := range v.chunks {
			if v.upstream[i] == up && !c.held && !c.dueAt.IsZero() {
				c.dueAt = time.Time{}
			}
		}
	}
	if len(s.suspects) > 0 {
		clear(s.suspects)
		s.resetRanks()
	}
}

// isStandIn reports whether this side fetches a chunk in place of the side that ranks first.
func (s *State) isStandIn(c *chunkState) bool {
	at := c.positions[0]
	return len(s.suspects) > 0 || s.rankFor(at.version, at.index) > 0
}

// expireSuspicions removes the entries of suspects and down whose time has passed.
func (s *State) expireSuspicions(now time.Time) {
	n := len(s.suspects) + len(s.down)
	for _, over := range []map[string]time.Time{s.suspects, s.down} {
		maps.DeleteFunc(over, func(_ string, until time.Time) bool { return now.After(until) })
	}
	if len(s.suspects)+len(s.down) < n {
		s.resetRanks()
	}
}

// candidates are the sides of this region that are neither suspected nor down.
func (s *State) candidates(v *version) []string {
	all := v.members[s.cfg.Self.Region]
	if len(s.suspects)+len(s.down) == 0 {
		return all
	}
	var out []string
	for _, n := range all {
		_, suspected := s.suspects[n]
		_, down := s.down[n]
		if !suspected && !down || n == s.cfg.Self.Name {
			out = append(out, n)
		}
	}
	return out
}

func (s *State) resetRanks() {
	for _, v := range s.versions {
		for i := range v.ranks {
			v.ranks[i] = rankUnknown
		}
	}
}
