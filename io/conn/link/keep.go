package link

import (
	"context"
	"net/netip"
	"sync"
)

// Keeper runs one task for each peer of a set that changes. Set the exported field
// before Run.
type Keeper struct {
	// Keep serves the peer at addr until ctx ends.
	Keep func(ctx context.Context, addr netip.AddrPort)

	mu   sync.Mutex
	ctx  context.Context
	wg   sync.WaitGroup
	kept map[netip.AddrPort]context.CancelFunc
}

// Run keeps the tasks until ctx ends, and waits for them.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	k.kept = map[netip.AddrPort]context.CancelFunc{}
	k.mu.Unlock()
	<-ctx.Done()
	k.wg.Wait()
	return nil
}

// Want takes the peers from now on; it does nothing unless Run is under way.
func (k *Keeper) Want(addrs []netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ctx == nil || k.ctx.Err() != nil {
		return
	}
	wanted := make(map[netip.AddrPort]bool, len(addrs))
	for _, a := range addrs {
		wanted[a] = true
		if k.kept[a] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(k.ctx)
		k.kept[a] = cancel
		k.wg.Go(func() { k.Keep(ctx, a) })
	}
	for a, cancel := range k.kept {
		if !wanted[a] {
			cancel()
			delete(k.kept, a)
		}
	}
}
