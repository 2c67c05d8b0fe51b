package watch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/gossip"
	"hawthornferry/core/process/retry"
	"hawthornferry/io/conn/link"
)

// Timeouts and limits of dialing.
const (
	dialTimeout = 2 * time.Second
	// redialBase and redialMax bound the delay before an address that failed is
	// dialed again.
	redialBase = 500 * time.Millisecond
	redialMax  = 30 * time.Second
	// maxRedialEntries bounds the addresses whose failures are remembered; if
	// there are more, all are forgotten and may be dialed at once.
	maxRedialEntries = 1024
	// maxSeeds is how many seeds a process connects to while it has no other
	// peer.
	maxSeeds = 2
	// expectedPeers is how many connections a process has on average: those
	// that it opens and about as many that others open to it.
	expectedPeers = 2 * (gossip.PeersInZone + gossip.PeersInOtherZones)
	// minTemporaryLife is how long a temporary or unwanted connection is kept
	// at least: time to transfer a whole document and VM list.
	minTemporaryLife = 3 * exchangeInterval
)

// dialer holds the state of the connections that this process opens. Only the
// event loop uses it.
type dialer struct {
	ctx        context.Context
	wg         *sync.WaitGroup
	candidates gossip.Candidates
	retries    map[netip.AddrPort]*redial
	dialing    map[netip.AddrPort]bool
}

// redial is when an address that failed may be dialed again.
type redial struct {
	backoff   retry.Backoff
	notBefore time.Time
}

// connect opens the missing connections and closes superfluous ones.
func (w *Watcher) connect(now time.Time) {
	d := &w.dialer
	wanted := map[string]bool{}
	w.connectCandidates(d.candidates.Zone, gossip.PeersInZone, wanted, now)
	w.connectCandidates(d.candidates.Other, gossip.PeersInOtherZones, wanted, now)
	if len(w.peerNames()) == 0 {
		w.connectSeeds(now)
		return
	}
	w.closeTemporary(now)
	w.closeUnwanted(wanted, now)
}

// connectCandidates makes sure that want of the candidates are connected,
// whichever side opened the connection, and adds their names to wanted.
func (w *Watcher) connectCandidates(candidates []fleet.VM, want int, wanted map[string]bool, now time.Time) {
	connected := w.peerNames()
	have := 0
	for _, v := range candidates {
		if have >= want {
			return
		}
		if connected[v.Name] || w.dial(v.Address, false, now) {
			wanted[v.Name] = true
			have++
		}
	}
}

// closeUnwanted closes connections that this process opened and no longer
// prefers, if there are more than expectedPeers. Each new VM that ranks before
// the others adds a connection, and VMs are replaced all the time, so the
// number would otherwise grow to maxPeers over weeks. A peer that prefers a
// closed connection opens it again and keeps it.
func (w *Watcher) closeUnwanted(wanted map[string]bool, now time.Time) {
	excess := len(w.conns) - expectedPeers
	for _, p := range w.conns {
		if excess <= 0 {
			return
		}
		if p.dialed.IsValid() && !wanted[p.link.Peer.VM.Name] && now.Sub(p.connectedAt) > minTemporaryLife {
			p.cancel()
			excess--
		}
	}
}

func (w *Watcher) connectSeeds(now time.Time) {
	have := 0
	for _, addr := range w.Seeds {
		if have >= maxSeeds {
			return
		}
		if addr != w.Self.VM.Address && (w.connectedTo(addr) || w.dial(addr, true, now)) {
			have++
		}
	}
}

func (w *Watcher) connectedTo(addr netip.AddrPort) bool {
	for _, p := range w.conns {
		if p.dialed == addr {
			return true
		}
	}
	return false
}

// closeTemporary closes temporary connections, mostly those to seeds, once
// there are enough others. All processes of a fleet may have the same few
// seeds, which could not serve them all.
func (w *Watcher) closeTemporary(now time.Time) {
	if len(w.peerNames()) < gossip.PeersInZone {
		return
	}
	for _, p := range w.conns {
		if p.temporary && now.Sub(p.connectedAt) > minTemporaryLife {
			p.cancel()
		}
	}
}

// peerNames returns the names of the peers with a connection that is not
// temporary.
func (w *Watcher) peerNames() map[string]bool {
	out := map[string]bool{}
	for _, p := range w.conns {
		if !p.temporary {
			out[p.link.Peer.VM.Name] = true
		}
	}
	return out
}

// dial starts to connect to addr. It returns true if an attempt is in progress,
// false if the address has failed a short time ago.
func (w *Watcher) dial(addr netip.AddrPort, temporary bool, now time.Time) bool {
	d := &w.dialer
	if d.dialing[addr] {
		return true
	}
	if r, ok := d.retries[addr]; ok && now.Before(r.notBefore) {
		return false
	}
	d.dialing[addr] = true
	d.wg.Go(func() { w.open(d.ctx, addr, temporary) })
	return true
}

func (w *Watcher) open(ctx context.Context, addr netip.AddrPort, temporary bool) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := link.Dial(limited, w.Self, addr, link.PurposeConfig, kinds())
	cancel()
	if err == nil {
		w.serve(ctx, &peerConn{link: c, dialed: addr, temporary: temporary})
		return
	}
	w.post(ctx, func(now time.Time) []gossip.Action {
		delete(w.dialer.dialing, addr)
		w.Metrics.Counter("config_dial_errors").Inc(1)
		w.scheduleRedial(addr, 0, now)
		w.connect(now)
		return nil
	})
}

// scheduleRedial delays the next attempt to dial an address. A peer that is
// full or faulty accepts a connection and then closes it, so a connection that
// ended counts as a failure unless it lasted for longer than redialMax.
func (w *Watcher) scheduleRedial(addr netip.AddrPort, lived time.Duration, now time.Time) {
	d := &w.dialer
	if len(d.retries) >= maxRedialEntries {
		clear(d.retries)
	}
	r, ok := d.retries[addr]
	if !ok || lived > redialMax {
		r = &redial{backoff: retry.Backoff{Base: redialBase, Max: redialMax}}
		d.retries[addr] = r
	}
	r.notBefore = now.Add(r.backoff.Next(random()))
}
