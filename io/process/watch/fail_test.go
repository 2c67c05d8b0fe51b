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

// awaitLog waits until the process has logged a configuration decision.
func awaitLog(t *testing.T, m *member, action string) {
	t.Helper()
	for !m.log.has(action) {
		if t.Context().Err() != nil {
			t.Fatalf("%s never logged %q", m.Self.VM.Name, action)
		}
		time.Sleep(time.Millisecond)
	}
}

// The operator restarts a process while the configuration service is down:
// it answers no read, and before it went down it had given revision 2. The
// process still gets revision 2, because its peers hold it, and the ones that
// ran on have never lost it.
func TestServiceDownRestartTakesPeersRevision(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(2, document(time.Second))
	all := startFleet(t, p, addr, 3)
	awaitAll(t, all, 2)
	p.change(func() { p.down = true })

	old := all[0]
	old.stop()
	again := newMember(t, old.Self.VM.Name, "z1", addr)
	again.Seeds = []netip.AddrPort{all[1].Self.VM.Address, all[4].Self.VM.Address}
	again.run()
	await(t, again.Watcher, 2)
	for _, m := range all[1:] {
		if diff := cmp.Diff(uint64(2), m.Current().Revision()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", m.Self.VM.Name, diff)
		}
	}
}

// The service comes back from a restart with an older state: it serves
// revision 3 while 5 is in force. The running processes ignore 3 and say so.
// A process that starts then reads 3 from the service and may put it in
// force for a moment, but its peers show 5, and it never goes down again.
func TestStaleServiceDoesNotRevert(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(5, document(5*time.Second))
	all := startFleet(t, p, addr, 2)
	awaitAll(t, all, 5)

	stale, staleAddr := newPlatform(t)
	stale.promote(3, document(3*time.Second))
	fresh := newMember(t, "fresh", "z1", staleAddr)
	fresh.Seeds = []netip.AddrPort{all[0].Self.VM.Address}
	fresh.run()
	await(t, fresh.Watcher, 5)
	if got := fresh.log.inForce(); !slices.IsSorted(got) {
		t.Errorf("fresh put %v in force, want rising revisions", got)
	}

	p.change(func() {
		p.texts[3] = document(3 * time.Second)
		p.pins = []uint64{3, 3, 3, 3}
	})
	p.promote(6, document(6*time.Second))
	awaitAll(t, all, 6)
	for _, m := range all {
		got := m.log.inForce()
		if slices.Contains(got, 3) || !slices.IsSorted(got) {
			t.Errorf("%s put %v in force, want rising revisions without 3", m.Self.VM.Name, got)
		}
	}
}

// Neither the service nor a peer answers a process that starts: it has no
// document and must not pretend to have one. It goes on asking, and takes
// what the service says once it is back.
func TestNobodyAnswersThenServiceDoes(t *testing.T) {
	p, addr := newPlatform(t)
	p.down = true
	m := newMember(t, "alone", "z1", addr)
	m.run()
	awaitLog(t, m, "readFailed")
	if m.Current().Document != nil {
		t.Errorf("document of revision %d is in force, want none", m.Current().Revision())
	}
	p.change(func() { p.down = false })
	p.promote(1, document(time.Second))
	await(t, m.Watcher, 1)
}

// A partition splits the fleet; each half reaches a service of its own, and
// one of the two is behind. Both halves serve on with what they hold. When
// they see each other again, through the VM list, the half that is behind
// takes the higher revision from its peers, though its service still has the
// lower one, and the other half keeps what it has.
func TestPartitionHealsToHighest(t *testing.T) {
	ahead, aheadAddr := newPlatform(t)
	behind, behindAddr := newPlatform(t)
	ahead.promote(8, document(8*time.Second))
	behind.promote(7, document(7*time.Second))
	one := startFleet(t, ahead, aheadAddr, 2)
	two := startNamed(t, behind, behindAddr, 2, "two-")
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
			t.Errorf("%s put %v in force, want rising revisions without 7", m.Self.VM.Name, got)
		}
	}
}

// Two operators promote at the same time. The service orders the two, but
// readers see them in different orders: some are answered with 3 and then,
// late, with 2. All processes end at 3, and none goes from 3 to 2.
func TestRacingPromotionsEndAtHighest(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(1, document(time.Second))
	all := startFleet(t, p, addr, 4)
	awaitAll(t, all, 1)
	p.change(func() {
		p.texts[2] = document(2 * time.Second)
		p.texts[3] = document(3 * time.Second)
		p.revision = 3
		p.pins = []uint64{3, 2, 2, 3, 2, 2}
	})
	awaitAll(t, all, 3)
	for _, m := range all {
		if got := m.log.inForce(); !slices.IsSorted(got) {
			t.Errorf("%s put %v in force, want rising revisions", m.Self.VM.Name, got)
		}
	}
}

// The readers of a zone die while the service and the list are gone for that
// zone, so that nobody there reads any more and the list goes on to name the
// dead. The zone's last process still hears of the next revision, through
// its connection to another zone.
func TestReadersDieZoneHearsFromOther(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(1, document(time.Second))
	all := startFleet(t, p, addr, 4)
	awaitAll(t, all, 1)
	last := newMember(t, "z1-last", "z1", netip.AddrPort{})
	last.Seeds = []netip.AddrPort{all[0].Self.VM.Address, all[5].Self.VM.Address}
	last.run()
	await(t, last.Watcher, 1)
	for _, m := range all[:4] {
		m.stop()
	}
	p.promote(2, document(2*time.Second))
	await(t, last.Watcher, 2)
}

// An operator promotes a document with a fault past the check. Nobody puts
// it in force, the fault is named, and the readers do not ask for it again
// and again, although the service would answer with it at once. The next
// sound revision is taken as usual.
func TestFaultyDocumentIsRefusedOnce(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(1, document(time.Second))
	all := startFleet(t, p, addr, 2)
	awaitAll(t, all, 1)
	p.promote(2, "[environment]\nname = pindan\n")
	p.promote(3, document(3*time.Second))
	awaitAll(t, all, 3)
	p.promote(4, "[environment]\nname = other\nstage = trial\n")
	for !slices.ContainsFunc(all, func(m *member) bool { return m.log.has("refuse") }) {
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

// A connection for calls shows a revision that this process does not hold;
// it has no configuration connection at all, since nobody lists it yet. It
// asks that peer and does not wait for the VM list.
func TestAheadPeerIsAsked(t *testing.T) {
	p, addr := newPlatform(t)
	p.promote(4, document(time.Second))
	ahead := newMember(t, "ahead", "z1", addr)
	ahead.run()
	await(t, ahead.Watcher, 4)
	m := newMember(t, "behind", "z1", netip.AddrPort{})
	m.run()
	calls, err := link.Dial(t.Context(), m.Self, ahead.Self.VM.Address, link.PurposeCalls, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer calls.Close()
	await(t, m.Watcher, 4)
}
