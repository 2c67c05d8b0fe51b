package watch

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
	"hawthornferry/io/conn/link"
)

// awaitLog waits until the process has logged a configuration decision with the
// given action.
func awaitLog(t *testing.T, m *testProcess, action string) {
	t.Helper()
	for !m.log.has(action) {
		if t.Context().Err() != nil {
			t.Fatalf("%s never logged %q", m.Self.VM.Name, action)
		}
		time.Sleep(time.Millisecond)
	}
}

// A process is restarted while the configuration service is down. It must get
// revision 2, which the service had published before, from its peers, and the
// processes that kept running must not lose it.
func TestServiceDownRestartTakesPeersRevision(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(2, document(time.Second))
	all := startFleet(t, p, addr, 3)
	awaitAll(t, all, 2)
	p.change(func() { p.down = true })

	old := all[0]
	old.stop()
	again := newTestProcess(t, old.Self.VM.Name, "z1", addr)
	again.Seeds = []netip.AddrPort{all[1].Self.VM.Address, all[4].Self.VM.Address}
	again.run()
	await(t, again.Watcher, 2)
	for _, m := range all[1:] {
		if diff := cmp.Diff(uint64(2), m.Current().Revision()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", m.Self.VM.Name, diff)
		}
	}
}

// The service is restored with an older state: it serves revision 3 while 5 is
// in force. The running processes must ignore revision 3. A process that starts
// then may put 3 in force for a moment, but must get 5 from its peers and never
// go back to 3.
func TestStaleServiceDoesNotRevert(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(5, document(5*time.Second))
	all := startFleet(t, p, addr, 2)
	awaitAll(t, all, 5)

	stale, staleAddr := newPlatform(t)
	stale.promote(3, document(3*time.Second))
	fresh := newTestProcess(t, "fresh", "z1", staleAddr)
	fresh.Seeds = []netip.AddrPort{all[0].Self.VM.Address}
	fresh.run()
	await(t, fresh.Watcher, 5)
	if got := fresh.log.inForce(); !slices.IsSorted(got) {
		t.Errorf("fresh put %v in force, want increasing revisions", got)
	}

	p.change(func() {
		p.texts[3] = document(3 * time.Second)
		p.forcedRevisions = []uint64{3, 3, 3, 3}
	})
	p.promote(6, document(6*time.Second))
	awaitAll(t, all, 6)
	for _, m := range all {
		got := m.log.inForce()
		if slices.Contains(got, 3) || !slices.IsSorted(got) {
			t.Errorf("%s put %v in force, want increasing revisions without 3", m.Self.VM.Name, got)
		}
	}
}

// A process starts while neither the service nor a peer answers. It must not
// put any document in force, must keep retrying, and must read the document
// once the service is back.
func TestNobodyAnswersThenServiceDoes(t *testing.T) {
	p, addr := newPlatform(t)
	p.down = true
	m := newTestProcess(t, "alone", "z1", addr)
	m.run()
	awaitLog(t, m, "readFailed")
	if m.Current().Document != nil {
		t.Errorf("document of revision %d is in force, want none", m.Current().Revision())
	}
	p.change(func() { p.down = false })
	p.promote(1, document(time.Second))
	await(t, m.Watcher, 1)
}

// A partition splits the fleet. Each half reaches a service of its own, one of
// which has an older revision, and both halves keep what they have. When the VM
// list shows each half the other one, the half that is behind must take the
// higher revision from its peers, though its service still serves the lower
// one, and the other half must keep its revision.
func TestPartitionHealsToHighest(t *testing.T) {
	ahead, aheadAddr := newPlatform(t)
	behind, behindAddr := newPlatform(t)
	ahead.promote(8, document(8*time.Second))
	behind.promote(7, document(7*time.Second))
	one := startFleet(t, ahead, aheadAddr, 2)
	two := startFleetWithPrefix(t, behind, behindAddr, 2, "two-")
	awaitAll(t, one, 8)
	awaitAll(t, two, 7)

	var vms []fleet.VM
	for _, m := range slices.Concat(one, two) {
		vms = append(vms, m.Self.VM)
	}
	ahead.change(func() { ahead.vms = vms })
	behind.change(func() { behind.vms = vms })
	awaitAll(t, two, 8)
	for _, m := range one {
		if got := m.log.inForce(); !slices.IsSorted(got) || slices.Contains(got, 7) {
			t.Errorf("%s put %v in force, want increasing revisions without 7", m.Self.VM.Name, got)
		}
	}
}

// Two operators promote at the same time. The service orders the two revisions,
// but readers see them in different orders: some get 3 and then, late, 2. All
// processes must end at 3, and none may go from 3 back to 2.
func TestRacingPromotionsEndAtHighest(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(1, document(time.Second))
	all := startFleet(t, p, addr, 4)
	awaitAll(t, all, 1)
	p.change(func() {
		p.texts[2] = document(2 * time.Second)
		p.texts[3] = document(3 * time.Second)
		p.revision = 3
		p.forcedRevisions = []uint64{3, 2, 2, 3, 2, 2}
	})
	awaitAll(t, all, 3)
	for _, m := range all {
		if got := m.log.inForce(); !slices.IsSorted(got) {
			t.Errorf("%s put %v in force, want increasing revisions", m.Self.VM.Name, got)
		}
	}
}

// All readers of a zone stop, and the one process that remains there can't
// reach the service or the VM list, which still names the stopped ones. It must
// get the next revision through its connection to another zone.
func TestZoneWithoutReadersLearnsFromOtherZone(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(1, document(time.Second))
	all := startFleet(t, p, addr, 4)
	awaitAll(t, all, 1)
	remaining := newTestProcess(t, "z1-last", "z1", netip.AddrPort{})
	remaining.Seeds = []netip.AddrPort{all[0].Self.VM.Address, all[5].Self.VM.Address}
	remaining.run()
	await(t, remaining.Watcher, 1)
	for _, m := range all[:4] {
		m.stop()
	}
	p.promote(2, document(2*time.Second))
	await(t, remaining.Watcher, 2)
}

// A faulty document is promoted, having passed the check before promotion. No
// process may put it in force, the refusal must be logged, and the readers must
// not request it again and again, although the service would return it at once.
// The next valid revision must be adopted as usual.
func TestFaultyDocumentIsRefusedOnce(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(1, document(time.Second))
	all := startFleet(t, p, addr, 2)
	awaitAll(t, all, 1)
	p.promote(2, "[environment]\nname = pindan\n")
	p.promote(3, document(3*time.Second))
	awaitAll(t, all, 3)
	p.promote(4, "[environment]\nname = other\nstage = trial\n")
	for !slices.ContainsFunc(all, func(m *testProcess) bool { return m.log.has("refuse") }) {
		time.Sleep(time.Millisecond)
	}
	p.promote(5, document(5*time.Second))
	awaitAll(t, all, 5)
	for _, m := range all {
		if got := m.log.inForce(); slices.Contains(got, 2) || slices.Contains(got, 4) {
			t.Errorf("%s put %v in force, want neither 2 nor 4", m.Self.VM.Name, got)
		}
	}
}

// A process that is in nobody's VM list has no configuration connection, but a
// connection for calls shows that its peer has a higher revision. It must ask
// that peer at once, not wait for the VM list.
func TestPeerWithHigherRevisionIsAsked(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(4, document(time.Second))
	ahead := newTestProcess(t, "ahead", "z1", addr)
	ahead.run()
	await(t, ahead.Watcher, 4)
	m := newTestProcess(t, "behind", "z1", netip.AddrPort{})
	m.run()
	calls, err := link.Dial(t.Context(), m.Self, ahead.Self.VM.Address, link.PurposeCalls, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer calls.Close()
	await(t, m.Watcher, 4)
}
