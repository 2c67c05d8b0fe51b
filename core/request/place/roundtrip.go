package place

import (
	"math"
	"time"
)

// SetRoundTrip sets the shortest time measured for connecting to the targets of a zone,
// which is one round trip.
func (p *Placer) SetRoundTrip(zone string, roundTrip time.Duration) {
	p.initMaps()
	if p.roundTrips == nil {
		p.roundTrips = map[string]time.Duration{}
	}
	p.roundTrips[zone] = roundTrip
	for _, t := range p.targets {
		t.extraRoundTrip = p.extraRoundTripTo(t.Zone)
	}
}

// extraRoundTripTo is how much longer than baseRoundTrip an answer from a zone takes on
// the network: connecting takes one round trip and the request another.
func (p *Placer) extraRoundTripTo(zone string) time.Duration {
	return max(0, 2*p.roundTrips[zone]-baseRoundTrip)
}

// minExtraRoundTrip is the shortest extraRoundTrip of the targets that may run the
// request now or once they have room.
func (s *service) minExtraRoundTrip(now time.Time, w *Request) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, t := range s.all {
		if s.mayServe(now, t, w) {
			least = min(least, t.extraRoundTrip)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}
