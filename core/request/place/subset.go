package place

import (
	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/rank"
)

// How many targets of a service an entry keeps to. What an entry hears of targets,
// and what each target's side tells, then stays the same as the fleet grows. Those
// of other zones take what its own zone cannot.
const (
	ownZoneTargets   = 48
	otherZoneTargets = 8
)

// Subset returns which of a service's targets an entry in the given zone keeps to,
// by their place in targets. Entries choose by rendezvous, so that each target is
// chosen by about as many, and one that comes or goes changes little.
func Subset(entry, zone string, targets []facts.Target) []bool {
	zones := map[string][]int{}
	for i, t := range targets {
		zones[t.Zone] = append(zones[t.Zone], i)
	}
	kept := make([]bool, len(targets))
	for z, members := range zones {
		most := otherZoneTargets
		if z == zone {
			most = ownZoneTargets
		}
		if len(members) > most {
			members = rank.Order(entry, members, func(i int) string { return targets[i].Address.String() })
		}
		keep(kept, targets, members, most)
	}
	return kept
}

// keep marks the first members up to the given number of those that do not leave.
func keep(kept []bool, targets []facts.Target, members []int, most int) {
	for _, i := range members {
		if most == 0 {
			return
		}
		kept[i] = true
		if !targets[i].Leaving {
			most--
		}
	}
}

// Coverage is the part of the entries of a target's own zone, and of those of
// other zones, that keep to the target, where its zone has n of its service.
func Coverage(n int) (own, other float64) {
	n = max(n, 1)
	return min(1, ownZoneTargets/float64(n)), min(1, otherZoneTargets/float64(n))
}
