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

// A connection goes silent for good without an error on either end. The
// process that waits on it sees nothing; after five exchanges without a word
// it closes the connection, which makes room for one that works.
func TestSilentConnectionIsClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClock()
	m := newMember(t, "a", "z1", netip.AddrPort{})
	m.Clock = clock
	m.Seeds = []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())}
	silent := newMember(t, "silent", "z1", netip.AddrPort{})
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
			clock.Advance(exchange)
			time.Sleep(time.Millisecond)
		}
	}
}

// A process is stopped for a minute and wakes up. It has heard nobody in that
// time, through no fault of its peers: it must not cut all of them at once,
// which would leave it alone and make it read for itself. A peer that then
// stays silent is cut as usual.
func TestPausedProcessDoesNotBlamePeers(t *testing.T) {
	start := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	ended := false
	p := &peerConn{id: 1, heard: start, end: func() { ended = true }}
	w := &Watcher{last: start, conns: map[gossip.PeerID]*peerConn{1: p}}
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{after: exchange, want: false},
		{after: time.Minute, want: false},
		{after: time.Minute + 2*exchange, want: false},
		{after: time.Minute + 4*exchange, want: false},
		{after: time.Minute + 6*exchange, want: true},
	}
	for _, tc := range tests {
		w.closeSilent(start.Add(tc.after))
		if diff := cmp.Diff(tc.want, ended); diff != "" {
			t.Errorf("cut after %v (-want +got):\n%s", tc.after, diff)
		}
	}
}

// VMs are replaced for weeks, and each newcomer that ranks first gets a
// connection. The older ones that are no longer preferred are ended once there
// are many, those that peers opened and those that are young are left.
func TestConnectionsDoNotCreepUp(t *testing.T) {
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	ended := map[string]bool{}
	w := &Watcher{conns: map[gossip.PeerID]*peerConn{}}
	for i := range 3 * enoughPeers {
		name := fmt.Sprint(i)
		p := &peerConn{link: &link.Conn{}, joined: now.Add(-time.Hour), end: func() { ended[name] = true }}
		p.link.Peer.VM.Name = name
		switch i % 3 {
		case 0:
			p.dialed = netip.MustParseAddrPort("127.0.0.1:1")
		case 1:
			p.dialed = netip.MustParseAddrPort("127.0.0.1:1")
			p.joined = now
		}
		w.conns[gossip.PeerID(i)] = p
	}
	w.trim(map[string]bool{"0": true}, now)
	if diff := cmp.Diff(enoughPeers-1, len(ended)); diff != "" {
		t.Errorf("ended connections (-want +got):\n%s", diff)
	}
	for i := range 3 * enoughPeers {
		if ended[fmt.Sprint(i)] && (i%3 != 0 || i == 0) {
			t.Errorf("connection %d is ended, want it left", i)
		}
	}
}
