package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/watch"
	"hawthornferry/standin/platf"
)

const (
	environment       = "bench"
	zones             = 3
	configServiceRate = 2000
	listDelay         = 500 * time.Millisecond
)

// testFleet holds the processes of one trial, the addresses of the stand-ins for the
// platform, and how often those were read.
type testFleet struct {
	watchers      []*watch.Watcher
	stops         []context.CancelFunc
	configService netip.AddrPort
	vmList        netip.AddrPort
	reads         atomic.Uint64
	listReads     atomic.Uint64
	wg            sync.WaitGroup
}

// startFleet starts the stand-ins for the platform and the processes of the trial.
// They run until ctx ends.
func startFleet(ctx context.Context, p trial) (*testFleet, error) {
	f := &testFleet{}
	if err := f.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := f.promote(ctx, p.sections, 0); err != nil {
		return nil, err
	}
	for i := range p.processes {
		if err := f.startProcess(ctx, i, p); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *testFleet) startPlatform(ctx context.Context) error {
	clock := clockwork.NewRealClock()
	config := &platf.ConfigService{Rate: configServiceRate, Clock: clock}
	vmList := &platf.VMList{Lag: listDelay, Clock: clock}
	var err error
	if f.configService, err = f.serve(ctx, config.Handler(), &f.reads); err != nil {
		return err
	}
	f.vmList, err = f.serve(ctx, vmList.Handler(), &f.listReads)
	return err
}

// serve serves h on a free port. It counts the reads, which are the requests below
// /v1/, but not the control requests.
func (f *testFleet) serve(ctx context.Context, h http.Handler, reads *atomic.Uint64) (netip.AddrPort, error) {
	l, addr, err := listen()
	if err != nil {
		return addr, err
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			reads.Add(1)
		}
		h.ServeHTTP(w, r)
	})}
	f.wg.Go(func() { _ = srv.Serve(l) })
	context.AfterFunc(ctx, func() { srv.Close() })
	return addr, nil
}

// listen opens a listener on a free port.
func listen() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	return l, addr, err
}

// injectFault stops the processes that the fault hits. faultZoneCut is set up by
// startProcess.
func (f *testFleet) injectFault(what fault) {
	isKilled := func(int, *watch.Watcher) bool { return false }
	switch what {
	case faultReadersDead:
		isKilled = func(i int, w *watch.Watcher) bool { return i%zones == 0 && w.Stats().Reader }
	case faultThirdDead:
		isKilled = func(i int, _ *watch.Watcher) bool { return (i/zones)%3 == 0 }
	}
	var alive []*watch.Watcher
	for i, w := range f.watchers {
		if isKilled(i, w) {
			f.stops[i]()
			continue
		}
		alive = append(alive, w)
	}
	f.watchers = alive
}

func (f *testFleet) startProcess(parent context.Context, i int, p trial) error {
	ctx, stop := context.WithCancel(parent)
	l, addr, err := listen()
	if err != nil {
		stop()
		return err
	}
	vm := fleet.VM{
		Name: fmt.Sprintf("side-%03d", i), Role: fleet.RoleSide, Zone: fmt.Sprintf("z%d", i%zones),
		Region: "r", Service: "s", Address: addr, State: fleet.StateLive,
	}
	if err := f.putJSON(ctx, f.vmList, "/control/vms/"+vm.Name, vm); err != nil {
		stop()
		return err
	}
	w := &watch.Watcher{
		Self: &link.Self{VM: vm, Boot: vm.Name}, Clock: clockwork.NewRealClock(), Log: trail.Discard{},
		Metrics: tally.NoopScope, Environment: environment, ConfigService: f.configService, VMListService: f.vmList,
	}
	if p.direct {
		w.VMListService = netip.AddrPort{}
	}
	if p.fault == faultZoneCut && i%zones == 0 {
		w.ConfigService = netip.AddrPort{}
	}
	peers := &link.Listener{Self: w.Self, Net: l, Handlers: map[link.Purpose]link.Handler{link.PurposeConfig: w.Handler()}}
	f.watchers = append(f.watchers, w)
	f.stops = append(f.stops, stop)
	f.wg.Go(func() { _ = peers.Run(ctx) })
	f.wg.Go(func() { _ = w.Run(ctx) })
	return nil
}

// promote writes a document to the configuration service. Each value of change gives
// another timeout to the service in it and leaves the other sections as they are.
func (f *testFleet) promote(ctx context.Context, sections, change int) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[environment]\nname = %s\nstage = trial\n[region.r]\nlink = 25Mbit\n", environment)
	for z := range zones {
		fmt.Fprintf(&b, "[zone.z%d]\nregion = r\n", z)
	}
	fmt.Fprintf(&b, "[service.s]\nkind = plain\ntimeout = %dms\nreplicas.z0 = 1\n", 1000+change)
	for i := range sections {
		fmt.Fprintf(&b, "[customer.customer-%04d]\nshare = 1\n", i)
	}
	return f.putBody(ctx, f.configService, "/control/documents/"+environment, &b)
}

func (f *testFleet) putJSON(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return f.putBody(ctx, addr, path, bytes.NewReader(b))
}

func (f *testFleet) putBody(ctx context.Context, addr netip.AddrPort, path string, body interface{ Read([]byte) (int, error) }) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr.String()+path, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("PUT %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// awaitAll waits until every process has the revision, or a later one, in force.
func (f *testFleet) awaitAll(ctx context.Context, revision uint64) error {
	for _, w := range f.watchers {
		for {
			changed := w.Changed()
			if w.Current().Revision() >= revision {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}
