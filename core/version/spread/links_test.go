package spread

import "time"

// sharedLinks are the links of a large deployment: how long a chunk takes on the origin's
// link, on one between two regions, and on the link of a side.
type sharedLinks struct {
	origin, region, side time.Duration
	// byBlocks divides transfers into blocks, so that those over the same link share it.
	byBlocks bool
	// slow are the sides on whose link a chunk takes slowFactor times as long.
	slow      map[string]bool
	busyUntil map[string]time.Duration
}

// sideTime is how long a chunk takes on the link of a side.
func (w *sharedLinks) sideTime(name string) time.Duration {
	if w.slow[name] {
		return slowFactor * w.side
	}
	return w.side
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
	if f.Peer != "" && !n.sides[f.Peer].state.Held(f.Chunk.Digest) {
		// Nothing is sent before the peer holds the chunk.
		return messageTime
	}
	return w.reserveAll(n, s, f, 1)
}

// blocksPerChunk is the number of blocks in which a chunk is transferred.
const blocksPerChunk = 4

// blockTime is transferDuration for one block of a chunk.
func (w *sharedLinks) blockTime(n *network, s *fakeSide, f Fetch) time.Duration {
	return w.reserveAll(n, s, f, blocksPerChunk)
}

// reserveAll reserves time for a part of a chunk on all links that it passes, and returns
// how long it takes.
func (w *sharedLinks) reserveAll(n *network, s *fakeSide, f Fetch, parts time.Duration) time.Duration {
	end := w.reserve(n, s.Name+" in", w.sideTime(s.Name)/parts)
	if f.Peer == "" {
		return max(end, w.reserve(n, "origin", w.origin/parts)) - n.now
	}
	p := n.sides[f.Peer]
	end = max(end, w.reserve(n, p.Name+" out", w.sideTime(p.Name)/parts))
	if p.Region != s.Region {
		end = max(end, w.reserve(n, p.Region+" "+s.Region, w.region/parts))
	}
	return end - n.now
}

func (w *sharedLinks) reserve(n *network, link string, cost time.Duration) time.Duration {
	end := max(w.busyUntil[link], n.now) + cost
	w.busyUntil[link] = end
	return end
}
