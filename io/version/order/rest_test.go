package order

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/awake"
)

// Guards against sides that ask their engines five times a second for nothing, and
// against an engine that has lost its weights and waits for the next question.
func TestServingEngineIsAskedSeldom(t *testing.T) {
	wanted := chunk.Sum([]byte("wanted"))
	vm := fleet.VM{Name: "a", Role: fleet.RoleSide, Zone: "z", Region: "r", Service: "helper", State: fleet.StateLive}
	v := view.View{VMs: []fleet.VM{vm}, Document: &envdoc.Document{
		Models: []envdoc.Model{{Name: "m", Version: "1", Manifest: wanted}},
		Services: []envdoc.Service{{
			Name: "helper", Kind: envdoc.KindEngine, Model: "m", Replicas: []envdoc.Placement{{Zone: "z", Replicas: 1}},
		}},
	}}
	e := &fakeEngine{zone: &zone{}, state: state{Boot: "boot", Manifest: wanted}}
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	o := &Orderer{
		Self: &link.Self{VM: vm}, Clock: clockwork.NewRealClock(), Awake: awake.Now, Log: trail.Discard{}, Source: fixedView{v},
		Engine:   &Engine{Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Client: srv.Client()},
		Verified: func(chunk.Digest) (chunk.Manifest, bool) { return chunk.Manifest{}, true },
		Draining: func() bool { return false },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = o.Run(ctx) })
	waitServing(t, o, wanted)
	const span = 3 * time.Second
	time.Sleep(span)
	e.mu.Lock()
	asked := e.reads
	e.state.Manifest = ""
	e.mu.Unlock()
	if most := int(span/restEvery) + 2; asked > most {
		t.Errorf("asked %d times in %s, want %d at most", asked, span, most)
	}
	o.Notice()
	for end := time.Now().Add(restEvery / 2); e.orders() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("an engine without weights was not ordered to load within %s", restEvery/2)
		}
	}
}

func (e *fakeEngine) orders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.numbers)
}
