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
	"hawthornferry/io/process/uptime"
)

// Guards against sides that poll their engines five times a second although these serve
// the wanted version, and against an engine that lost its weights and is not ordered to
// load until the next poll.
func TestServingEngineIsPolledRarely(t *testing.T) {
	wanted := chunk.DigestOf([]byte("wanted"))
	vm := fleet.VM{Name: "a", Role: fleet.RoleSide, Zone: "z", Region: "r", Service: "helper", State: fleet.StateLive}
	v := view.View{VMs: []fleet.VM{vm}, Document: &envdoc.Document{
		Models: []envdoc.Model{{Name: "m", Version: "1", Manifest: wanted}},
		Services: []envdoc.Service{{
			Name: "helper", Kind: envdoc.KindEngine, Model: "m", Replicas: []envdoc.Placement{{Zone: "z", Replicas: 1}},
		}},
	}}
	e := &fakeEngine{servingCounter: &servingCounter{}, engineState: engineState{Boot: "boot", Manifest: wanted}}
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	o := &Controller{
		Self: &link.Self{VM: vm}, Clock: clockwork.NewRealClock(), Uptime: uptime.Now, Log: trail.Discard{}, Source: fixedView{v},
		Engine:           &EngineClient{Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), Client: srv.Client()},
		VerifiedManifest: func(chunk.Digest) (chunk.Manifest, bool) { return chunk.Manifest{}, true },
		Draining:         func() bool { return false },
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
	polls := e.reads
	e.engineState.Manifest = ""
	e.mu.Unlock()
	if maxPolls := int(span/idleInterval) + 2; polls > maxPolls {
		t.Errorf("asked %d times in %s, want %d at most", polls, span, maxPolls)
	}
	o.Recheck()
	for end := time.Now().Add(idleInterval / 2); e.orderCount() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("an engine without weights was not ordered to load within %s", idleInterval/2)
		}
	}
}

func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orderNumbers)
}
