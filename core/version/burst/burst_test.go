package burst

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/version/chunk"
)

// Whatever the number of sides, each chunk is drawn from the origin once and
// enters each other region once, and every side ends whole.
func TestOneCopyWhateverTheNumberOfSides(t *testing.T) {
	tests := []struct {
		name    string
		regions []string
	}{
		{"one side", regionsOf(1)},
		{"one region", regionsOf(5)},
		{"three regions", regionsOf(2, 1, 1)},
		{"three larger regions", regionsOf(9, 8, 7)},
		{"none in the origin's region", regionsOf(0, 3, 4)},
		{"five regions", regionsOf(3, 3, 3, 3, 3)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			n := newNetwork(t, tc.regions...)
			v := version("1", 0, 24).of(n.members())
			n.update(v)
			n.until(n.whole(v.ID))
			if diff := cmp.Diff(24, n.draws()); diff != "" {
				t.Errorf("draws from the origin (-want +got):\n%s", diff)
			}
		})
	}
}

// With time weighed over origin bytes more is drawn, but never more than the
// four copies that the origin's link carries.
func TestTimeDrawsWithinFourCopies(t *testing.T) {
	for _, regions := range [][]string{regionsOf(1), regionsOf(2, 1, 1), regionsOf(6), regionsOf(9, 8, 7)} {
		n := newNetwork(t, regions...)
		for _, s := range n.sides {
			s.state.SetWeigh(envdoc.WeighTime)
		}
		v := version("1", 0, 24).of(n.members())
		n.update(v)
		n.until(n.whole(v.ID))
		if got := n.draws(); got < 24 || got > 4*24 {
			t.Errorf("%d sides: %d draws, want 24 to 96", len(regions), got)
		}
	}
}

// Two sides of a region die half way, one of them before it has drawn its
// chunks. Peers see their connections close; once the dead drawers' turns are
// overdue the next in rank step in, and the living end whole.
func TestSidesDieMidway(t *testing.T) {
	n := newNetwork(t, regionsOf(5, 4, 4)...)
	v := version("1", 0, 40).of(n.members())
	n.update(v)
	n.until(func() bool { return n.draws() > 10 })
	n.kill("side01")
	n.kill("side06")
	n.until(n.whole(v.ID))
}

// A peer sends nothing but corrupt chunks. Each is refused on arrival, the
// peer is left alone for longer and longer, and the chunks come from others.
func TestCorruptPeerIsLeftAlone(t *testing.T) {
	n := newNetwork(t, regionsOf(6)...)
	bad := 0
	n.corrupt = func(from, _ string) bool {
		if from == "side02" {
			bad++
		}
		return from == "side02"
	}
	v := version("1", 0, 60).of(n.members())
	n.update(v)
	n.until(n.whole(v.ID))
	if bad == 0 || bad > 40 {
		t.Errorf("asked the corrupt peer %d times, want a few", bad)
	}
}

// One side's links stall: what is asked of it never comes. Each transfer is
// given up at its deadline and asked for elsewhere.
func TestStalledTransfersAreAskedForElsewhere(t *testing.T) {
	n := newNetwork(t, regionsOf(4, 3, 3)...)
	n.stall = func(from, _ string) bool { return from == "side01" || from == "side05" }
	v := version("1", 0, 30).of(n.members())
	n.update(v)
	n.until(n.whole(v.ID))
}

// The link between the only two sides of a region stalls for good, half way.
// Each gets the rest over the region link, within a time that the faults of
// its neighbour do not stretch.
func TestOnlyNeighbourStalls(t *testing.T) {
	n := newNetwork(t, regionsOf(3, 2)...)
	stalled := false
	n.stall = func(from, to string) bool { return stalled && key(from, to) == key("side03", "side04") }
	v := version("1", 0, 120).of(n.members())
	n.update(v)
	n.until(func() bool { return n.draws() > 60 })
	stalled = true
	begin := n.now
	n.until(n.whole(v.ID))
	if got := n.now - begin; got > 20*time.Second {
		t.Errorf("whole after %v of virtual time, want at most 20s", got)
	}
}

// While version 1 is in flight the document names version 2, which shares
// half the chunks. Transfers of the rest are stopped and what is held of them
// is discarded; shared chunks are not fetched again.
func TestVersionChangesMidway(t *testing.T) {
	n := newNetwork(t, regionsOf(3, 3)...)
	one := version("1", 0, 40).of(n.members())
	two := version("2", 20, 40).of(n.members())
	n.update(one)
	n.until(func() bool { return n.draws() > 30 })
	n.update(two)
	n.until(n.whole(two.ID))
	for _, s := range n.sides {
		for d, k := range s.fetched {
			if k > 1 {
				t.Errorf("%s fetched %s %d times, want once", s.Name, d, k)
			}
		}
		checkOnlyWanted(t, s, two)
	}
}

func checkOnlyWanted(t *testing.T, s *fakeSide, v Set) {
	t.Helper()
	wanted := map[chunk.Digest]bool{}
	for _, ref := range v.Manifest.Chunks {
		wanted[ref.Digest] = true
	}
	for d := range s.fetched {
		if !wanted[d] && !slices.Contains(s.dropped, d) {
			t.Errorf("%s still holds %s, which no version wants", s.Name, d)
		}
	}
}

// The document names version 2, whose manifest is not yet read. Version 1 is
// kept meanwhile, but nothing more of it is fetched.
func TestKeptVersionIsNotFetched(t *testing.T) {
	n := newNetwork(t, regionsOf(3)...)
	v := version("1", 0, 40).of(n.members())
	n.update(v)
	n.until(func() bool { return n.draws() > 8 })
	v.Keep = true
	n.update(v)
	begin := n.now
	n.until(func() bool { return n.now > begin+time.Second })
	before := n.draws()
	n.until(func() bool { return n.now > begin+20*time.Second })
	if diff := cmp.Diff(before, n.draws()); diff != "" {
		t.Errorf("draws (-want +got):\n%s", diff)
	}
	v.Keep = false
	n.update(v)
	n.until(n.whole(v.ID))
}

// The version is withdrawn in mid-flight: every transfer is stopped and every
// chunk discarded.
func TestVersionWithdrawnMidway(t *testing.T) {
	n := newNetwork(t, regionsOf(3)...)
	n.update(version("1", 0, 20).of(n.members()))
	n.until(func() bool { return n.draws() > 8 })
	n.update()
	for _, s := range n.sides {
		checkOnlyWanted(t, s, Set{})
		if diff := cmp.Diff(0, len(s.state.items)); diff != "" {
			t.Errorf("%s chunks left (-want +got):\n%s", s.Name, diff)
		}
	}
}

// A side joins when the others are whole. It gets everything from its region
// and the origin is not asked again.
func TestSideJoinsLate(t *testing.T) {
	n := newNetwork(t, regionsOf(3, 3)...)
	v := version("1", 0, 20)
	n.update(v.of(n.members()))
	n.until(n.whole(v.ID))
	n.add("side99", "r2", 99)
	n.update(v.of(n.members()))
	n.until(n.whole(v.ID))
	if diff := cmp.Diff(20, n.draws()); diff != "" {
		t.Errorf("draws from the origin (-want +got):\n%s", diff)
	}
}

// A region loses both the other regions and the origin for a while. The rest
// end whole meanwhile; when the partition ends the region catches up, and no
// more is drawn than the failed tries asked for.
func TestPartitionAndItsEnd(t *testing.T) {
	n := newNetwork(t, regionsOf(3, 3, 3)...)
	apart := true
	inR3 := func(name string) bool { return n.sides[name].Region == "r3" }
	n.cut = func(a, b string) bool { return apart && inR3(a) != inR3(b) }
	n.origin = func(to string, _ chunk.Digest, _ int) (bool, time.Duration) { return !apart || !inR3(to), 0 }
	v := version("1", 0, 30).of(n.members())
	n.update(v)
	n.until(func() bool {
		for name, s := range n.sides {
			if got, _ := s.state.Tally(v.ID); !inR3(name) && got.Have < got.Total {
				return false
			}
		}
		return true
	})
	apart = false
	n.until(n.whole(v.ID))
}

// The origin answers every first draw of a chunk with 429 and a Retry-After.
// The side that drew comes back no sooner, and the version gets through.
func TestOriginRefusesFirstDraws(t *testing.T) {
	const after = 2 * time.Second
	n := newNetwork(t, regionsOf(3)...)
	first := map[string]time.Duration{}
	n.origin = func(to string, d chunk.Digest, _ int) (bool, time.Duration) {
		k := to + string(d)
		at, again := first[k]
		if !again {
			first[k] = n.now
			return false, after
		}
		if n.now-at < after {
			t.Errorf("%s came back after %v, want %v", to, n.now-at, after)
		}
		return true, 0
	}
	v := version("1", 0, 10).of(n.members())
	n.update(v)
	n.until(n.whole(v.ID))
}

// The origin is away for six seconds just after a version was named. Every side
// finds the turns before its own overdue and tries in vain; sides of other regions
// wait for chunks that nobody has. When the origin is back each chunk must leave it
// once, as on any day: drawn by all at once it takes as many times longer, and
// the version misses the time by which it is to be served.
func TestOriginReturnsAfterOutage(t *testing.T) {
	const (
		outage = 6 * time.Second
		sides  = 6
		chunks = 96
		// spare is for the chunks whose turn it is as the origin returns: each
		// other side may just be trying them too.
		spare = DefaultDraws * (sides - 1)
	)
	n := newNetwork(t, regionsOf(sides, sides, sides)...)
	sent := 0
	n.origin = func(string, chunk.Digest, int) (bool, time.Duration) {
		if n.now >= outage {
			sent++
		}
		return n.now >= outage, 0
	}
	v := version("1", 0, chunks).of(n.members())
	n.update(v)
	n.until(n.whole(v.ID))
	if sent > chunks+spare {
		t.Errorf("the origin sent %d chunks for %d", sent, chunks)
	}
	// A side may have just begun its longest pause when the origin returns.
	if most := outage + DefaultMostPause + 2*time.Second; n.now > most {
		t.Errorf("whole after %v, want %v at most", n.now, most)
	}
}

// A peer claims in its map to hold what it has not. The claim is forgotten
// after the first refusal, and the chunk comes from where it really is.
func TestClaimsThatAreFalseAreForgotten(t *testing.T) {
	n := newNetwork(t, regionsOf(3)...)
	v := version("1", 0, 8).of(n.members())
	liar := n.sides["side02"]
	liar.dead = true
	n.update(v)
	s := n.sides["side00"]
	all := NewBits(8)
	for i := range 8 {
		all.Set(i)
	}
	s.state.Connected(n.time(), liar.Member)
	s.state.Greeted(n.time(), "side02", v.ID, all, nil)
	got := s.state.Offered(n.time(), "side02")
	f, ok := got[0].(Fetch)
	if !ok {
		t.Fatalf("answer to an offer is %T, want Fetch", got[0])
	}
	s.state.Failed(n.time(), f.Chunk.Digest, "side02", FailLacks, 0)
	i := slices.Index(v.Manifest.Chunks, f.Chunk)
	if s.state.peers["side02"].maps[v.ID].Has(i) {
		t.Error("the false claim is still believed")
	}
	n.until(n.whole(v.ID))
}

// A side's own link is choked: a transfer waits there for seconds before its
// source is asked. The source is not blamed for it, and is asked again.
func TestQueueOfOwnBlamesNobody(t *testing.T) {
	n := newNetwork(t, regionsOf(2)...)
	v := version("1", 0, 1).of(n.members())
	s, peer := n.sides["side00"], n.sides["side01"]
	s.state.Update(n.time(), []Set{v})
	s.state.Connected(n.time(), peer.Member)
	held := NewBits(1)
	held.Set(0)
	s.state.Greeted(n.time(), peer.Name, v.ID, held, nil)
	d := v.Manifest.Chunks[0].Digest
	// The draw from the origin that began with the update has to make way.
	s.state.Failed(n.time(), d, "", FailQueued, 0)
	if _, ok := s.state.Offered(n.time(), peer.Name)[0].(Fetch); !ok {
		t.Fatal("the offer is not taken")
	}
	n.now += s.state.startPatience(ViaTrade) + time.Second
	s.state.Tick(n.time())
	if s.state.items[d].from != peer.Name {
		t.Errorf("the transfer was given up while it waited for this side's own link")
	}
	n.now += 2 * queueFactor * DefaultMostPause
	s.state.Tick(n.time())
	if got := s.state.peers[peer.Name].strikes + s.state.items[d].badTrades; got != 0 {
		t.Errorf("the source was blamed %d times", got)
	}
}

// A peer says again and again that it still lacks a chunk, and never sends it. The
// import waits there for a bounded time and is then asked for anew.
func TestPeerThatAlwaysLacksIsLeft(t *testing.T) {
	n := newNetwork(t, regionsOf(1, 1)...)
	v := version("1", 0, 1).of(n.members())
	s := n.sides["side01"]
	var began bool
	for _, a := range s.state.Update(n.time(), []Set{v}) {
		f, ok := a.(Fetch)
		began = began || ok && f.Via == ViaImport
	}
	if !began {
		t.Fatal("no import was begun")
	}
	d := v.Manifest.Chunks[0].Digest
	s.state.Requested(n.time(), d)
	for end := n.now + 2*silentFactor*s.state.startPatience(ViaImport); n.now < end; n.now += tickTime {
		s.state.Deferred(n.time(), d, "side00")
		s.state.Tick(n.time())
	}
	if s.state.items[d].laters == 0 {
		t.Error("the import waits for ever")
	}
}
