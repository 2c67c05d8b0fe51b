package pulse

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
)

// noted keeps decisions.
type noted struct {
	mu  sync.Mutex
	all []string
}

func (n *noted) Decide(d trail.Decision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all = append(n.all, d.Action)
}

func (n *noted) actions() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.all...)
}

func testSelf(role fleet.Role) *link.Self {
	s := &link.Self{Boot: string(role)}
	s.VM = fleet.VM{
		Name: string(role), Role: role, Zone: "z", Region: "r",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive,
	}
	return s
}

// serveLoads serves a side at addr until the returned function is called.
func serveLoads(t *testing.T, addr string) (netip.AddrPort, func()) {
	t.Helper()
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	teller := &Teller{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, told: true}
	l := &link.Listener{
		Self: testSelf(fleet.RoleSide), Net: nl,
		Handlers: map[link.Purpose]link.Handler{link.PurposeLoad: teller.Handler()},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	return netip.MustParseAddrPort(nl.Addr().String()), func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// Callers wait longer at one engine, since its side is gone and the entry no
// longer knows its load. The log says when the side was lost and when it was
// heard again, once each, however often it is dialled in between.
func TestLostSideIsWrittenDownOnce(t *testing.T) {
	log := &noted{}
	l := &Listener{Self: testSelf(fleet.RoleEntry), Clock: clockwork.NewRealClock(), Log: log, Heard: func(netip.AddrPort, Load) {}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	addr, stop := serveLoads(t, "127.0.0.1:0")
	await := func(want ...string) {
		t.Helper()
		end := time.Now().Add(10 * time.Second)
		for time.Now().Before(end) && !cmp.Equal(want, log.actions()) {
			l.Want([]netip.AddrPort{addr})
			time.Sleep(10 * time.Millisecond)
		}
		if diff := cmp.Diff(want, log.actions()); diff != "" {
			t.Fatalf("lines (-want +got):\n%s", diff)
		}
	}
	await("sideHeard")
	stop()
	await("sideHeard", "sideLost")
	// Several dials fail meanwhile.
	time.Sleep(3 * redialAfter)
	_, stop = serveLoads(t, addr.String())
	await("sideHeard", "sideLost", "sideHeard")
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	stop()
}
