package loads

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

// logRecorder records the actions of decisions.
type logRecorder struct {
	mu  sync.Mutex
	all []string
}

func (r *logRecorder) Record(d trail.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, d.Action)
}

func (r *logRecorder) actions() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.all...)
}

func testSelf(role fleet.Role) *link.Self {
	s := &link.Self{Boot: string(role)}
	s.VM = fleet.VM{
		Name: string(role), Role: role, Zone: "z", Region: "r",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive,
	}
	return s
}

// serveLoads serves load reports at addr until the returned function is called.
func serveLoads(t *testing.T, addr string) (netip.AddrPort, func()) {
	t.Helper()
	nl, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	publisher := &Publisher{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, published: true}
	l := &link.Listener{
		Self: testSelf(fleet.RoleSide), Net: nl,
		Handlers: map[link.Purpose]link.Handler{link.PurposeLoad: publisher.Handler()},
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

// When a side is lost, the entry no longer knows the engine's load and callers may wait
// longer. The log must say once when the side was lost and once when its reports resumed,
// however many dials fail in between.
func TestLostSideIsLoggedOnce(t *testing.T) {
	log := &logRecorder{}
	l := &Listener{Self: testSelf(fleet.RoleEntry), Clock: clockwork.NewRealClock(), Log: log, OnLoad: func(netip.AddrPort, Load) {}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	addr, stop := serveLoads(t, "127.0.0.1:0")
	await := func(want ...string) {
		t.Helper()
		end := time.Now().Add(10 * time.Second)
		for time.Now().Before(end) && !cmp.Equal(want, log.actions()) {
			l.SetSides([]netip.AddrPort{addr})
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
	time.Sleep(3 * redialDelay)
	_, stop = serveLoads(t, addr.String())
	await("sideHeard", "sideLost", "sideHeard")
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	stop()
}

// countReports returns how many reports the given number of entries receive in total within
// span while the load changes at every poll, with urgent changes or others.
func countReports(t *testing.T, entries int, span time.Duration, urgent bool) int {
	t.Helper()
	publisher := &Publisher{Clock: clockwork.NewRealClock(), Log: trail.Discard{}, published: true, Zone: "z"}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link.Listener{
		Self: testSelf(fleet.RoleSide), Net: nl,
		Handlers: map[link.Purpose]link.Handler{link.PurposeLoad: publisher.Handler()},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = l.Run(ctx) })
	var mu sync.Mutex
	received := 0
	for range entries {
		listener := &Listener{
			Self: testSelf(fleet.RoleEntry), Clock: clockwork.NewRealClock(), Log: trail.Discard{},
			OnLoad: func(netip.AddrPort, Load) {
				mu.Lock()
				defer mu.Unlock()
				received++
			},
		}
		wg.Go(func() { _ = listener.Run(ctx) })
		wg.Go(func() {
			for ctx.Err() == nil {
				listener.SetSides([]netip.AddrPort{netip.MustParseAddrPort(nl.Addr().String())})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		publisher.mu.Lock()
		next := publisher.load
		next.Active++
		if urgent {
			next.ServedVersion++
		}
		publisher.publish(next)
		publisher.mu.Unlock()
		time.Sleep(pollInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	return received
}

// Guards against sides whose reports overload the links and processors of a large fleet,
// as twenty reports a second to each entry do, however many entries there are.
func TestReportRateDoesNotGrowWithEntries(t *testing.T) {
	const span = 2 * time.Second
	most := int(span/delayPerEntry) * 5 / 4
	for _, entries := range []int{20, 60} {
		if got := countReports(t, entries, span, false); got > most {
			t.Errorf("%d entries: %d reports in %s, want at most %d", entries, got, span, most)
		}
	}
}

// Guards against an entry that sends requests to an engine which is about to load: changes
// that decide whether an engine is usable at all must be reported at once.
func TestUrgentChangesAreReportedAtOnce(t *testing.T) {
	const entries, span = 40, 2 * time.Second
	least := entries * int(span/pollInterval) / 2
	if got := countReports(t, entries, span, true); got < least {
		t.Errorf("%d reports in %s, want at least %d", got, span, least)
	}
}
