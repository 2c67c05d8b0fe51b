package burst

import (
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

// trust ends the suspicion against a side that shows itself to fetch.
func (s *State) trust(name string) {
	if _, ok := s.suspects[name]; !ok {
		return
	}
	delete(s.suspects, name)
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
	n := len(s.suspects)
	for name, until := range s.suspects {
		if now.After(until) {
			delete(s.suspects, name)
		}
	}
	if len(s.suspects) < n {
		s.rerank()
	}
}

// trusted are the sides of the own region that are not suspected.
func (s *State) trusted(st *set) []string {
	all := st.members[s.cfg.Self.Region]
	if len(s.suspects) == 0 {
		return all
	}
	var out []string
	for _, n := range all {
		if _, ok := s.suspects[n]; !ok || n == s.cfg.Self.Name {
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
