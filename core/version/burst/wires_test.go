package burst

import "time"

// wires are the links of a large deployment: what a chunk takes on the origin's, on
// one between two regions, and on one of a side.
type wires struct {
	origin, region, side time.Duration
	free                 map[string]time.Duration
}

// largeWires carry chunks of 48 KiB at 9, 32 and 9.4 Mbit/s.
func largeWires() *wires {
	return &wires{
		origin: 44 * time.Millisecond, region: 12 * time.Millisecond, side: 42 * time.Millisecond,
		free: map[string]time.Duration{},
	}
}

// span books a transfer on the links that it passes; one that waits for its turn on
// a link does not hold up the others.
func (w *wires) span(n *network, s *fakeSide, f Fetch) time.Duration {
	if f.Peer == "" {
		return max(w.book(n, s.Name+" in", w.side), w.book(n, "origin", w.origin)) - n.now
	}
	p := n.sides[f.Peer]
	if !p.state.Held(f.Chunk.Digest) {
		// Nothing is sent before the peer has it.
		return messageTime
	}
	end := max(w.book(n, s.Name+" in", w.side), w.book(n, p.Name+" out", w.side))
	if p.Region != s.Region {
		end = max(end, w.book(n, p.Region+" "+s.Region, w.region))
	}
	return end - n.now
}

func (w *wires) book(n *network, link string, cost time.Duration) time.Duration {
	end := max(w.free[link], n.now) + cost
	w.free[link] = end
	return end
}
