package spread

import "time"

// sharedLinks are the links of a large deployment: how long a chunk takes on the origin's
// link, on one between two regions, and on the link of a side.
type sharedLinks struct {
	origin, region, side time.Duration
	busyUntil            map[string]time.Duration
}

// newSharedLinks are for chunks of 48 KiB and links of 9 (origin), 32 (region) and 9.4 Mbit/s (side).
func newSharedLinks() *sharedLinks {
	return &sharedLinks{
		origin: 44 * time.Millisecond, region: 12 * time.Millisecond, side: 42 * time.Millisecond,
		busyUntil: map[string]time.Duration{},
	}
}

// transferDuration reserves time on the links that a transfer passes; a transfer that waits
// for one link does not delay others.
func (w *sharedLinks) transferDuration(n *network, s *fakeSide, f Fetch) time.Duration {
	if f.Peer == "" {
		return max(w.reserve(n, s.Name+" in", w.side), w.reserve(n, "origin", w.origin)) - n.now
	}
	p := n.sides[f.Peer]
	if !p.state.Held(f.Chunk.Digest) {
		// Nothing is sent before the peer holds the chunk.
		return messageTime
	}
	end := max(w.reserve(n, s.Name+" in", w.side), w.reserve(n, p.Name+" out", w.side))
	if p.Region != s.Region {
		end = max(end, w.reserve(n, p.Region+" "+s.Region, w.region))
	}
	return end - n.now
}

func (w *sharedLinks) reserve(n *network, link string, cost time.Duration) time.Duration {
	end := max(w.busyUntil[link], n.now) + cost
	w.busyUntil[link] = end
	return end
}
