package place

import (
	"math"
	"net/netip"
)

// Census estimates how many entries there are, of which nobody keeps a list, from
// how many of them the sides see that this entry hears. It is not safe for
// concurrent use; the zero value is ready.
type Census struct {
	seen map[netip.Addr]float64
	sum  float64
	most int
}

// Note takes how many entries of its own zone and of others a side tells of, how many
// targets its zone has, and how many zones there are.
func (c *Census) Note(side netip.Addr, own, other, targets, zones int) {
	ownShare, otherShare := Coverage(targets, zones)
	estimate := float64(own)/ownShare + float64(other)/otherShare
	if c.seen == nil {
		c.seen = map[netip.Addr]float64{}
	}
	c.sum += estimate - c.seen[side]
	c.seen[side] = estimate
	c.most = max(c.most, own+other)
}

// Forget drops what a side told that is no longer heard.
func (c *Census) Forget(side netip.Addr) {
	c.sum -= c.seen[side]
	delete(c.seen, side)
}

// Entries is the estimate: at least as many as one side sees, 0 when none is heard.
func (c *Census) Entries() int {
	if len(c.seen) == 0 {
		return c.most
	}
	return max(c.most, int(math.Round(c.sum/float64(len(c.seen)))))
}
