package watch

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
)

// testProcess is a process in a test: a watcher, its listener and its log.
type testProcess struct {
	*Watcher
	ctx  context.Context
	stop func()
	log  *decisionRecorder
}

// decisionRecorder records the logged decisions of one process.
type decisionRecorder struct {
	mu  sync.Mutex
	all []trail.Decision
}

func (r *decisionRecorder) Record(d trail.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, d)
}

// inForce returns the revisions that the process put in force, in order.
func (r *decisionRecorder) inForce() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint64
	for _, d := range r.all {
		if d.Area == trail.AreaConfig && d.Action == "inForce" {
			out = append(out, d.Revision)
		}
	}
	return out
}

func (r *decisionRecorder) has(action string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.all {
		if d.Area == trail.AreaConfig && d.Action == action {
			return true
		}
	}
	return false
}

// newTestProcess creates a process that listens on its own address but doesn't
// run yet.
func newTestProcess(t *testing.T, name, zone string, services netip.AddrPort) *testProcess {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newTestProcessOn(t, l, name, zone, services)
}

func newTestProcessOn(t *testing.T, l net.Listener, name, zone string, services netip.AddrPort) *testProcess {
	t.Helper()
	self := &link.Self{Boot: fmt.Sprintf("%s-%d", name, time.Now().UnixNano())}
	self.VM = fleet.VM{
		Name: name, Role: fleet.RoleSide, Zone: zone, Region: "r", Service: "booking",
		Address: netip.MustParseAddrPort(l.Addr().String()), State: fleet.StateLive,
	}
	m := &testProcess{log: &decisionRecorder{}}
	m.Watcher = &Watcher{
		Self: self, Clock: clockwork.NewRealClock(), Log: m.log, Metrics: tally.NoopScope,
		Environment: "pindan", ConfigService: services, VMListService: services,
	}
	ctx, cancel := context.WithCancel(t.Context())
	listener := &link.Listener{
		Self: self, Net: l,
		Handlers: map[link.Purpose]link.Handler{
			link.PurposeConfig: m.Handler(),
			link.PurposeCalls:  {Serve: func(ctx context.Context, _ *link.Conn) { <-ctx.Done() }},
		},
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = listener.Run(ctx) })
	m.ctx = ctx
	m.stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(m.stop)
	return m
}

// run starts the watcher.
func (m *testProcess) run() {
	done := make(chan struct{})
	stop := m.stop
	go func() {
		defer close(done)
		_ = m.Run(m.ctx)
	}()
	m.stop = func() {
		stop()
		<-done
	}
}

// startFleet runs perZone processes in each of two zones and adds them to the
// VM list.
func startFleet(t *testing.T, p *fakePlatform, services netip.AddrPort, perZone int) []*testProcess {
	t.Helper()
	return startFleetWithPrefix(t, p, services, perZone, "")
}

// startFleetWithPrefix is startFleet with a prefix for the VM names.
func startFleetWithPrefix(t *testing.T, p *fakePlatform, services netip.AddrPort, perZone int, prefix string) []*testProcess {
	t.Helper()
	var all []*testProcess
	for _, zone := range []string{"z1", "z2"} {
		for i := range perZone {
			all = append(all, newTestProcess(t, fmt.Sprintf("%s%s-%d", prefix, zone, i), zone, services))
		}
	}
	p.change(func() {
		for _, m := range all {
			p.vms = append(p.vms, m.Self.VM)
		}
	})
	for _, m := range all {
		m.run()
	}
	return all
}

func awaitAll(t *testing.T, all []*testProcess, revision uint64) {
	t.Helper()
	for _, m := range all {
		await(t, m.Watcher, revision)
	}
}
