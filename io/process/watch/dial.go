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

// Bounds of dialing.
const (
	dialTimeout = 2 * time.Second
	redialBase  = 500 * time.Millisecond
	redialMax   = 30 * time.Second
	maxRedials  = 1024
	maxSeeds    = 2
	// enoughPeers is the connections that a process has on average: those
	// that it opens and about as many that others open to it.
	enoughPeers = 2 * (gossip.ZoneLinks + gossip.OtherLinks)
	// briefStay is how long a connection to a seed stays at least: time for
	// a whole document and VM list.
	briefStay = 3 * exchange
)

// dialer keeps the connections that this process opens. It belongs to the
// loop.
type dialer struct {
	ctx        context.Context
	wg         *sync.WaitGroup
	candidates gossip.Candidates
	retries    map[netip.AddrPort]*redial
	dialingTo  map[netip.AddrPort]bool
}

// redial is when an address that failed may be tried again.
type redial struct {
	backoff retry.Backoff
	at      time.Time
}

// connect opens the connections that are lacking.
func (w *Watcher) connect(now time.Time) {
	d := &w.dialer
	wanted := map[string]bool{}
	w.fill(d.candidates.Zone, gossip.ZoneLinks, wanted, now)
	w.fill(d.candidates.Other, gossip.OtherLinks, wanted, now)
	if len(w.peerNames()) == 0 {
		w.fillSeeds(now)
		return
	}
	w.dropBrief(now)
	w.trim(wanted, now)
}

// fill makes sure that want of the candidates are connected, whichever side
// opened the connection, and adds their names to wanted.
func (w *Watcher) fill(candidates []fleet.VM, want int, wanted map[string]bool, now time.Time) {
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

// trim ends connections that this process opened and no longer prefers, when
// there are many. VMs come and go for as long as a process lives, and each
// newcomer that ranks before the others adds a connection; without an end to
// the old ones their number would creep up to the bound over weeks. A peer
// that counts one of them as its own choice opens it again and then keeps it.
func (w *Watcher) trim(wanted map[string]bool, now time.Time) {
	spare := len(w.conns) - enoughPeers
	for _, p := range w.conns {
		if spare <= 0 {
			return
		}
		if p.dialed.IsValid() && !wanted[p.link.Peer.VM.Name] && now.Sub(p.joined) > briefStay {
			p.end()
			spare--
		}
	}
}

func (w *Watcher) fillSeeds(now time.Time) {
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

// dropBrief ends the connections to seeds once others stand: every process
// of a fleet may name the same few seeds, which could not carry them all.
func (w *Watcher) dropBrief(now time.Time) {
	if len(w.peerNames()) < gossip.ZoneLinks {
		return
	}
	for _, p := range w.conns {
		if p.brief && now.Sub(p.joined) > briefStay {
			p.end()
		}
	}
}

// peerNames are the peers with a connection that is to stay.
func (w *Watcher) peerNames() map[string]bool {
	out := map[string]bool{}
	for _, p := range w.conns {
		if !p.brief {
			out[p.link.Peer.VM.Name] = true
		}
	}
	return out
}

// dial starts to connect to addr. It reports true when an attempt is under
// way, false when the address has failed a short while ago.
func (w *Watcher) dial(addr netip.AddrPort, brief bool, now time.Time) bool {
	d := &w.dialer
	if d.dialingTo[addr] {
		return true
	}
	if r, ok := d.retries[addr]; ok && now.Before(r.at) {
		return false
	}
	d.dialingTo[addr] = true
	d.wg.Go(func() { w.open(d.ctx, addr, brief) })
	return true
}

func (w *Watcher) open(ctx context.Context, addr netip.AddrPort, brief bool) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := link.Dial(limited, w.Self, addr, link.PurposeConfig, kinds())
	cancel()
	if err == nil {
		w.serve(ctx, &peerConn{link: c, dialed: addr, brief: brief})
		return
	}
	w.post(ctx, func(now time.Time) []gossip.Action {
		delete(w.dialer.dialingTo, addr)
		w.Metrics.Counter("config_dial_errors").Inc(1)
		w.backOff(addr, 0, now)
		w.connect(now)
		return nil
	})
}

// backOff keeps an address from being tried again at once. A peer that is
// full or faulty accepts and then closes: that counts as a failure unless
// the connection has lived for long.
func (w *Watcher) backOff(addr netip.AddrPort, lived time.Duration, now time.Time) {
	d := &w.dialer
	if len(d.retries) >= maxRedials {
		clear(d.retries)
	}
	r, ok := d.retries[addr]
	if !ok || lived > redialMax {
		r = &redial{backoff: retry.Backoff{Base: redialBase, Max: redialMax}}
		d.retries[addr] = r
	}
	r.at = now.Add(r.backoff.Next(random()))
}
