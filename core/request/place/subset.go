package place

import (
	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/rank"
)

// How many targets of a service an entry uses in its own zone, and in each other one.
// With a fixed number, the reports that an entry receives and a side sends do not grow
// with the fleet. Targets of other zones take what the own zone cannot; where that has
// few targets, more of the others are used to make up for them.
const (
	ownZoneTargets   = 48
	otherZoneTargets = 8
)

// quota is how many targets an entry uses in its own zone, and in each other one.
type quota struct{ own, other int }

// quotaOf returns the quota of an entry whose own zone has own targets, with others
// other zones that have targets.
func quotaOf(own, others int) quota {
	q := quota{own: ownZoneTargets, other: otherZoneTargets}
	if missing := ownZoneTargets - own; others > 0 && missing > 0 {
		q.other = max(q.other, (missing+others-1)/others)
	}
	return q
}

// Subset reports for each of a service's targets, by index, whether an entry in the
// given zone uses it. Entries choose by rendezvous hashing, so that each target is
// chosen by about as many entries, and a target that comes or goes changes little.
func Subset(entry, zone string, targets []facts.Target) []bool {
	zones := map[string][]int{}
	for i, t := range targets {
		zones[t.Zone] = append(zones[t.Zone], i)
	}
	own := countUsable(targets, zones[zone])
	q := quotaOf(own, otherUsableZones(targets, zones, zone))
	kept := make([]bool, len(targets))
	for z, members := range zones {
		most := q.other
		if z == zone {
			most = q.own
		}
		if len(members) > most {
			members = rank.Order(entry, members, func(i int) string { return targets[i].Address.String() })
		}
		markKept(kept, targets, members, most)
	}
	return kept
}

// countUsable counts the targets, given by index, that are not being evacuated. While
// its own zone is, an entry has to use as many targets of the others as if its zone had
// none.
func countUsable(targets []facts.Target, members []int) int {
	n := 0
	for _, i := range members {
		if !targets[i].Evacuated {
			n++
		}
	}
	return n
}

// otherUsableZones counts the zones other than the given one that have usable targets.
func otherUsableZones(targets []facts.Target, zones map[string][]int, zone string) int {
	n := 0
	for z, members := range zones {
		if z != zone && countUsable(targets, members) > 0 {
			n++
		}
	}
	return n
}

// markKept marks members in order until most of them are marked that are not leaving.
// Leaving members on the way are marked as well.
func markKept(kept []bool, targets []facts.Target, members []int, most int) {
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

// SubsetShares returns which share of the entries in a target's own zone, and which
// share of those in other zones, have the target in their subset, if each of the given
// number of zones has n targets of its service.
func SubsetShares(n, zones int) (own, other float64) {
	n = max(n, 1)
	q := quotaOf(n, zones-1)
	return min(1, float64(q.own)/float64(n)), min(1, float64(q.other)/float64(n))
}
