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
	rates := twoPriorities()
	var b bytes.Buffer
	if err := frame.NewWriter(&b).Write(&demandReport{Service: "svc", Rates: newRateList(&rates), Seq: 1 << 20, IntervalMS: 250}, 1<<40); err != nil {
		t.Fatal(err)
	}
	if most := 110; b.Len() > most {
		t.Errorf("%d bytes for two priorities, want at most %d", b.Len(), most)
	}
	m, _, err := frame.NewReader(&b, kinds()).Read()
	if d, ok := m.(*demandReport); err != nil || !ok || d.Rates.rates() != rates {
		t.Errorf("read %+v, error %v", m, err)
	}
}

// Guards against numbers of another process that would stop admission, or end this one.
func TestInvalidDemandIsRejected(t *testing.T) {
	for name, m := range map[string]demandReport{
		"negative":         {Service: "svc", Rates: rateList{{Placed: -1}}, IntervalMS: 250},
		"not a number":     {Service: "svc", Rates: rateList{{Offered: float32(math.NaN())}}, IntervalMS: 250},
		"too high":         {Service: "svc", Rates: rateList{{Crowded: 2e6}}, IntervalMS: 250},
		"unknown priority": {Service: "svc", Rates: rateList{{Priority: 10}}, IntervalMS: 250},
		"below 0":          {Service: "svc", Rates: rateList{{Priority: -1}}, IntervalMS: 250},
		"too many":         {Service: "svc", Rates: slices.Repeat(rateList{{}}, 11), IntervalMS: 250},
		"no service":       {IntervalMS: 250},
		"no interval":      {Service: "svc"},
		"endless interval": {Service: "svc", IntervalMS: math.MaxInt},
	} {
		if m.Check() == nil || (&demandTotals{Service: m.Service, Rates: m.Rates, IntervalMS: m.IntervalMS}).Check() == nil {
			t.Errorf("%s: accepted", name)
		}
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

// Guards against totals that include an entry which has ended, entries that are counted among
// the listeners of an engine that they do not use, and a collector that goes on with an entry
// whose numbers are wrong, or does not say so.
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
	conn := a.conn(c.addr)
	if err := conn.Send(&demandReport{Service: "svc", IntervalMS: -1}); err != nil {
		t.Fatal(err)
	}
	c.eventually(func() bool { return a.conn(c.addr) != conn && slices.Contains(c.log.actions(), "demandRejected") })
}
