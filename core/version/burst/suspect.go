package burst

import (
	"maps"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
)

// suspectFirst passes over the side that ranks first for an overdue chunk.
// Were it not, each chunk for which a dead side ranks first would hold a turn
// until the next in rank steps in, and the link would idle for as long. Every
// side of the region sees the same chunk overdue and comes to the same view;
// where they differ for a while a chunk may be fetched twice, no more.
func (s *State) suspectFirst(now time.Time, st *set, i int) {
	if st.items[i].pending() {
		return
	}
	names := s.trusted(st)
	ordered := rank.Order(string(st.items[i].ref.Digest), names, func(n string) string { return n })
	if len(ordered) < 2 || ordered[0] == s.cfg.Self.Name {
		return
	}
	s.suspects[ordered[0]] = now.Add(suspectFor)
	st.items[i].dueAt = now
	s.rerank()
}

// Refused tells that nothing listens where a side should: it has ended. The sides
// after it need not wait for its turns to be overdue.
func (s *State) Refused(now time.Time, name string) []Action {
	s.passOver(now, []string{name}, "")
	return s.settle(now)
}

// SidesGone takes a peer's word of sides that do not run.
func (s *State) SidesGone(now time.Time, from string, sides []string) []Action {
	if p, ok := s.peers[from]; !ok || !s.near(p) {
		return nil
	}
	s.passOver(now, sides, from)
	return s.settle(now)
}

// passOver takes sides of the region for ended unless this side has a connection to
// them, and passes on those that it did not know of.
func (s *State) passOver(now time.Time, sides []string, from string) {
	var fresh []string
	for _, name := range sides {
		if !s.inRegion(name) || name == s.cfg.Self.Name {
			continue
		}
		if p, ok := s.peers[name]; ok && p.connected {
			continue
		}
		if s.ended[name].Sub(now) > goneFor/2 {
			continue
		}
		s.ended[name] = now.Add(goneFor)
		fresh = append(fresh, name)
	}
	if len(fresh) == 0 {
		return
	}
	s.passedOver = now
	s.rerank()
	s.stale = true
	for _, p := range s.order {
		if s.near(p) && p.Name != from {
			s.emit(Gone{Peer: p.Name, Sides: fresh})
		}
	}
}

func (s *State) inRegion(name string) bool {
	return slices.ContainsFunc(s.sets, func(st *set) bool {
		return slices.Contains(st.members[s.cfg.Self.Region], name)
	})
}

// trust ends the suspicion against a side that shows itself to fetch.
func (s *State) trust(name string) {
	_, suspected := s.suspects[name]
	_, ended := s.ended[name]
	if !suspected && !ended {
		return
	}
	delete(s.suspects, name)
	delete(s.ended, name)
	s.rerank()
}

// trouble notes that this side has found for itself that nothing is to be had
// from an upstream: the sides that rank before it are not at fault. Otherwise an
// outage of the origin would make every side overdue for every chunk, and all
// would draw all of them at once when it ends: from an origin that carries four
// copies the version then takes as many times longer.
func (s *State) trouble(now time.Time, up string) {
	s.troubled[up] = true
	s.turnAnew(now, up)
}

// flows notes that a chunk has come from an upstream. After trouble the turns
// begin anew: time that was lost in it does not count.
func (s *State) flows(now time.Time, up string) {
	s.flowed[up] = now
	if !s.troubled[up] {
		return
	}
	delete(s.troubled, up)
	s.turnAnew(now, up)
}

// turnAnew ends all suspicions and has the turns of the chunks that are due from
// an upstream begin anew. Left due together, the chunks that came due one after the
// other meanwhile would all be overdue in the same moment.
func (s *State) turnAnew(now time.Time, up string) {
	for _, st := range s.sets {
		for i, it := range st.items {
			if st.upstream[i] == up && !it.held && !it.dueAt.IsZero() {
				it.dueAt = time.Time{}
			}
		}
	}
	if len(s.suspects) > 0 {
		clear(s.suspects)
		s.rerank()
	}
}

// steppedIn reports whether this side fetches a chunk in another's place.
func (s *State) steppedIn(it *item) bool {
	at := it.places[0]
	return len(s.suspects) > 0 || s.position(at.set, at.index) > 0
}

// forgive ends the suspicions that are old.
func (s *State) forgive(now time.Time) {
	n := len(s.suspects) + len(s.ended)
	for _, over := range []map[string]time.Time{s.suspects, s.ended} {
		maps.DeleteFunc(over, func(_ string, until time.Time) bool { return now.After(until) })
	}
	if len(s.suspects)+len(s.ended) < n {
		s.rerank()
	}
}

// trusted are the sides of the own region that are neither suspected nor ended.
func (s *State) trusted(st *set) []string {
	all := st.members[s.cfg.Self.Region]
	if len(s.suspects)+len(s.ended) == 0 {
		return all
	}
	var out []string
	for _, n := range all {
		_, suspected := s.suspects[n]
		_, ended := s.ended[n]
		if !suspected && !ended || n == s.cfg.Self.Name {
			out = append(out, n)
		}
	}
	return out
}

func (s *State) rerank() {
	for _, st := range s.sets {
		for i := range st.place {
			st.place[i] = unranked
		}
	}
}
