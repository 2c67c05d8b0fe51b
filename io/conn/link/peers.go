package link

import (
	"context"
	"net/netip"
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
}

// Run accepts changes of the set until ctx ends, then waits for the goroutines.
func (k *PeerRunner) Run(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	k.cancels = map[netip.AddrPort]context.CancelFunc{}
	k.mu.Unlock()
	<-ctx.Done()
	k.wg.Wait()
	return nil
}

// SetPeers replaces the set of peers. It has no effect before Run starts or after
// its context ends.
func (k *PeerRunner) SetPeers(addrs []netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx == nil || k.ctx.Err() != nil {
		return
	}
	wanted := make(map[netip.AddrPort]bool, len(addrs))
	for _, a := range addrs {
		wanted[a] = true
		if k.cancels[a] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(k.ctx)
		k.cancels[a] = cancel
		k.wg.Go(func() { k.Serve(ctx, a) })
	}
	for a, cancel := range k.cancels {
		if !wanted[a] {
			cancel()
			delete(k.cancels, a)
		}
	}
}
