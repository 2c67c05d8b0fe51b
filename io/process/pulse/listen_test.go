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

// tellTo counts what each of many entries is told in a time in which the load
// changes all the while.
func tellTo(t *testing.T, entries int, span time.Duration, urgent bool) int {
	t.Helper()
	teller := &Teller{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, told: true, Zone: "z"}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link.Listener{
		Self: testSelf(fleet.RoleSide), Net: nl,
		Handlers: map[link.Purpose]link.Handler{link.PurposeLoad: teller.Handler()},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = l.Run(ctx) })
	var mu sync.Mutex
	heard := 0
	for range entries {
		in := &Listener{
			Self: testSelf(fleet.RoleEntry), Clock: clockwork.NewRealClock(), Log: trail.Discard{},
			Heard: func(netip.AddrPort, Load) {
				mu.Lock()
				defer mu.Unlock()
				heard++
			},
		}
		wg.Go(func() { _ = in.Run(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				in.Want([]netip.AddrPort{netip.MustParseAddrPort(nl.Addr().String())})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		teller.mu.Lock()
		next := teller.load
		next.Active++
		if urgent {
			next.Serving++
		}
		teller.tell(next)
		teller.mu.Unlock()
		time.Sleep(readEvery)
	}
	mu.Lock()
	defer mu.Unlock()
	return heard
}

// Guards against sides whose reports take the links and processors of a large fleet:
// each told each entry twenty times a second, however many entries there were.
func TestReportsDoNotGrowWithTheEntries(t *testing.T) {
	const span = 2 * time.Second
	most := int(span/perEntry) * 5 / 4
	for _, entries := range []int{20, 60} {
		if got := tellTo(t, entries, span, false); got > most {
			t.Errorf("%d entries: told %d times in %s, want %d at most", entries, got, span, most)
		}
	}
}

// Guards against an entry that sends to an engine which is about to load: what
// decides whether an engine can be used at all is told at once.
func TestWhatDecidesIsToldAtOnce(t *testing.T) {
	const entries, span = 40, 2 * time.Second
	least := entries * int(span/readEvery) / 2
	if got := tellTo(t, entries, span, true); got < least {
		t.Errorf("told %d times in %s, want %d at least", got, span, least)
	}
}
