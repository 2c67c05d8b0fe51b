package spread

import (
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/rank"
)

// maxExtraCopies is how many copies of a version the origin's link may carry beyond the
// first when the document prefers short time to few origin bytes. It is fixed:
// Origin.MaxCopies of the document does not change it.
const maxExtraCopies = 3

// fetchExtraCopy lets a few sides of the origin's region fetch chunks from the origin
// that the region holds already, once the first copy of all its chunks is there: the
// origin then serves as an additional peer. Each of these sides keeps to its part of
// the extra copies, so that the sides together stay within maxExtraCopies.
func (s *State) fetchExtraCopy(now time.Time, v *version) {
	if s.cfg.Goal != envdoc.GoalTime || !s.fetchesExtraCopies(v) || s.countVia(ViaOrigin) > 0 {
		return
	}
	i := s.rarestForExtraCopy(now, v)
	if i < 0 {
		return
	}
	c := v.chunks[i]
	members := len(v.members[s.cfg.Self.Region])
	limit := maxExtraCopies * v.manifest.Size / int64(min(members, s.cfg.OriginSlots))
	if v.extraBytes+c.ref.Size > limit {
		return
	}
	v.extraBytes += c.ref.Size
	s.beginTransfer(now, c, Fetch{Chunk: c.ref, Via: ViaOrigin, Reason: "extra copy"})
}

func (s *State) fetchesExtraCopies(v *version) bool {
	if v.extraRank == rankUnknown {
		v.extraRank = rank.Position(string(v.id), s.cfg.Self.Name, v.members[s.cfg.Self.Region])
	}
	return v.extraRank >= 0 && v.extraRank < s.cfg.OriginSlots
}

// rarestForExtraCopy returns the index of the chunk to fetch again, or -1 when there
// is none or the first copies are not complete.
func (s *State) rarestForExtraCopy(now time.Time, v *version) int {
	best := -1
	for i, c := range v.chunks {
		if v.upstream[i] != "" {
			continue
		}
		if !v.heldInRegion.Has(i) {
			return -1
		}
		if c.held || c.pending() || now.Before(c.retryAt) {
			continue
		}
		if best < 0 || v.neighbourCopies[i] < v.neighbourCopies[best] {
			best = i
		}
	}
	return best
}
