package hosted

import (
	"net/netip"
	"slices"
	"sync"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/relay"
	"hawthornferry/io/process/feed"
)

// relays holds the relays of this process's zone (package relay), by the present state of
// the platform. It is safe for concurrent use.
type relays struct {
	vm       fleet.VM
	sidePort uint16
	current  func() *facts.Facts

	mu    sync.Mutex
	facts *facts.Facts
	all   []netip.AddrPort
}

// list returns the addresses of the relays.
func (r *relays) list() []netip.AddrPort {
	f := r.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f != r.facts && f.Table != nil {
		r.facts = f
		r.all = relay.InZone(r.vm.Zone, engineSides(f, r.sidePort, r.vm.Zone))
	}
	return r.all
}

// includesSelf reports whether this process is a relay.
func (r *relays) includesSelf() bool { return slices.Contains(r.list(), r.vm.Address) }

// upstreams returns the relays that this process follows. Relays themselves follow the
// readers of the store only.
func (r *relays) upstreams() []feed.Peer {
	all := r.list()
	if slices.Contains(all, r.vm.Address) {
		return nil
	}
	out := make([]feed.Peer, 0, len(all))
	for _, a := range all {
		out = append(out, feed.Peer{Address: a})
	}
	return out
}

// engineSides returns the addresses of the sides next to the engines of a zone, or of all
// zones if it is empty.
func engineSides(f *facts.Facts, port uint16, zone string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, t := range f.Targets {
		if zone != "" && t.Zone != zone {
			continue
		}
		if s, ok := f.Table.ServiceByName(t.Service); ok && s.Engine != nil {
			out = append(out, netip.AddrPortFrom(t.Address.Addr(), port))
		}
	}
	return out
}

// silentUpstreamTime is how long a process takes to leave an upstream that has stopped
// responding, after a wait for a change.
const silentUpstreamTime = feed.PeerTimeout + changeUpstreamTime

// allowsRelays reports whether the bounds leave the time for relays between the readers of
// the store and the other processes. A new configuration must be in force within its bound
// even if a relay and a reader stop responding one after the other, and keys must still be
// known to be valid if one of them does.
func allowsRelays(b Bounds) bool {
	store, peer := entryWaits(b)
	if b.ConfigDelay > 0 && store+2*(peer+silentUpstreamTime) > b.ConfigDelay {
		return false
	}
	return !b.StrictKeys || 2*store+2*peer+silentUpstreamTime <= scaleDuration(b.RevocationDelay, keyShare)
}
