package spread

import (
	"time"

	"hawthornferry/core/process/rank"
)

// fallsBackToOrigin reports whether this side fetches a chunk from the origin that its
// region should get from the region upstream: all sides there have failed, or the region
// has sent nothing for so long that it is assumed to be cut off from the origin.
//
// An unavailable origin looks the same from here, and when it returns not every region
// may request every chunk from it. So one side of the region probes the origin with a
// single fetch, and a region upstream that works again is given time to send something.
func (s *State) fallsBackToOrigin(now time.Time, v *version, c *chunkState, up string) bool {
	if c.attempts >= max(minImportTries, len(v.members[up])) {
		return true
	}
	if c.deferredSince.IsZero() {
		return false
	}
	silent := now.Sub(latest(c.deferredSince, s.lastReceived[up]))
	limit := cutOffFactor * s.startTimeout(ViaImport)
	switch {
	case silent < limit:
		return false
	case s.originUpSince.IsZero():
		return s.probesOrigin(now, v, int(silent/limit), limit/probesPerLimit)
	default:
		return now.Sub(s.originUpSince) >= originReturnBackoffs*s.cfg.MaxBackoff+s.startTimeout(ViaImport)
	}
}

// probesOrigin reports whether this side is among the first few of its region and has not
// had a failed request to the origin within the given pause.
func (s *State) probesOrigin(now time.Time, v *version, first int, pause time.Duration) bool {
	if s.countVia(ViaOrigin) > 0 || now.Sub(s.originFailedAt) < pause {
		return false
	}
	selfRank := rank.Position(string(v.id), s.cfg.Self.Name, v.members[s.cfg.Self.Region])
	return selfRank >= 0 && selfRank < first
}

// noteOriginResult records whether the origin sent a chunk or failed to.
func (s *State) noteOriginResult(now time.Time, sent bool) {
	switch {
	case !sent:
		s.originUpSince, s.originFailedAt = time.Time{}, now
	case s.originUpSince.IsZero():
		s.originUpSince = now
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
