package link

import (
	"context"
	"net/netip"
	"slices"
	"sync"
)

// PeerRunner runs one goroutine for each peer of a set that changes: it starts one
// when a peer is added and cancels it when the peer is removed. Set Serve before
// Run.
type PeerRunner struct {
	// Serve runs for the peer at addr and must return when ctx ends.
	Serve func(ctx context.Context, addr netip.AddrPort)

	mu sync.Mutex
	// ctx is that of Run, nil before.
	ctx     context.Context
	wg      sync.WaitGroup
	cancels map[netip.AddrPort]context.CancelFunc
	// early is the set of peers from before Run.
	early []netip.AddrPort
}

// Run serves the peers of the set until ctx ends, then waits for the goroutines.
func (r *PeerRunner) Run(ctx context.Context) error {
	r.mu.Lock()
	r.ctx = ctx
	r.cancels = map[netip.AddrPort]context.CancelFunc{}
	r.replace(r.early)
	r.mu.Unlock()
	<-ctx.Done()
	r.wg.Wait()
	return nil
}

// SetPeers replaces the set of peers. A set from before Run is served once that starts. It
// has no effect after the context of Run has ended.
func (r *PeerRunner) SetPeers(addrs []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx == nil {
		r.early = slices.Clone(addrs)
		return
	}
	r.replace(addrs)
}

// replace replaces the set of peers. r.mu must be held.
func (r *PeerRunner) replace(addrs []netip.AddrPort) {
	if r.ctx.Err() != nil {
		return
	}
	wanted := make(map[netip.AddrPort]bool, len(addrs))
	for _, a := range addrs {
		wanted[a] = true
		if r.cancels[a] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(r.ctx)
		r.cancels[a] = cancel
		r.wg.Go(func() { r.Serve(ctx, a) })
	}
	for a, cancel := range r.cancels {
		if !wanted[a] {
			cancel()
			delete(r.cancels, a)
		}
	}
}
