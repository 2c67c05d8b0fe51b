package order

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/uptime"
)

// servingCounter counts the engines of a zone that serve. lowest is the lowest count so
// far.
type servingCounter struct {
	mu      sync.Mutex
	serving int
	lowest  int
}

func (z *servingCounter) add(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.serving += n
	z.lowest = min(z.lowest, z.serving)
}

// fakeEngine has loaded a version at once, but still reports it as loading until its
// state has been read readsToLoad times.
type fakeEngine struct {
	mu             sync.Mutex
	engineState    engineState
	reads          int
	servingCounter *servingCounter
	orderNumbers   []uint64
}

const readsToLoad = 3

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodPost {
		e.acceptOrder(w, r)
		return
	}
	e.reads++
	if e.engineState.Loading != "" && e.reads >= readsToLoad {
		e.engineState.Manifest = e.engineState.Loading
		e.engineState.Loading = ""
		e.servingCounter.add(1)
	}
	_ = json.NewEncoder(w).Encode(e.engineState)
}

func (e *fakeEngine) acceptOrder(w http.ResponseWriter, r *http.Request) {
	var l loadOrder
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if l.Number <= e.engineState.LastOrder {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orderNumbers = append(e.orderNumbers, l.Number)
	e.engineState.LastOrder = l.Number
	e.engineState.Loading = l.Manifest
	e.reads = 0
	e.servingCounter.add(-1)
	w.WriteHeader(http.StatusAccepted)
}

type fixedView struct{ v view.View }

func (f fixedView) Current() view.View       { return f.v }
func (f fixedView) Changed() <-chan struct{} { return nil }

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// Guards against fewer than two replicas that serve, in a zone of three with a floor of
// two, because sides load at the same time: all three get the new weights at the same
// moment and ask each other. Every replica must get to load.
func TestZoneKeepsMinServingDuringRollout(t *testing.T) {
	const replicas, floor = 3, 2
	z := &servingCounter{serving: replicas, lowest: replicas}
	wanted := chunk.DigestOf([]byte("new"))
	v := view.View{Document: &envdoc.Document{
		Revision: 2,
		Models:   []envdoc.Model{{Name: "m", Version: "2", Manifest: wanted}},
		Services: []envdoc.Service{{
			Name:     "helper",
			Kind:     envdoc.KindEngine,
			Model:    "m",
			Floor:    floor,
			Replicas: []envdoc.Placement{{Zone: "z", Replicas: replicas}},
		}},
	}}
	var listeners []net.Listener
	for _, name := range []string{"a", "b", "c"} {
		l, addr := listen(t)
		listeners = append(listeners, l)
		v.VMs = append(v.VMs, fleet.VM{
			Name: name, Role: fleet.RoleSide, Zone: "z", Region: "r",
			Service: "helper", Address: addr, State: fleet.StateLive,
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var controllers []*Controller
	for i, vm := range v.VMs {
		e := &fakeEngine{servingCounter: z, engineState: engineState{Boot: "boot", Manifest: chunk.DigestOf([]byte("old")), LastOrder: 7}}
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		self := &link.Self{VM: vm, Boot: vm.Name}
		self.Revision.Store(2)
		o := &Controller{
			Self: self, Clock: clockwork.NewRealClock(), Uptime: uptime.Now, Log: trail.Discard{}, Source: fixedView{v},
			Engine:           &EngineClient{Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Client: srv.Client()},
			VerifiedManifest: func(chunk.Digest) (chunk.Manifest, bool) { return chunk.Manifest{}, true },
			Draining:         func() bool { return false },
		}
		controllers = append(controllers, o)
		ln := &link.Listener{Self: self, Net: listeners[i], Handlers: map[link.Purpose]link.Handler{link.PurposeOrders: o.Handler()}}
		wg.Go(func() { _ = ln.Run(ctx) })
		wg.Go(func() { _ = o.Run(ctx) })
	}
	for _, o := range controllers {
		waitServing(t, o, wanted)
	}
	cancel()
	wg.Wait()
	if diff := cmp.Diff(floor, z.lowest); diff != "" {
		t.Errorf("least replicas serving (-want +got):\n%s", diff)
	}
}

// waitServing returns once o's target serves d. If that never happens the test's own
// timeout ends it.
func waitServing(t *testing.T, o *Controller, d chunk.Digest) {
	t.Helper()
	for t.Context().Err() == nil {
		if target, ok := o.LastState(); ok && target.Serving == d {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
