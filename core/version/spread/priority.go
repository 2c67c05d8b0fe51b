package spread

import (
	"cmp"
	"slices"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/plan"
)

// Priority says in which order the chunks of the wanted versions are fetched.
type Priority string

// The priorities. Without one, this side decides the order by what its region lacks, and
// the versions may share the links. With one, only a single version uses a link at a time.
const (
	PriorityNone Priority = ""
	// PriorityFirst marks the version that is fetched first, and PriorityNext one that is
	// fetched as far as the first leaves fetch slots unused.
	PriorityFirst Priority = "first"
	PriorityNext  Priority = "next"
	// PriorityPaused marks a version that is not fetched for the region. Its chunks are kept,
	// and requested from neighbours that hold nothing else that this side lacks.
	PriorityPaused Priority = "paused"
	// PriorityKept marks a version of which nothing is transferred, though its chunks are kept.
	PriorityKept Priority = "kept"
)

// PriorityOf returns the priority that a plan gives a version.
func PriorityOf(p plan.Plan, version uint64) Priority {
	switch {
	case version == p.First():
		return PriorityFirst
	case version == p.Newest || p.ProbeOlder:
		return PriorityNext
	case p.OlderUseless():
		return PriorityKept
	default:
		return PriorityPaused
	}
}

// probeSlots is how many chunks of a version that is not the first are requested from an
// upstream that sends nothing: an upstream that lacks only the first version must not hold
// up the others.
const probeSlots = 1

// handoverSlots is how many chunks keep a link in use while the last ones of a version
// arrive. With more of the next version beside them, the first would be complete later.
const handoverSlots = 3

// setPriorities records whether the versions have priorities.
func (s *State) setPriorities(wanted []WantedVersion) {
	s.ordered = slices.ContainsFunc(wanted, func(w WantedVersion) bool { return w.Priority != PriorityNone })
}

// priorityOrder holds the priorities in the order in which chunks are fetched.
var priorityOrder = []Priority{PriorityFirst, PriorityNext, PriorityPaused}

// orderedVersions lists the wanted versions by their priorities.
func (s *State) orderedVersions() []*version {
	out := slices.DeleteFunc(slices.Clone(s.versions), func(v *version) bool { return v.keepOnly })
	slices.SortStableFunc(out, func(a, b *version) int {
		return cmp.Compare(slices.Index(priorityOrder, a.priority), slices.Index(priorityOrder, b.priority))
	})
	return out
}

func (v *version) paused() bool { return v.priority == PriorityPaused }

// usesSharedSlot reports whether a due chunk uses one of the fetch slots that all versions
// share. A chunk that fails although the upstream sends others uses only a slot of its own
// version. If the upstream sends nothing, that is no fault of the chunk, and once chunks of its
// version come again, the link must not be shared with another version.
func (s *State) usesSharedSlot(now time.Time, v *version, up string, c *chunkState) bool {
	if !c.retrying(now) {
		return true
	}
	if !s.ordered {
		return false
	}
	return s.silent(now, up) || !c.failedSince(v.returned[up])
}

// failedSince reports whether an attempt at the chunk is known to have failed after a time.
// Notices of failures before that time may arrive up to their interval later.
func (c *chunkState) failedSince(t time.Time) bool {
	return c.failedAt.After(t) || c.retryNoticeAt.After(t.Add(2*retryNoticeInterval))
}

// silent reports whether the region has got nothing from an upstream for some time.
func (s *State) silent(now time.Time, up string) bool {
	return now.Sub(s.lastReceived[up]) >= retryNoticeInterval
}

// slotsFor is how many chunks of a version and those before it may be in transfer from an
// upstream at a time. earlier is how many slots those before it use.
func (s *State) slotsFor(now time.Time, v *version, up string, earlier int) int {
	switch {
	case !s.ordered || v.priority == PriorityFirst || earlier == 0:
		return s.fetchSlots(up)
	case s.silent(now, up):
		return earlier + probeSlots
	default:
		return min(handoverSlots, s.fetchSlots(up))
	}
}

// postpone restarts the due time of a chunk that gets no fetch slot yet. While another version
// uses the link, no side is late with it.
func (s *State) postpone(c *chunkState) {
	if s.ordered && !c.pending() {
		c.dueAt = time.Time{}
	}
}

// noteReceived is called when a chunk of a version has come from an upstream. If that upstream
// had sent nothing for some time, all chunks that wait for another attempt are requested at
// once, so that its link is fully used.
func (s *State) noteReceived(now time.Time, v *version, up string) {
	if !s.ordered {
		return
	}
	if now.Sub(v.received[up]) >= retryNoticeInterval {
		v.returned[up] = now
	}
	v.received[up] = now
	if s.silent(now, up) {
		s.retryAtOnce(now, up)
	}
}

func (s *State) retryAtOnce(now time.Time, up string) {
	for _, v := range s.versions {
		for i, c := range v.chunks {
			if v.upstream[i] == up && c.retryAt.After(now) {
				c.retryAt = now
			}
		}
	}
	s.fetchesDue = true
}

// probeDelay is the delay before the next attempt at a chunk from the origin, at random up
// to d. Chunks whose requests failed at the same moment would otherwise be requested at the
// same moments, and the origin's return be noticed late.
func (s *State) probeDelay(d time.Duration) time.Duration {
	if !s.ordered {
		return d
	}
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

// MissingInRegion returns how many bytes of the wanted version id this side's region is not
// known to hold, 0 for a version that is not wanted.
func (s *State) MissingInRegion(id chunk.Digest) int64 {
	v := s.version(id)
	if v == nil {
		return 0
	}
	var missing int64
	for i, c := range v.chunks {
		if !v.heldInRegion.Has(i) {
			missing += c.ref.Size
		}
	}
	return missing
}

// firstChunkTime is how long the first chunk may take to arrive in a region after this side
// has begun to want versions: a few requests share the origin's link.
const firstChunkTime = 3 * retryNoticeInterval

// UpstreamsSilent reports whether the region has got no chunk from outside for some time.
func (s *State) UpstreamsSilent(now time.Time) bool {
	if len(s.lastReceived) == 0 {
		return !s.wantedSince.IsZero() && now.Sub(s.wantedSince) >= firstChunkTime
	}
	for up := range s.lastReceived {
		if !s.silent(now, up) {
			return false
		}
	}
	return true
}
