// Package relay decides which sides pass the platform's state on to the other processes of
// their zone. The few entries that read the store would otherwise send each change to every
// process of the fleet, most of them in other regions. Every process ranks the listed sides
// alike, so that nobody has to elect the relays. Package hosted uses it.
package relay

import (
	"net/netip"

	"hawthornferry/core/process/rank"
)

const (
	// sidesPerRelay is how many sides of a zone there are for each relay. A zone has fewer
	// entries than sides, so that a relay has twice as many followers at most, whatever
	// the size of the fleet.
	sidesPerRelay = 32
	// minRelays is how many relays a zone has at least, if any: with a single one, all of
	// its followers would turn to the readers of the store at once when it ends.
	minRelays = 2
)

// InZone returns the relays among the sides of a zone, which may list a side twice. A zone
// with few sides has none; its processes follow the readers of the store directly.
func InZone(zone string, sides []netip.AddrPort) []netip.AddrPort {
	ranked := distinct(rank.Order(zone, sides, netip.AddrPort.String))
	n := len(ranked) / sidesPerRelay
	if n < minRelays {
		return nil
	}
	return ranked[:n]
}

// distinct returns the first of each of the sides, which are in order of rank: equal ones
// follow each other.
func distinct(ranked []netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for i, a := range ranked {
		if i == 0 || a != ranked[i-1] {
			out = append(out, a)
		}
	}
	return out
}
