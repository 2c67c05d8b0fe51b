package link

import (
	"context"
	"net/netip"
	"testing"
	"time"
)

// Guards against losing the peers that are set before Run has started, as happens when the
// goroutine that sets them is the faster one. They were not served until the next change.
func TestPeersSetBeforeRunAreServed(t *testing.T) {
	served := make(chan netip.AddrPort, 1)
	r := &PeerRunner{Serve: func(ctx context.Context, addr netip.AddrPort) {
		served <- addr
		<-ctx.Done()
	}}
	want := netip.MustParseAddrPort("127.0.0.1:1")
	r.SetPeers([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2")})
	r.SetPeers([]netip.AddrPort{want})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	select {
	case got := <-served:
		if got != want {
			t.Errorf("served %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("no peer is served")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
