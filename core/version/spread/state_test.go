package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
)

// Whatever the number of sides, each chunk is fetched from the origin once and
// enters each other region once, and every side completes the version.
func TestEachChunkLeavesOriginOnce(t *testing.T) {
	tests := []struct {
		name    string
		regions []string
	}{
		{"one side", regionNames(1)},
		{"one region", regionNames(5)},
		{"three regions", regionNames(2, 1, 1)},
		{"three larger regions", regionNames(9, 8, 7)},
		{"none in the origin's region", regionNames(0, 3, 4)},
		{"five regions", regionNames(3, 3, 3, 3, 3)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			n := newNetwork(t, tc.regions...)
			v := testVersion("1", 0, 24).withMembers(n.members())
			n.update(v)
			n.runUntil(n.allComplete(v.ID))
			if diff := cmp.Diff(24, n.originFetches()); diff != "" {
				t.Errorf("requests to the origin (-want +got):\n%s", diff)
			}
		})
	}
}

// If the document prefers short time to few origin bytes, more is fetched from the
// origin, but never more than the first copy and maxExtraCopies further ones.
func TestWeighTimeFetchesAtMostFourCopies(t *testing.T) {
	for _, regions := range [][]string{regionNames(1), regionNames(2, 1, 1), regionNames(6), regionNames(9, 8, 7)} {
		n := newNetwork(t, regions...)
		for _, s := range n.sides {
			s.state.SetGoal(envdoc.GoalTime)
		}
		v := testVersion("1", 0, 24).withMembers(n.members())
		n.update(v)
		n.runUntil(n.allComplete(v.ID))
		if got := n.originFetches(); got < 24 || got > 4*24 {
			t.Errorf("%d sides: %d origin requests, want 24 to 96", len(regions), got)
		}
	}
}

// Two sides of a region stop midway, one of them before it has fetched its chunks
// from the origin. Peers see their connections close. Once the chunks of the stopped
// sides are overdue the next in rank fetch them, and the remaining sides complete.
func TestSidesStopMidTransfer(t *testing.T) {
	n := newNetwork(t, regionNames(5, 4, 4)...)
	v := testVersion("1", 0, 40).withMembers(n.members())
	n.update(v)
	n.runUntil(func() bool { return n.originFetches() > 10 })
	n.kill("side01")
	n.kill("side06")
	n.runUntil(n.allComplete(v.ID))
}

// A peer sends nothing but corrupt chunks. Each is rejected on arrival, the peer is
// avoided for longer and longer, and the chunks come from others.
func TestCorruptPeerIsAvoided(t *testing.T) {
	n := newNetwork(t, regionNames(6)...)
	bad := 0
	n.corrupt = func(from, _ string) bool {
		if from == "side02" {
			bad++
		}
		return from == "side02"
	}
	v := testVersion("1", 0, 60).withMembers(n.members())
	n.update(v)
	n.runUntil(n.allComplete(v.ID))
	if bad == 0 || bad > 40 {
		t.Errorf("asked the corrupt peer %d times, want a few", bad)
	}
}

// The links of two sides stall: what is requested from them never comes. Each transfer
// is stopped at its deadline and requested from another source.
func TestStalledTransfersMoveToOtherPeers(t *testing.T) {
	n := newNetwork(t, regionNames(4, 3, 3)...)
	n.stalled = func(from, _ string) bool { return from == "side01" || from == "side05" }
	v := testVersion("1", 0, 30).withMembers(n.members())
	n.update(v)
	n.runUntil(n.allComplete(v.ID))
}

// The link between the only two sides of a region stalls for good midway. Each gets the
// rest over the region link, within a time that the faults of its neighbour do not
// prolong.
func TestOnlyNeighbourStalls(t *testing.T) {
	n := newNetwork(t, regionNames(3, 2)...)
	stalled := false
	n.stalled = func(from, to string) bool { return stalled && key(from, to) == key("side03", "side04") }
	v := testVersion("1", 0, 120).withMembers(n.members())
	n.update(v)
	n.runUntil(func() bool { return n.originFetches() > 60 })
	stalled = true
	begin := n.now
	n.runUntil(n.allComplete(v.ID))
	if got := n.now - begin; got > 20*time.Second {
		t.Errorf("complete after %v of simulated time, want at most 20s", got)
	}
}

// While version 1 is in transfer the document changes to version 2, which shares half the
// chunks. Transfers of the other chunks are stopped and those held are discarded; shared
// chunks are not fetched again.
func TestVersionChangesMidTransfer(t *testing.T) {
	n := newNetwork(t, regionNames(3, 3)...)
	one := testVersion("1", 0, 40).withMembers(n.members())
	two := testVersion("2", 20, 40).withMembers(n.members())
	n.update(one)
	n.runUntil(func() bool { return n.originFetches() > 30 })
	n.update(two)
	n.runUntil(n.allComplete(two.ID))
	for _, s := range n.sides {
		for d, k := range s.fetched {
			if k > 1 {
				t.Errorf("%s fetched %s %d times, want once", s.Name, d, k)
			}
		}
		checkUnwantedDiscarded(t, s, two)
	}
}

func checkUnwantedDiscarded(t *testing.T, s *fakeSide, v WantedVersion) {
	t.Helper()
	wanted := map[chunk.Digest]bool{}
	for _, ref := range v.Manifest.Chunks {
		wanted[ref.Digest] = true
	}
	for d := range s.fetched {
		if !wanted[d] && !slices.Contains(s.discarded, d) {
			t.Errorf("%s still holds %s, which no version wants", s.Name, d)
		}
	}
}

// The document changes to version 2, whose manifest has not been read yet. Version 1
// is kept meanwhile, but nothing more of it is fetched.
func TestKeptVersionIsNotFetched(t *testing.T) {
	n := newNetwork(t, regionNames(3)...)
	v := testVersion("1", 0, 40).withMembers(n.members())
	n.update(v)
	n.runUntil(func() bool { return n.originFetches() > 8 })
	v.KeepOnly = true
	n.update(v)
	begin := n.now
	n.runUntil(func() bool { return n.now > begin+time.Second })
	before := n.originFetches()
	n.runUntil(func() bool { return n.now > begin+20*time.Second })
	if diff := cmp.Diff(before, n.originFetches()); diff != "" {
		t.Errorf("origin requests (-want +got):\n%s", diff)
	}
	v.KeepOnly = false
	n.update(v)
	n.runUntil(n.allComplete(v.ID))
}

// The version is withdrawn during the transfer: every transfer is stopped and every
// chunk discarded.
func TestVersionWithdrawnMidTransfer(t *testing.T) {
	n := newNetwork(t, regionNames(3)...)
	n.update(testVersion("1", 0, 20).withMembers(n.members()))
	n.runUntil(func() bool { return n.originFetches() > 8 })
	n.update()
	for _, s := range n.sides {
		checkUnwantedDiscarded(t, s, WantedVersion{})
		if diff := cmp.Diff(0, len(s.state.chunks)); diff != "" {
			t.Errorf("%s: chunks left (-want +got):\n%s", s.Name, diff)
		}
	}
}

// A side joins when the others are complete. It gets everything from its region
// and nothing more is requested from the origin.
func TestSideJoinsLate(t *testing.T) {
	n := newNetwork(t, regionNames(3, 3)...)
	v := testVersion("1", 0, 20)
	n.update(v.withMembers(n.members()))
	n.runUntil(n.allComplete(v.ID))
	n.add("side99", "r2", 99)
	n.update(v.withMembers(n.members()))
	n.runUntil(n.allComplete(v.ID))
	if diff := cmp.Diff(20, n.originFetches()); diff != "" {
		t.Errorf("requests to the origin (-want +got):\n%s", diff)
	}
}

// A region loses both the other regions and the origin for a while. The others complete
// meanwhile; when the partition ends the region catches up.
func TestPartitionedRegionCatchesUp(t *testing.T) {
	n := newNetwork(t, regionNames(3, 3, 3)...)
	apart := true
	inR3 := func(name string) bool { return n.sides[name].Region == "r3" }
	n.linkDown = func(a, b string) bool { return apart && inR3(a) != inR3(b) }
	n.origin = func(to string, _ chunk.Digest, _ int) (bool, time.Duration) { return !apart || !inR3(to), 0 }
	v := testVersion("1", 0, 30).withMembers(n.members())
	n.update(v)
	n.runUntil(func() bool {
		for name, s := range n.sides {
			if got, _ := s.state.Progress(v.ID); !inR3(name) && got.Held < got.Total {
				return false
			}
		}
		return true
	})
	apart = false
	n.runUntil(n.allComplete(v.ID))
}

// The origin answers the first request for a chunk with 429 and a Retry-After. The
// side does not repeat the request earlier, and the version completes.
func TestRetryAfterOfOriginIsHonoured(t *testing.T) {
	const after = 2 * time.Second
	n := newNetwork(t, regionNames(3)...)
	first := map[string]time.Duration{}
	n.origin = func(to string, d chunk.Digest, _ int) (bool, time.Duration) {
		k := to + string(d)
		at, again := first[k]
		if !again {
			first[k] = n.now
			return false, after
		}
		if n.now-at < after {
			t.Errorf("%s repeated its request after %v, want %v or more", to, n.now-at, after)
		}
		return true, 0
	}
	v := testVersion("1", 0, 10).withMembers(n.members())
	n.update(v)
	n.runUntil(n.allComplete(v.ID))
}

// The origin is unavailable for six seconds just after a version was published. Every
// side finds the chunks of those before it overdue and its own attempts fail; sides of
// other regions wait for chunks that nobody has. When the origin returns each chunk
// must be fetched once, as without an outage: if all sides fetched all chunks, the
// origin's link would be shared by all copies, and the version would miss the time by
// which it must be served.
func TestOriginReturnsAfterOutage(t *testing.T) {
	const (
		outage = 6 * time.Second
		sides  = 6
		chunks = 96
		// spare allows for the chunks that are due as the origin returns: each
		// other side may just be requesting them too.
		spare = DefaultOriginSlots * (sides - 1)
	)
	n := newNetwork(t, regionNames(sides, sides, sides)...)
	sent := 0
	n.origin = func(string, chunk.Digest, int) (bool, time.Duration) {
		if n.now >= outage {
			sent++
		}
		return n.now >= outage, 0
	}
	v := testVersion("1", 0, chunks).withMembers(n.members())
	n.update(v)
	n.runUntil(n.allComplete(v.ID))
	if sent > chunks+spare {
		t.Errorf("the origin sent %d chunks of a version of %d", sent, chunks)
	}
	// A side may have just begun its longest retry delay when the origin returns.
	if most := outage + DefaultMaxBackoff + 2*time.Second; n.now > most {
		t.Errorf("complete after %v, want %v at most", n.now, most)
	}
}

// A peer announces chunks that it does not hold. The claim is forgotten after the
// first failed transfer, and the chunk comes from another source.
func TestFalseClaimIsForgotten(t *testing.T) {
	n := newNetwork(t, regionNames(3)...)
	v := testVersion("1", 0, 8).withMembers(n.members())
	liar := n.sides["side02"]
	liar.dead = true
	n.update(v)
	s := n.sides["side00"]
	all := NewBits(8)
	for i := range 8 {
		all.Set(i)
	}
	s.state.PeerConnected(n.time(), liar.Member)
	s.state.ChunkSetsReceived(n.time(), "side02", v.ID, all, nil)
	got := s.state.OfferReceived(n.time(), "side02")
	f, ok := got[0].(Fetch)
	if !ok {
		t.Fatalf("answer to an offer is %T, want Fetch", got[0])
	}
	s.state.TransferFailed(n.time(), f.Chunk.Digest, "side02", FailNotHeld, 0)
	i := slices.Index(v.Manifest.Chunks, f.Chunk)
	if s.state.peers["side02"].heldChunks[v.ID].Has(i) {
		t.Error("the false claim was not dropped")
	}
	n.runUntil(n.allComplete(v.ID))
}

// A side's own link is overloaded: a transfer waits there for seconds before it is
// requested. That is not recorded as a fault of the source, which is asked again.
func TestLocalQueueTimeIsNotAPeerFault(t *testing.T) {
	n := newNetwork(t, regionNames(2)...)
	v := testVersion("1", 0, 1).withMembers(n.members())
	s, peer := n.sides["side00"], n.sides["side01"]
	s.state.Update(n.time(), []WantedVersion{v})
	s.state.PeerConnected(n.time(), peer.Member)
	held := NewBits(1)
	held.Set(0)
	s.state.ChunkSetsReceived(n.time(), peer.Name, v.ID, held, nil)
	d := v.Manifest.Chunks[0].Digest
	// The request to the origin that began with the update must end first.
	s.state.TransferFailed(n.time(), d, "", FailQueueTimeout, 0)
	if _, ok := s.state.OfferReceived(n.time(), peer.Name)[0].(Fetch); !ok {
		t.Fatal("the offer was not accepted")
	}
	n.now += s.state.startTimeout(ViaTrade) + time.Second
	s.state.Tick(n.time())
	if s.state.chunks[d].source != peer.Name {
		t.Errorf("the transfer was stopped while it waited for this side's own link")
	}
	n.now += 2 * maxQueueBackoffs * DefaultMaxBackoff
	s.state.Tick(n.time())
	if got := s.state.peers[peer.Name].consecutiveFaults + s.state.chunks[d].failedTrades; got != 0 {
		t.Errorf("%d faults of the source were recorded, want none", got)
	}
}

// A peer answers again and again that it does not hold a chunk yet, and never sends it.
// The import waits there for a bounded time and is then requested again.
func TestImportLeavesPeerThatKeepsDeferring(t *testing.T) {
	n := newNetwork(t, regionNames(1, 1)...)
	v := testVersion("1", 0, 1).withMembers(n.members())
	s := n.sides["side01"]
	var began bool
	for _, a := range s.state.Update(n.time(), []WantedVersion{v}) {
		f, ok := a.(Fetch)
		began = began || ok && f.Via == ViaImport
	}
	if !began {
		t.Fatal("no import was begun")
	}
	d := v.Manifest.Chunks[0].Digest
	s.state.RequestSent(n.time(), d)
	for end := n.now + 2*cutOffFactor*s.state.startTimeout(ViaImport); n.now < end; n.now += tickTime {
		s.state.ImportDeferred(n.time(), d, "side00")
		s.state.Tick(n.time())
	}
	if s.state.chunks[d].deferrals == 0 {
		t.Error("the import was never deferred at its deadline")
	}
}
