package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/version/chunk"
)

// slowFactor is how many times as long transfers take over the link of a slow side.
const slowFactor = 8

// slowRollout is a rollout in which some sides have a slow link; sound are the others.
type slowRollout struct {
	*rollout
	sound []string
}

// newSlowRollout publishes a version to sides of which a share, spread over all regions,
// has a slow link.
func newSlowRollout(t *testing.T, seed int, share float64, sides ...int) *slowRollout {
	links := newSharedLinks()
	links.byBlocks = true
	w := &slowRollout{rollout: newRolloutOver(t, links, 0, sides...)}
	n := int(share*float64(len(w.names)) + 0.5)
	slow := map[string]bool{}
	for i := range n {
		slow[w.names[(i*len(w.names)/n+len(w.names)/(2*n)+seed)%len(w.names)]] = true
	}
	for _, name := range w.names {
		if !slow[name] {
			w.sound = append(w.sound, name)
		}
	}
	w.sharedLinks.slow = slow
	return w
}

// runToCompletion runs until all sound sides are complete.
func (w *slowRollout) runToCompletion() {
	w.runUntil(func() bool {
		return !slices.ContainsFunc(w.sound, func(n string) bool { _, ok := w.completedAt[n]; return !ok })
	})
}

// Guards against chunks that nobody gets from the one side that holds them: it has a slow
// link and sends to several sides at a time, each of which gives up.
func TestSlowHolderPassesChunksOn(t *testing.T) {
	for seed := range 4 {
		w := newSlowRollout(t, seed, .12, 20)
		heldSince := map[chunk.Digest]time.Duration{}
		longest := time.Duration(0)
		onArrival := w.onArrival
		w.onArrival = func(s *fakeSide, d chunk.Digest) {
			if first, held := heldSince[d]; !held {
				heldSince[d] = w.now
			} else if first >= 0 {
				longest = max(longest, w.now-first)
				heldSince[d] = -1
			}
			onArrival(s, d)
		}
		w.runToCompletion()
		// A transfer that shares the link with as many others as it may have takes that long.
		most := time.Duration(w.sides[w.sound[0]].state.cfg.UploadSlots) * slowFactor * w.sharedLinks.side
		t.Logf("seed %d: a second side got a chunk after up to %s", seed, longest)
		if longest > most {
			t.Errorf("seed %d: a chunk reached the second side after %s, want %s at most", seed, longest, most)
		}
	}
}

// Guards against a region that waits for a chunk which an importer with a slow link is
// receiving: it must not be announced before it is complete.
func TestSlowImportIsNotAnnouncedEarly(t *testing.T) {
	const usual = 100 * time.Millisecond
	for _, tc := range []struct {
		name string
		took time.Duration
		want []int
	}{
		{"in the usual time", usual, []int{0}},
		{"slow", 2 * usual, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := newNetwork(t, regionNames(1, 2)...)
			v := testVersion("1", 0, 1).withMembers(n.members())
			d := v.Manifest.Chunks[0].Digest
			importer, neighbour := splitImporter(n, v)
			importer.state.PeerConnected(n.time(), neighbour.Member)
			importer.state.supply["r1"] = &supplyTime{usual: usual, n: minSupplySamples}
			importer.state.RequestSent(n.time(), d)
			n.now += tc.took
			importer.state.FullyRequested(n.time(), d)
			if diff := cmp.Diff(tc.want, announcedInRegion(importer.state.BytesReceived(n.time(), d))); diff != "" {
				t.Errorf("announced while bytes arrive (-want +got):\n%s", diff)
			}
		})
	}
}
