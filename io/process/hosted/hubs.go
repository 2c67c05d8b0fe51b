package hosted

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"hawthornferry/core/process/rank"
)

const (
	// sideHubs is how many sides are hubs of alerts beside the seeds, all of which may
	// be gone at once.
	sideHubs = 2
	// hubsEvery is how often the hubs are chosen anew: the seeds change by themselves.
	hubsEvery = time.Second
	hubsKey   = "alerts"
)

// followHubs hands on which processes are the hubs of alerts.
func (f *frame) followHubs(ctx context.Context, want func([]netip.AddrPort)) error {
	for {
		changed := f.feed.Changed()
		want(f.hubs())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-f.clock.After(hubsEvery):
		}
	}
}

// hubs are the processes that pass alerts on: the seeds, which all know, and the sides
// that all entries rank first.
func (f *frame) hubs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, p := range f.seeds() {
		out = append(out, p.Address)
	}
	return append(out, firstSides(f.sides(), sideHubs)...)
}

// firstSides returns the first few of the sides, which all processes rank alike. Two
// targets may be listed at one address.
func firstSides(sides []netip.AddrPort, n int) []netip.AddrPort {
	ranked := slices.Compact(rank.Order(hubsKey, sides, netip.AddrPort.String))
	return ranked[:min(n, len(ranked))]
}
