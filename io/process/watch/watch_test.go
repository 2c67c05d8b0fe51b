package watch

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/link"
)

func newWatcher(name, zone string) *Watcher {
	self := &link.Self{Boot: name + "-boot"}
	self.VM = fleet.VM{
		Name: name, Role: fleet.RoleSide, Zone: zone, Region: "r", Service: "booking",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive,
	}
	return &Watcher{
		Self: self, Clock: clockwork.NewRealClock(), Log: trail.Discard{},
		Metrics: tally.NoopScope, Environment: "pindan",
	}
}

// await waits until the watcher holds the revision, or fails when the test's
// context ends.
func await(t *testing.T, w *Watcher, revision uint64) {
	t.Helper()
	for {
		changed := w.Changed()
		if w.Current().Revision() >= revision {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatalf("%s holds revision %d, want %d", w.Self.VM.Name, w.Current().Revision(), revision)
		}
	}
}

func TestReadsDocumentAndList(t *testing.T) {
	p, addr := newPlatform(t)
	vm := newWatcher("a", "z1").Self.VM
	p.vms = []fleet.VM{vm}
	p.promote(3, document(time.Second))
	w := newWatcher("a", "z1")
	w.ConfigService, w.VMListService = addr, addr
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	await(t, w, 3)
	p.promote(4, document(2*time.Second))
	await(t, w, 4)
	s, _ := w.Current().Document.ServiceByName("booking")
	if diff := cmp.Diff(2*time.Second, s.Timeout); diff != "" {
		t.Errorf("timeout (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(uint64(4), w.Self.Revision.Load()); diff != "" {
		t.Errorf("revision shown to peers (-want +got):\n%s", diff)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestFleetFollowsPromotions(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(1, document(time.Second))
	all := startFleet(t, p, addr, 8)
	awaitAll(t, all, 1)
	for r := uint64(2); r < 6; r++ {
		p.promote(r, document(time.Duration(r)*time.Second))
		awaitAll(t, all, r)
	}
	for _, m := range all {
		if got := m.log.inForce(); !slices.IsSorted(got) {
			t.Errorf("%s put %v in force, want increasing revisions", m.Self.VM.Name, got)
		}
	}
}
