package burst

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Times of the word that a side keeps trying.
const (
	// triedEvery is how often a side that fails to fetch a chunk for its region
	// says that it keeps trying.
	triedEvery = 400 * time.Millisecond
	// leastStepIn is how long a rank waits at the least for the one before it: that
	// one may have failed right after it said that it keeps trying.
	leastStepIn = 2 * triedEvery
)

// tellTried says which chunks this side keeps trying to fetch for its region. From
// the others' side, one that tries in vain looks like one that is dead: while the
// origin is away they would pass over one after the other, and draw all chunks
// several times when it returns.
func (s *State) tellTried(now time.Time) {
	for _, st := range s.sets {
		var tried []int
		for i, it := range st.items {
			if s.keepsTrying(st, i, it) && now.Sub(it.tried) >= triedEvery {
				tried = append(tried, i)
			}
		}
		s.spreadTried(now, st, tried, "")
	}
}

func (s *State) keepsTrying(st *set, i int, it *item) bool {
	if st.keep || it.held || st.seen.Has(i) {
		return false
	}
	return it.fails > 0 || it.laters > 0 && it.pending()
}

// spreadTried puts off the turns of the sides behind those that keep trying, and
// passes the word on.
func (s *State) spreadTried(now time.Time, st *set, indexes []int, from string) {
	var fresh []int
	for _, i := range indexes {
		if i < 0 || i >= len(st.items) || st.seen.Has(i) {
			continue
		}
		it := st.items[i]
		if from != "" && now.Sub(it.tried) < triedEvery/2 {
			continue
		}
		it.tried = now
		// A side that fails while others get chunks from the same upstream is itself
		// in trouble; its turn passes as if it had said nothing.
		if dry := now.Sub(s.flowed[st.upstream[i]]) >= triedEvery; dry && !it.dueAt.IsZero() {
			it.dueAt = now
		}
		fresh = append(fresh, i)
	}
	if len(fresh) == 0 {
		return
	}
	for _, p := range s.order {
		if s.near(p) && p.Name != from {
			s.emit(Announce{Peer: p.Name, Manifest: st.id, Tried: fresh})
		}
	}
}

// Tried takes a peer's word that some side of the region keeps trying to fetch
// chunks.
func (s *State) Tried(now time.Time, name string, id chunk.Digest, tried []int) []Action {
	st := s.set(id)
	p, ok := s.peers[name]
	if st == nil || !ok || !s.near(p) || len(tried) == 0 {
		return nil
	}
	s.spreadTried(now, st, tried, name)
	return s.settle(now)
}
