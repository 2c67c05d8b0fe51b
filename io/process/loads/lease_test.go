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
	"hawthornferry/core/request/lease"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/uptime"
)

// Guards against a side that grants more permits than its engine tolerates, or grants any
// before those of an earlier run of it have expired or the limit is known.
func TestSideGrantsWithinTheLimit(t *testing.T) {
	now := time.Hour
	limit, known := 5, false
	p := &Publisher{
		Clock: clockwork.NewRealClock(), Log: trail.Discard{},
		Uptime: func() time.Duration { return now }, ColdLimit: func() (int, bool) { return limit, known },
	}
	p.ledger.AssumeGranted(now)
	tests := []struct {
		name  string
		later time.Duration
		known bool
		limit int
		want  int
	}{
		{"the configuration is unknown", 2 * time.Second, false, 5, 0},
		{"the first", 0, true, 5, 4},
		{"the rest", 100 * time.Millisecond, true, 5, 1},
		{"none left", 100 * time.Millisecond, true, 5, 0},
		{"the first are over", time.Second + lease.Lifetime, true, 5, 4},
		{"no limit", 0, true, 0, 4},
	}
	if n := p.takePermits(&leaseRequest{Want: 4}).Granted; n != 0 {
		t.Errorf("%d permits right after the start", n)
	}
	for _, tc := range tests {
		now += tc.later
		limit, known = tc.limit, tc.known
		if diff := cmp.Diff(tc.want, p.takePermits(&leaseRequest{Want: 4}).Granted); diff != "" {
			t.Errorf("%s: permits (-want +got):\n%s", tc.name, diff)
		}
	}
}

// Guards against an entry that gets no permits for an engine which has just started, or
// does not learn that it is cold.
func TestEntryGetsPermitsFromSide(t *testing.T) {
	publisher := &Publisher{
		Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Uptime: uptime.Now,
		ColdLimit: func() (int, bool) { return 3, true },
	}
	publisher.publish(Load{Alive: true, Cold: true})
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	side := &link.Listener{
		Self: testSelf(fleet.RoleSide), Net: nl,
		Handlers: map[link.Purpose]link.Handler{link.PurposeLoad: publisher.Handler()},
	}
	addr := netip.MustParseAddrPort(nl.Addr().String())
	grants, cold := make(chan int, 10), make(chan bool, 100)
	entry := &Listener{
		Self: testSelf(fleet.RoleEntry), Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Uptime: uptime.Now,
		OnLoad:  func(_ netip.AddrPort, l Load) { cold <- l.Cold },
		OnGrant: func(_ netip.AddrPort, g lease.Grant) { grants <- g.N },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = side.Run(ctx) })
	wg.Go(func() { _ = entry.Run(ctx) })
	for first := true; first; {
		entry.SetSides([]netip.AddrPort{addr})
		select {
		case isCold := <-cold:
			if !isCold {
				t.Error("the report does not say that the engine is cold")
			}
			first = false
		case <-time.After(10 * time.Millisecond):
		}
	}
	var got []int
	for range 2 {
		entry.RequestLease(addr, 2, lease.RateLimit{})
		got = append(got, <-grants)
	}
	if diff := cmp.Diff([]int{2, 1}, got); diff != "" {
		t.Errorf("permits (-want +got):\n%s", diff)
	}
}

// Guards against an engine that gets its usual load right after a start which the platform
// has not listed yet.
func TestEngineIsColdAfterItsStart(t *testing.T) {
	const warmup = 3 * time.Second
	wall := time.Unix(1000, 0)
	poll := func(c *coldEngine, at time.Duration, started time.Time, silent bool) {
		c.observe(at, wall.Add(at), started, silent, warmup)
	}
	tests := []struct {
		name  string
		polls func(c *coldEngine)
		at    time.Duration
		want  bool
	}{
		{"started long before this side", func(c *coldEngine) { poll(c, 0, wall.Add(-time.Minute), false) }, 0, false},
		{"started a second before this side", func(c *coldEngine) { poll(c, 0, wall.Add(-time.Second), false) }, time.Second, true},
		{"that is over", func(c *coldEngine) { poll(c, 0, wall.Add(-time.Second), false) }, 2 * time.Second, false},
		{"a clock that was set back", func(c *coldEngine) { poll(c, 0, wall.Add(time.Hour), false) }, 2900 * time.Millisecond, true},
		{"another start", func(c *coldEngine) {
			poll(c, 0, wall.Add(-time.Minute), false)
			poll(c, time.Second, wall, false)
		}, 3 * time.Second, true},
		{"back after silence, with no time of its start", func(c *coldEngine) {
			poll(c, 0, time.Time{}, false)
			poll(c, time.Second, time.Time{}, true)
		}, 3 * time.Second, true},
		{"no time of its start", func(c *coldEngine) { poll(c, 0, time.Time{}, false) }, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var c coldEngine
			tc.polls(&c)
			if diff := cmp.Diff(tc.want, c.isCold(tc.at)); diff != "" {
				t.Errorf("cold (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a side that exceeds its engine's limit, or keeps it from other entries.
func TestSideKeepsTheLimitOfItsEngine(t *testing.T) {
	now := time.Hour
	p := &Publisher{
		Clock: clockwork.NewRealClock(), Log: trail.Discard{},
		Uptime: func() time.Duration { return now }, ColdLimit: func() (int, bool) { return 0, true },
	}
	known := func(l lease.RateLimit) lease.RateReport { return lease.RateReport{Known: true, Limit: l} }
	four, two := lease.RateLimit{Limited: true, PerSecond: 4}, lease.RateLimit{Limited: true, PerSecond: 2}
	tests := []struct {
		name    string
		later   time.Duration
		request leaseRequest
		granted int
		report  lease.RateReport
	}{
		{"no limit", 0, leaseRequest{Want: 10}, 10, lease.RateReport{}},
		{"a question with one", time.Second, leaseRequest{Want: 10, RateLimit: four}, 0, known(four)},
		{"a second later", time.Second, leaseRequest{Want: 10, RateLimit: four}, 4, known(four)},
		{"an entry that does not know it", time.Second, leaseRequest{Want: 10}, 4, known(four)},
		{"it changes", time.Second, leaseRequest{RateLimit: two}, 0, known(two)},
		{"an entry that has not heard of that", 0, leaseRequest{Want: 10, RateLimit: four}, 2, known(two)},
		{"it is lifted", 0, leaseRequest{}, 0, lease.RateReport{Known: true}},
		{"an entry that has not heard of that either", 0, leaseRequest{Want: 10, RateLimit: two}, 0, lease.RateReport{Known: true}},
	}
	for _, tc := range tests {
		now += tc.later
		p.recordRateLimit(&tc.request)
		granted := 0
		if tc.request.Want > 0 {
			granted = p.takePermits(&tc.request).Granted
		}
		if diff := cmp.Diff(tc.granted, granted); diff != "" {
			t.Errorf("%s: permits (-want +got):\n%s", tc.name, diff)
		}
		l, _, _ := p.current()
		if diff := cmp.Diff(tc.report, l.Rate); diff != "" {
			t.Errorf("%s: report (-want +got):\n%s", tc.name, diff)
		}
	}
}
