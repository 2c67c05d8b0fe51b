package spread

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Intervals of retry notices.
const (
	// retryNoticeInterval is how often a side that fails to fetch a chunk for its region
	// announces that it keeps trying.
	retryNoticeInterval = 400 * time.Millisecond
	// minRankDelay is how long a side waits at the least for the one that ranks before it:
	// that one may have failed right after its last notice.
	minRankDelay = 2 * retryNoticeInterval
)

// announceRetries tells the neighbours which chunks this side keeps trying to fetch for
// the region. To them a side whose attempts fail looks like a dead one. While the origin is
// unavailable they would exclude one side after the other, and fetch all chunks several
// times when it returns.
func (s *State) announceRetries(now time.Time) {
	for _, v := range s.versions {
		var retrying []int
		for i, c := range v.chunks {
			if s.shouldAnnounceRetry(v, i, c) && now.Sub(c.retryNoticeAt) >= retryNoticeInterval {
				retrying = append(retrying, i)
			}
		}
		s.relayRetries(now, v, retrying, "")
	}
}

// shouldAnnounceRetry reports whether this side's attempts at a chunk that the region lacks
// have failed.
func (s *State) shouldAnnounceRetry(v *version, i int, c *chunkState) bool {
	if v.keepOnly || v.paused() || c.held || v.heldInRegion.Has(i) {
		return false
	}
	return c.failures > 0 || c.deferrals > 0 && c.pending()
}

// relayRetries restarts the due time of chunks that some side keeps trying to fetch, so
// that the sides after it wait, and relays the notice to the neighbours.
func (s *State) relayRetries(now time.Time, v *version, indexes []int, from string) {
	var fresh []int
	for _, i := range indexes {
		if i < 0 || i >= len(v.chunks) || v.heldInRegion.Has(i) {
			continue
		}
		c := v.chunks[i]
		if from != "" && now.Sub(c.retryNoticeAt) < retryNoticeInterval/2 {
			continue
		}
		c.retryNoticeAt = now
		// If others get chunks from the same upstream, the fault lies with the side that
		// fails; the due time is then not restarted, and the next in rank takes over.
		if nothingReceived := now.Sub(s.lastReceived[v.upstream[i]]) >= retryNoticeInterval; nothingReceived && !c.dueAt.IsZero() {
			c.dueAt = now
		}
		fresh = append(fresh, i)
	}
	if len(fresh) == 0 {
		return
	}
	for _, p := range s.sortedPeers {
		if s.near(p) && p.Name != from {
			s.emit(Announce{Peer: p.Name, Manifest: v.id, Retrying: fresh})
		}
	}
}

// RetriesReported handles a peer's notice that some side of the region keeps trying to
// fetch chunks.
func (s *State) RetriesReported(now time.Time, name string, id chunk.Digest, retrying []int) []Action {
	v := s.version(id)
	p, ok := s.peers[name]
	if v == nil || !ok || !s.near(p) || len(retrying) == 0 {
		return nil
	}
	s.relayRetries(now, v, retrying, name)
	return s.decide(now)
}
