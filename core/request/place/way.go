package place

import (
	"math"
	"time"
)

// Way takes how long a connection to the targets of a zone takes at the least: one
// round trip.
func (p *Placer) Way(zone string, roundTrip time.Duration) {
	p.prepare()
	if p.ways == nil {
		p.ways = map[string]time.Duration{}
	}
	p.ways[zone] = roundTrip
	for _, t := range p.targets {
		t.way = p.wayTo(t.Zone)
	}
}

// wayTo is how much longer than hop an answer from a zone is on its way: the
// connection takes a round trip and the request another.
func (p *Placer) wayTo(zone string) time.Duration { return max(0, 2*p.ways[zone]-hop) }

// leastWay is the least way to a target that may have the work once it has room.
func (s *service) leastWay(now time.Time, w *Work) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, t := range s.all {
		if s.mayServe(now, t, w) {
			least = min(least, t.way)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}
