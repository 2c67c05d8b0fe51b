package watch

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/gossip"
	"hawthornferry/io/conn/link"
)

// A connection fails silently, without an error on either end. It must be
// closed after five exchange intervals without a message, so that one that
// works can replace it.
func TestSilentConnectionIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClock()
	m := newTestProcess(t, "a", "z1", netip.AddrPort{})
	m.Clock = clock
	m.Seeds = []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())}
	silent := newTestProcess(t, "silent", "z1", netip.AddrPort{})
	accepted := make(chan struct{})
	closed := make(chan struct{})
	listener := &link.Listener{Self: silent.Self, Net: l, Handlers: map[link.Purpose]link.Handler{
		link.PurposeConfig: {Kinds: kinds(), Serve: func(_ context.Context, c *link.Conn) {
			close(accepted)
			for {
				if _, err := c.Receive(); err != nil {
					close(closed)
					return
				}
			}
		}},
	}}
	go func() { _ = listener.Run(t.Context()) }()
	m.run()
	<-accepted
	for {
		select {
		case <-closed:
			return
		default:
			clock.Advance(exchangeInterval)
			time.Sleep(time.Millisecond)
		}
	}
}

// A process is stopped for a minute and resumes. It has received nothing in
// that time, through no fault of its peers, so it must not close all
// connections at once: it would be disconnected and start to read for itself. A
// peer that stays silent afterwards is disconnected as usual.
func TestPausedProcessKeepsConnections(t *testing.T) {
	start := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	ended := false
	p := &peerConn{id: 1, lastReceived: start, cancel: func() { ended = true }}
	w := &Watcher{lastTick: start, conns: map[gossip.PeerID]*peerConn{1: p}}
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{after: exchangeInterval, want: false},
		{after: time.Minute, want: false},
		{after: time.Minute + 2*exchangeInterval, want: false},
		{after: time.Minute + 4*exchangeInterval, want: false},
		{after: time.Minute + 6*exchangeInterval, want: true},
	}
	for _, tc := range tests {
		w.closeSilent(start.Add(tc.after))
		if diff := cmp.Diff(tc.want, ended); diff != "" {
			t.Errorf("closed after %v (-want +got):\n%s", tc.after, diff)
		}
	}
}

// VMs are replaced over weeks, and each new one that ranks first gets a
// connection. Once there are many connections, the older ones that are no
// longer preferred must be closed, but not those opened by peers or opened
// recently.
func TestUnwantedConnectionsAreClosed(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	ended := map[string]bool{}
	w := &Watcher{conns: map[gossip.PeerID]*peerConn{}}
	for i := range 3 * expectedPeers {
		name := fmt.Sprint(i)
		p := &peerConn{link: &link.Conn{}, connectedAt: now.Add(-time.Hour), cancel: func() { ended[name] = true }}
		p.link.Peer.VM.Name = name
		switch i % 3 {
		case 0:
			p.dialed = netip.MustParseAddrPort("127.0.0.1:1")
		case 1:
			p.dialed = netip.MustParseAddrPort("127.0.0.1:1")
			p.connectedAt = now
		}
		w.conns[gossip.PeerID(i)] = p
	}
	w.closeUnwanted(map[string]bool{"0": true}, now)
	if diff := cmp.Diff(expectedPeers-1, len(ended)); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
	for i := range 3 * expectedPeers {
		if ended[fmt.Sprint(i)] && (i%3 != 0 || i == 0) {
			t.Errorf("connection %d is closed, want it kept", i)
		}
	}
}
