package loads

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/level"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/uptime"
)

// twoPriorities returns rates of a service with requests of priorities 0 and 2.
func twoPriorities() level.Rates {
	var r level.Rates
	r.Offered[0], r.Offered[2] = 3.5, 1.25
	r.Placed[0], r.Crowded[2] = 2, .5
	return r
}

// Guards against messages that carry priorities without requests over links between regions,
// which are priced, and against rates that are changed on their way.
func TestDemandMessageIsSmall(t *testing.T) {
	const maxBytes = 160
	rates := twoPriorities()
	var b bytes.Buffer
	if err := frame.NewWriter(&b).Write(&demandReport{Service: "svc", Rates: newRateList(&rates), Seq: 1 << 20, IntervalMS: 250}, 1<<40); err != nil {
		t.Fatal(err)
	}
	if b.Len() > maxBytes {
		t.Errorf("%d bytes, want at most %d", b.Len(), maxBytes)
	}
	t.Logf("%d bytes for two priorities", b.Len())
	m, _, err := frame.NewReader(&b, kinds()).Read()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(rates, m.(*demandReport).Rates.rates()); diff != "" {
		t.Errorf("rates (-want +got):\n%s", diff)
	}
}

// Guards against numbers of another process that would stop admission, or end this one.
func TestInvalidDemandIsRejected(t *testing.T) {
	tests := []struct {
		name    string
		service string
		rates   rateList
		ms      int
	}{
		{"negative", "svc", rateList{{Placed: -1}}, 250},
		{"not a number", "svc", rateList{{Offered: float32(math.NaN())}}, 250},
		{"too high", "svc", rateList{{Crowded: 2e6}}, 250},
		{"unknown priority", "svc", rateList{{Priority: 10}}, 250},
		{"priority below 0", "svc", rateList{{Priority: -1}}, 250},
		{"too many", "svc", slices.Repeat(rateList{{}}, 11), 250},
		{"no service", "", nil, 250},
		{"no interval", "svc", nil, 0},
		{"endless interval", "svc", nil, math.MaxInt},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if (&demandReport{Service: tc.service, Rates: tc.rates, IntervalMS: tc.ms}).Check() == nil {
				t.Error("report was accepted")
			}
			if (&demandTotals{Service: tc.service, Rates: tc.rates, IntervalMS: tc.ms}).Check() == nil {
				t.Error("totals were accepted")
			}
		})
	}
}

// collectorTest is a collector with entries that are connected to it.
type collectorTest struct {
	t         *testing.T
	publisher *Publisher
	log       *logRecorder
	addr      netip.AddrPort
	ctx       context.Context
	wg        sync.WaitGroup
}

func newCollectorTest(t *testing.T) *collectorTest {
	t.Helper()
	c := &collectorTest{t: t, log: &logRecorder{}}
	c.publisher = &Publisher{Clock: clockwork.NewRealClock(), Log: c.log, Uptime: uptime.Now, Zone: "z", published: true}
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.addr = netip.MustParseAddrPort(nl.Addr().String())
	side := &link.Listener{
		Self: testSelf(fleet.RoleSide), Net: nl,
		Handlers: map[link.Purpose]link.Handler{link.PurposeLoad: c.publisher.Handler()},
	}
	var cancel context.CancelFunc
	c.ctx, cancel = context.WithCancel(t.Context())
	c.wg.Go(func() { _ = side.Run(c.ctx) })
	t.Cleanup(func() {
		cancel()
		c.wg.Wait()
	})
	return c
}

// connect returns a connected entry with the given name, the channel of the totals that it
// gets, and a function that ends it.
func (c *collectorTest) connect(name string) (*Listener, <-chan level.Totals, func()) {
	c.t.Helper()
	totals := make(chan level.Totals, 100)
	self := testSelf(fleet.RoleEntry)
	self.VM.Name = name
	l := &Listener{
		Self: self, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Uptime: uptime.Now,
		OnLoad:   func(netip.AddrPort, Load) {},
		OnTotals: func(_ netip.AddrPort, t Totals) { totals <- t.Totals },
	}
	ctx, stop := context.WithCancel(c.ctx)
	c.wg.Go(func() { _ = l.Run(ctx) })
	l.SetSides([]netip.AddrPort{c.addr})
	c.eventually(func() bool { return l.Connected(c.addr) })
	return l, totals, stop
}

func (c *collectorTest) eventually(ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatal("not within 5 s")
		}
	}
}

func (c *collectorTest) listeners() int {
	l, _, _ := c.publisher.current()
	return l.OwnZone + l.OtherZones
}

// Guards against totals that include an entry which has ended, and against entries that are
// counted among the listeners of an engine that they do not use.
func TestCollectorAddsUpConnectedEntries(t *testing.T) {
	c := newCollectorTest(t)
	a, totalsA, _ := c.connect("a")
	b, totalsB, stopB := c.connect("b")
	rates := twoPriorities()
	report := Demand{Service: "svc", Rates: rates, Seq: 1, Interval: time.Minute / 10}
	a.SendDemand(c.addr, report)
	if diff := cmp.Diff(level.Totals{Entries: 1, Rates: rates}, <-totalsA); diff != "" {
		t.Errorf("totals of one entry (-want +got):\n%s", diff)
	}
	report.DemandOnly = true
	b.SendDemand(c.addr, report)
	both := level.Totals{Entries: 2, Rates: rates}
	both.Add(&rates)
	if diff := cmp.Diff(both, <-totalsB); diff != "" {
		t.Errorf("totals of two entries (-want +got):\n%s", diff)
	}
	if n := c.listeners(); n != 1 {
		t.Errorf("%d listeners, want only the one that gets load reports", n)
	}
	stopB()
	c.eventually(func() bool {
		a.SendDemand(c.addr, Demand{Service: "svc", Rates: rates, Seq: 2, Interval: time.Second})
		return (<-totalsA).Entries == 1
	})
	if n := c.listeners(); n != 1 {
		t.Errorf("%d listeners after the end of the other entry, want 1", n)
	}
}

// Guards against a collector that goes on with an entry whose numbers are wrong, without a
// line that says so.
func TestInvalidDemandEndsTheConnection(t *testing.T) {
	c := newCollectorTest(t)
	l, _, _ := c.connect("a")
	conn := l.conn(c.addr)
	if err := conn.Send(&demandReport{Service: "svc", IntervalMS: -1}); err != nil {
		t.Fatal(err)
	}
	c.eventually(func() bool { return l.conn(c.addr) != conn })
	if diff := cmp.Diff([]string{"demandRejected"}, c.log.actions()); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// BenchmarkDemandMessage measures encoding and decoding a message of three priorities.
func BenchmarkDemandMessage(b *testing.B) {
	rates := twoPriorities()
	rates.Offered[1] = 1
	m := &demandReport{Service: "svc", Rates: newRateList(&rates), Seq: 1 << 20, IntervalMS: 250}
	var buf bytes.Buffer
	w, r := frame.NewWriter(&buf), frame.NewReader(&buf, kinds())
	for b.Loop() {
		if err := w.Write(m, 1<<40); err != nil {
			b.Fatal(err)
		}
		if _, _, err := r.Read(); err != nil {
			b.Fatal(err)
		}
	}
}
