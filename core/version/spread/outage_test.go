package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/version/chunk"
)

// Guards against a region that waits for a chunk which its importer has only requested:
// the others are told of the chunk once bytes arrive, not before.
func TestDeferredImportIsNotAnnounced(t *testing.T) {
	n := newNetwork(t, regionNames(1, 2)...)
	v := testVersion("1", 0, 1).withMembers(n.members())
	d := v.Manifest.Chunks[0].Digest
	importer, neighbour := splitImporter(n, v)
	importer.state.PeerConnected(n.time(), neighbour.Member)
	importer.state.RequestSent(n.time(), d)
	asked := importer.state.FullyRequested(n.time(), d)
	later := importer.state.ImportDeferred(n.time(), d, "side00")
	if seen := announcedInRegion(append(asked, later...)); len(seen) > 0 {
		t.Errorf("the region was told of %v while the exporter lacks it", seen)
	}
	if diff := cmp.Diff([]int{0}, announcedInRegion(importer.state.BytesReceived(n.time(), d))); diff != "" {
		t.Errorf("announced once bytes arrive (-want +got):\n%s", diff)
	}
}

// splitImporter gives both sides of the second region the version and returns the one
// that imports its only chunk, and the other.
func splitImporter(n *network, v WantedVersion) (importer, neighbour *fakeSide) {
	for _, name := range []string{"side01", "side02"} {
		s := n.sides[name]
		acts := s.state.Update(n.time(), []WantedVersion{v})
		if slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Fetch); return ok }) {
			importer = s
		} else {
			neighbour = s
		}
	}
	return importer, neighbour
}

func announcedInRegion(actions []Action) []int {
	var out []int
	for _, a := range actions {
		if a, ok := a.(Announce); ok {
			out = append(out, a.HeldInRegion...)
		}
	}
	return out
}

// Guards against a side that, after an exporter deferred, requests the chunk in
// another side's place ten times a second.
func TestStandInDoesNotRetryAtOnce(t *testing.T) {
	n := newNetwork(t, regionNames(1, 2)...)
	v := testVersion("1", 0, 1).withMembers(n.members())
	d := v.Manifest.Chunks[0].Digest
	_, s := splitImporter(n, v)
	asked := 0
	for range 100 {
		n.now += tickTime
		acts := s.state.Tick(n.time())
		if !slices.ContainsFunc(acts, func(a Action) bool { _, ok := a.(Fetch); return ok }) {
			continue
		}
		asked++
		s.state.RequestSent(n.time(), d)
		s.state.FullyRequested(n.time(), d)
		s.state.ImportDeferred(n.time(), d, "side00")
	}
	if asked == 0 || asked > 4 {
		t.Errorf("asked %d times in 10 s, want 1 to 4", asked)
	}
}

// Guards against an outage of the origin after which all chunks are overdue in the same
// moment: a side then fetched all of them at once, most of them for the second time.
func TestOutageCausesFewExtraOriginFetches(t *testing.T) {
	const outage = 6 * time.Second
	n := newNetwork(t, regionNames(7, 7, 6)...)
	for _, s := range n.sides {
		s.state.cfg.MinTimeout = 300 * time.Millisecond
		s.state.cfg.MaxBackoff = 500 * time.Millisecond
	}
	begin := n.now
	fetches := map[chunk.Digest]int{}
	n.origin = func(_ string, d chunk.Digest, _ int) (bool, time.Duration) {
		if n.now-begin < outage {
			return false, 0
		}
		fetches[d]++
		return true, 0
	}
	v := testVersion("1", 0, 64).withMembers(n.members())
	n.update(v)
	most := 0
	allComplete := n.allComplete(v.ID)
	n.runUntil(func() bool {
		for _, s := range n.sides {
			most = max(most, s.state.countVia(ViaOrigin))
		}
		return allComplete()
	})
	total := 0
	for _, k := range fetches {
		total += k
	}
	if total > 64*5/4 {
		t.Errorf("%d origin fetches of 64 chunks after the outage, want at most a quarter more", total)
	}
	if most > DefaultOriginSlots {
		t.Errorf("one side fetched %d chunks at a time, want at most %d", most, DefaultOriginSlots)
	}
}

// Guards against a region that waits for seconds for the one side upstream which lacks a
// chunk, because its link is overloaded, while all others there hold it.
func TestImportAsksBeyondDeferringExporter(t *testing.T) {
	n := newNetwork(t, regionNames(4, 3)...)
	for _, s := range n.sides {
		s.state.cfg.MinTimeout = 300 * time.Millisecond
		s.state.cfg.MaxBackoff = 500 * time.Millisecond
	}
	const overloaded = "side00"
	n.stalled = func(_, to string) bool { return to == overloaded }
	n.origin = func(to string, _ chunk.Digest, _ int) (bool, time.Duration) { return to != overloaded, 0 }
	v := testVersion("1", 0, 32).withMembers(n.members())
	begin := n.now
	n.update(v)
	n.runUntil(func() bool {
		for _, s := range n.sides {
			if tally, _ := s.state.Progress(v.ID); s.Name != overloaded && tally.Held < tally.Total {
				return false
			}
		}
		return true
	})
	if most, took := 5*time.Second, n.now-begin; took > most {
		t.Errorf("all but the overloaded side complete after %v, want %v at most", took, most)
	}
}
