package burst

import (
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/rank"
)

// extraCopies is how many copies more than the first the origin's link
// carries when time is weighed over origin bytes.
const extraCopies = 3

// drawExtra has a few sides of the origin's region draw chunks that the
// region has already, once the first copy of all is there: the origin then
// stands in as one more peer. Each of them keeps to its part of the copies
// that the origin's link carries, so that they add up to no more.
func (s *State) drawExtra(now time.Time, st *set) {
	if s.cfg.Weigh != envdoc.WeighTime || !s.isExtraDrawer(st) || s.running(ViaOrigin) > 0 {
		return
	}
	i := s.rarestOfOrigin(now, st)
	if i < 0 {
		return
	}
	it := st.items[i]
	members := len(st.members[s.cfg.Self.Region])
	limit := extraCopies * st.manifest.Size / int64(min(members, s.cfg.Draws))
	if st.extra+it.ref.Size > limit {
		return
	}
	st.extra += it.ref.Size
	s.begin(now, it, Fetch{Chunk: it.ref, Via: ViaOrigin, Reason: "extra copy"})
}

func (s *State) isExtraDrawer(st *set) bool {
	if st.extraPlace == unranked {
		st.extraPlace = rank.Position(string(st.id), s.cfg.Self.Name, st.members[s.cfg.Self.Region])
	}
	return st.extraPlace >= 0 && st.extraPlace < s.cfg.Draws
}

// rarestOfOrigin returns the chunk to draw again, or -1 when there is none or
// the first copies are not all there.
func (s *State) rarestOfOrigin(now time.Time, st *set) int {
	best := -1
	for i, it := range st.items {
		if st.upstream[i] != "" {
			continue
		}
		if !st.seen.Has(i) {
			return -1
		}
		if it.held || it.pending() || now.Before(it.retryAt) {
			continue
		}
		if best < 0 || st.copies[i] < st.copies[best] {
			best = i
		}
	}
	return best
}
