package place

import (
	"math"
	"net/netip"
)

// EntryEstimator estimates the number of entries in the system, for which there is no
// central list. Each side (the process beside a target) reports how many entries
// listen to it. An entry listens only to the sides of the targets in its subset, so
// the estimate scales up what those report. It is not safe for concurrent use; the
// zero value is ready.
type EntryEstimator struct {
	estimates map[netip.Addr]float64
	sum       float64
	maxSeen   int
}

// Record adds the report of one side: how many entries of its own zone and of other
// zones listen to it. targets is the number of targets in the side's zone, zones the
// number of zones.
func (c *EntryEstimator) Record(side netip.Addr, own, other, targets, zones int) {
	ownShare, otherShare := SubsetShares(targets, zones)
	estimate := float64(own)/ownShare + float64(other)/otherShare
	if c.estimates == nil {
		c.estimates = map[netip.Addr]float64{}
	}
	c.sum += estimate - c.estimates[side]
	c.estimates[side] = estimate
	c.maxSeen = max(c.maxSeen, own+other)
}

// Forget removes the report of a side that this entry no longer listens to.
func (c *EntryEstimator) Forget(side netip.Addr) {
	c.sum -= c.estimates[side]
	delete(c.estimates, side)
}

// Entries returns the estimate. It is never below the highest count that one side has
// reported, and 0 before the first report.
func (c *EntryEstimator) Entries() int {
	if len(c.estimates) == 0 {
		return c.maxSeen
	}
	return max(c.maxSeen, int(math.Round(c.sum/float64(len(c.estimates)))))
}
