package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/picker"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/conn/sessn"
	"hawthornferry/io/request/gate"
)

// fastTiming shortens the session timeouts so that the tests run quickly. No test
// result depends on the values.
var fastTiming = sessn.Timing{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: time.Second, RedialDelay: 10 * time.Millisecond}

// testFleet runs entries and sides over real loopback sockets, with HTTP test servers
// as targets. It is the view source of all of them.
type testFleet struct {
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	// limits are the ledger limits of the sides that are added afterwards.
	limits calls.Limits
	// sideSilence, if set, is the silence timeout and log, if set, the decision log of
	// the sides that are added afterwards.
	sideSilence time.Duration
	timing      sessn.Timing
	log         trail.Log
	// entryLimits and entryClock apply to the entries that are added afterwards.
	entryLimits Limits
	entryClock  clockwork.Clock

	mu      sync.Mutex
	view    view.View
	changed chan struct{}
}

func newTestFleet(t *testing.T) *testFleet {
	ctx, cancel := context.WithCancel(context.Background())
	fl := &testFleet{t: t, ctx: ctx, cancel: cancel, timing: fastTiming, changed: make(chan struct{})}
	fl.view.Document = &envdoc.Document{
		Revision: 1,
		Zones:    []envdoc.Zone{{Name: "z", Region: "r"}},
		Services: []envdoc.Service{
			{Name: "booking", Kind: envdoc.KindPlain, Timeout: time.Hour, Repeatable: []string{"POST /search"}},
			{Name: "helper", Kind: envdoc.KindEngine, Timeout: time.Hour},
		},
	}
	t.Cleanup(cancel)
	return fl
}

func (fl *testFleet) Current() view.View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.view
}

func (fl *testFleet) Changed() <-chan struct{} {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.changed
}

// setReplicas sets the number of replicas that the document requires in the zone.
func (fl *testFleet) setReplicas(service string, n int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	d := *fl.view.Document
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		if d.Services[i].Name == service {
			d.Services[i].Replicas = []envdoc.Placement{{Zone: "z", Replicas: n}}
		}
	}
	fl.view.Document = &d
}

// setVM adds a VM to the list or replaces it.
func (fl *testFleet) setVM(vm fleet.VM) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var vms []fleet.VM
	for _, old := range fl.view.VMs {
		if old.Name != vm.Name {
			vms = append(vms, old)
		}
	}
	fl.view.VMs = append(vms, vm)
	close(fl.changed)
	fl.changed = make(chan struct{})
}

// side is a side process with its target.
type side struct {
	vm     fleet.VM
	gate   *gate.Proxy
	cancel context.CancelFunc
	done   chan struct{}

	listener *net.TCPListener
}

func (fl *testFleet) addSide(name, service string, target http.Handler) *side {
	fl.t.Helper()
	ts := httptest.NewServer(target)
	fl.t.Cleanup(ts.Close)
	return fl.runSide(name, service, netip.MustParseAddrPort(ts.Listener.Addr().String()), nil)
}

// reusableListener keeps its port open when it is closed. A released port could be
// taken by another process of the machine before the side's successor listens on it.
type reusableListener struct{ *net.TCPListener }

func (l reusableListener) Close() error { return l.SetDeadline(time.Unix(1, 0)) }

// runSide starts a side process with a new boot ID on nl, or on a new port if nl is
// nil.
func (fl *testFleet) runSide(name, service string, target netip.AddrPort, nl *net.TCPListener) *side {
	fl.t.Helper()
	if nl == nil {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fl.t.Fatal(err)
		}
		nl = l.(*net.TCPListener)
		fl.t.Cleanup(func() { nl.Close() })
	}
	_ = nl.SetDeadline(time.Time{})
	s := &side{done: make(chan struct{}), listener: nl}
	s.vm = fleet.VM{
		Name: name, Role: fleet.RoleSide, Zone: "z", Region: "r", Service: service,
		Address: netip.MustParseAddrPort(nl.Addr().String()), State: fleet.StateLive,
	}
	self := &link.Self{VM: s.vm, Boot: name + "-" + time.Now().Format("150405.000000000")}
	s.gate = &gate.Proxy{
		Self: self, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Metrics: tally.NoopScope,
		Source: fl, Target: target, Service: service, Timing: fl.timing, LedgerLimits: fl.limits,
	}
	s.gate.Timing.SilenceTimeout = valueOr(fl.sideSilence, s.gate.Timing.SilenceTimeout)
	s.gate.Log = valueOr(fl.log, s.gate.Log)
	l := &link.Listener{Self: self, Net: reusableListener{nl}, Handlers: map[link.Purpose]link.Handler{link.PurposeCalls: s.gate.Handler()}}
	ctx, cancel := context.WithCancel(fl.ctx)
	s.cancel = cancel
	var wg sync.WaitGroup
	wg.Go(func() { _ = s.gate.Run(ctx) })
	wg.Go(func() { _ = l.Run(ctx) })
	go func() { wg.Wait(); close(s.done) }()
	fl.setVM(s.vm)
	return s
}

// kill stops the side's process and closes its listener and connections.
func (s *side) kill() {
	s.cancel()
	<-s.done
	s.listener.Close()
}

// replace stops the side's process and starts a new boot on the same address.
func (fl *testFleet) replace(s *side) *side {
	fl.t.Helper()
	s.cancel()
	<-s.done
	return fl.runSide(s.vm.Name, s.vm.Service, s.gate.Target, s.listener)
}

// entry is an entry process.
type entry struct {
	front *Server
	url   string
}

// addEntry starts an entry. If a target is named, the entry tries it first for each
// call.
func (fl *testFleet) addEntry(name string, first ...string) *entry {
	fl.t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fl.t.Fatal(err)
	}
	self := &link.Self{Boot: name + "-boot", VM: fleet.VM{
		Name: name, Role: fleet.RoleEntry, Zone: "z", Region: "r",
		Address: netip.MustParseAddrPort(nl.Addr().String()), State: fleet.StateLive,
	}}
	f := &Server{
		Self: self, Clock: clockwork.NewRealClock(), Log: trail.Discard{}, Metrics: tally.NoopScope,
		Source: fl, Listener: nl, Timing: fl.timing,
	}
	f.Limits = fl.entryLimits
	f.Limits.DrainNotice = 10 * time.Millisecond
	f.Clock = valueOr(fl.entryClock, f.Clock)
	f.Limits.SubsetSize = 4
	if len(first) > 0 {
		f.Chooser = preferTarget{name: first[0], rest: newPolicy(f.Clock, self.VM)}
	}
	done := make(chan struct{})
	go func() { _ = f.Run(fl.ctx); close(done) }()
	fl.t.Cleanup(func() { fl.cancel(); <-done })
	return &entry{front: f, url: "http://" + nl.Addr().String()}
}

// waitReady waits until n targets of the service are ready at the entry.
func (fl *testFleet) waitReady(e *entry, service string, n int) {
	fl.t.Helper()
	for {
		count := 0
		for _, t := range e.front.Targets() {
			if t.VM.Service == service && t.Availability == "ready" {
				count++
			}
		}
		if count == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// decisions receives the call decisions that a side logs.
type decisions chan trail.Decision

func (d decisions) Record(x trail.Decision) {
	if x.Area == trail.AreaCall {
		d <- x
	}
}

// await returns the next decision with one of the given actions.
func (d decisions) await(actions ...string) trail.Decision {
	for x := range d {
		if slices.Contains(actions, x.Action) {
			return x
		}
	}
	return trail.Decision{}
}

// reply is the response that a caller received.
type reply struct {
	Status  int
	Header  http.Header
	Body    string
	Problem Problem
	// Truncated is set if the response ended before it was complete.
	Truncated bool
}

func (fl *testFleet) call(e *entry, method, path, body string, header http.Header) reply {
	fl.t.Helper()
	req, err := http.NewRequest(method, e.url+path, bytes.NewBufferString(body))
	if err != nil {
		fl.t.Fatal(err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{Truncated: true}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	r := reply{Status: res.StatusCode, Header: res.Header, Body: string(b), Truncated: err != nil}
	if res.Header.Get("Content-Type") == problemMediaType {
		_ = json.Unmarshal(b, &r.Problem)
	}
	return r
}

// openChat sends a chat completion and returns the response with its body unread.
func (fl *testFleet) openChat(e *entry, body string) *http.Response {
	fl.t.Helper()
	res, err := http.Post(e.url+"/v1/chat/completions", "application/json", bytes.NewBufferString(body))
	if err != nil {
		fl.t.Fatal(err)
	}
	return res
}

// preferTarget sends each call to one target first. A retry that must avoid this target
// is left to rest.
type preferTarget struct {
	name string
	rest Chooser
}

func (c preferTarget) Choose(now time.Time, r picker.Request, cs []picker.Candidate) (picker.Choice, error) {
	for _, x := range cs {
		if x.VM.Name == c.name && !slices.Contains(r.FailedTargets, c.name) {
			return picker.Choice{VM: x.VM}, nil
		}
	}
	return c.rest.Choose(now, r, cs)
}
