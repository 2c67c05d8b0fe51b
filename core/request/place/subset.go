package place

import (
	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/rank"
)

// How many targets of a service an entry keeps to. What an entry hears of targets,
// and what each target's side tells, then stays the same as the fleet grows. Those
// of other zones take what its own zone cannot; where that has few targets, they make
// up for them.
const (
	ownZoneTargets   = 48
	otherZoneTargets = 8
)

// quota is how many targets an entry keeps to in its own zone, and in each other one.
type quota struct{ own, other int }

// quotaOf returns the quota of an entry whose own zone has the given number of
// targets, beside the given number of other zones with targets.
func quotaOf(own, others int) quota {
	q := quota{own: ownZoneTargets, other: otherZoneTargets}
	if missing := ownZoneTargets - own; others > 0 && missing > 0 {
		q.other = max(q.other, (missing+others-1)/others)
	}
	return q
}

// Subset returns which of a service's targets an entry in the given zone keeps to,
// by their place in targets. Entries choose by rendezvous, so that each target is
// chosen by about as many, and one that comes or goes changes little.
func Subset(entry, zone string, targets []facts.Target) []bool {
	zones := map[string][]int{}
	for i, t := range targets {
		zones[t.Zone] = append(zones[t.Zone], i)
	}
	own := len(zones[zone])
	q := quotaOf(own, len(zones)-min(own, 1))
	kept := make([]bool, len(targets))
	for z, members := range zones {
		most := q.other
		if z == zone {
			most = q.own
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

// Coverage is the part of the entries of a target's own zone, and of those of other
// zones, that keep to the target, where each of the given number of zones has n
// targets of its service.
func Coverage(n, zones int) (own, other float64) {
	n = max(n, 1)
	q := quotaOf(n, zones-1)
	return min(1, float64(q.own)/float64(n)), min(1, float64(q.other)/float64(n))
}
