package hosted

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
)

const (
	// sideHubCount is how many sides are alert hubs in addition to the seeds, which may
	// all be down at the same time.
	sideHubCount = 2
	// hubsInterval is how often the hubs are recomputed without a change of the
	// platform's state: the seeds change with the settings.
	hubsInterval = time.Second
	hubsRankKey  = "alerts"
)

// updateHubs calls setHubs with the current alert hubs at each change of the platform's
// state and every hubsInterval, until ctx ends.
func (p *process) updateHubs(ctx context.Context, setHubs func([]netip.AddrPort)) error {
	for {
		changed := p.feed.Changed()
		setHubs(p.hubs())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-p.clock.After(hubsInterval):
		}
	}
}

// hubs returns the processes that relay alerts between entries: the seeds, which every
// entry knows from its settings, and the sides that every entry ranks first.
func (p *process) hubs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, seed := range p.seeds() {
		out = append(out, seed.Address)
	}
	return append(out, topRankedSides(p.sides(), sideHubCount)...)
}

// topRankedSides returns the n highest-ranked distinct sides, or all if there are fewer.
// Every process ranks them alike. Two targets may be listed at the same address.
func topRankedSides(sides []netip.AddrPort, n int) []netip.AddrPort {
	ranked := slices.Compact(rank.Order(hubsRankKey, sides, netip.AddrPort.String))
	return ranked[:min(n, len(ranked))]
}
