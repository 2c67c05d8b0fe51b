package burst

import (
	"time"

	"hawthornferry/core/process/rank"
)

// drawsInstead reports whether this side draws a chunk that its region should get
// from the region upstream: all sides there have failed it, or the region has
// brought nothing for so long that it is taken to be cut off from the origin.
//
// An origin that is away looks the same from here, and when it returns it must not
// be asked by every region for every chunk. So one side of the region finds out, by
// a single draw, and a region upstream that can be served again has time to show it.
func (s *State) drawsInstead(now time.Time, st *set, it *item, up string) bool {
	if it.attempts >= max(sourceTries, len(st.members[up])) {
		return true
	}
	if it.lackedSince.IsZero() {
		return false
	}
	silent := now.Sub(later(it.lackedSince, s.flowed[up]))
	limit := silentFactor * s.startPatience(ViaImport)
	switch {
	case silent < limit:
		return false
	case s.originUp.IsZero():
		return s.probesOrigin(now, st, int(silent/limit), limit/probeShare)
	default:
		return now.Sub(s.originUp) >= returnPauses*s.cfg.MostPause+s.startPatience(ViaImport)
	}
}

// probesOrigin reports whether this side is among the first few of its region and
// has found nothing out for the given pause.
func (s *State) probesOrigin(now time.Time, st *set, first int, pause time.Duration) bool {
	if s.running(ViaOrigin) > 0 || now.Sub(s.originDown) < pause {
		return false
	}
	place := rank.Position(string(st.id), s.cfg.Self.Name, st.members[s.cfg.Self.Region])
	return place >= 0 && place < first
}

// originAnswered notes that the origin sent a chunk, or failed to.
func (s *State) originAnswered(now time.Time, sent bool) {
	switch {
	case !sent:
		s.originUp, s.originDown = time.Time{}, now
	case s.originUp.IsZero():
		s.originUp = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
