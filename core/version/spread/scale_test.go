package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornferry/core/version/chunk"
)

// scaleChunks is how many chunks a version has in the tests of large fleets.
const scaleChunks = 48

// rollout is the distribution of one version over the links of a large deployment.
type rollout struct {
	*network
	testVersion   WantedVersion
	startedAt     time.Duration
	originFetches int
	// completedAt is when each side held the complete version.
	completedAt map[string]time.Duration
}

// newRollout publishes a version to sides in several regions. The origin is unavailable
// for the time away from the start.
func newRollout(t *testing.T, away time.Duration, sides ...int) *rollout {
	return newRolloutOver(t, newSharedLinks(), away, sides...)
}

// newRolloutOver is newRollout over the given links.
func newRolloutOver(t *testing.T, links *sharedLinks, away time.Duration, sides ...int) *rollout {
	n := newNetwork(t, regionNames(sides...)...)
	n.sharedLinks = links
	for _, s := range n.sides {
		cfg := &s.state.cfg
		cfg.MinTimeout, cfg.MaxBackoff = 300*time.Millisecond, 500*time.Millisecond
		cfg.OriginSlots, cfg.UploadSlots, cfg.DownloadSlots, cfg.ImportSlots, cfg.Fanout = 6, 3, 3, FastLinkImportSlots, FastLinkFanout
		s.state.uploadSlots = cfg.UploadSlots
	}
	w := &rollout{network: n, startedAt: n.now, completedAt: map[string]time.Duration{}}
	n.origin = func(string, chunk.Digest, int) (bool, time.Duration) {
		if n.now-w.startedAt < away {
			return false, 0
		}
		w.originFetches++
		return true, 0
	}
	w.testVersion = testVersion("1", 0, scaleChunks).withMembers(n.members())
	n.onArrival = func(s *fakeSide, _ chunk.Digest) {
		if tally, _ := s.state.Progress(w.testVersion.ID); tally.Held == tally.Total {
			w.completedAt[s.Name] = n.now - w.startedAt
		}
	}
	n.update(w.testVersion)
	return w
}

// runToCompletion runs until all sides that have not stopped are complete, and returns
// when half of them and the last one were.
func (w *rollout) runToCompletion() (median, last time.Duration) {
	w.runUntil(func() bool {
		for name, s := range w.sides {
			if _, ok := w.completedAt[name]; !ok && !s.dead {
				return false
			}
		}
		return true
	})
	var all []time.Duration
	for name, at := range w.completedAt {
		if !w.sides[name].dead {
			all = append(all, at)
		}
	}
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// lowerBound is the least time that a version takes from the origin and over a side's
// link: one chunk is passed on while the next is fetched.
func (w *sharedLinks) lowerBound() time.Duration {
	return scaleChunks*max(w.origin, w.side) + w.region + w.side
}

// Guards against a completion time that grows with the number of sides, both without and
// after an outage of the origin, and against chunks that are fetched from it twice.
func TestCompletionTimeDoesNotGrowWithFleet(t *testing.T) {
	const away = 6 * time.Second
	for _, sides := range [][]int{{20}, {7, 7, 6}, {20, 20, 20}, {24, 24, 24, 24, 24}, {41, 41, 41, 41, 40}} {
		for _, outage := range []time.Duration{0, away} {
			t.Run(fmt.Sprint(sides, outage), func(t *testing.T) {
				w := newRollout(t, outage, sides...)
				median, last := w.runToCompletion()
				median, last = median-outage, last-outage
				t.Logf("%d origin fetches, half of the sides complete after %s, the last after %s, bound %s", w.originFetches, median, last, w.sharedLinks.lowerBound())
				if most := scaleChunks * 11 / 10; w.originFetches > most {
					t.Errorf("%d origin fetches of %d chunks, want %d at most", w.originFetches, scaleChunks, most)
				}
				if most := w.sharedLinks.lowerBound() * 3 / 2; last > most {
					t.Errorf("the last side is complete after %s, want %s at most", last, most)
				}
			})
		}
	}
}

// Guards against chunks that wait for sides that have stopped: a tenth of the sides
// stops during the transfer, and those after them in rank wait no longer than for one
// that is late.
func TestStoppedSidesDoNotDelayOthers(t *testing.T) {
	w := newRollout(t, 0, 24, 24, 24, 24, 24)
	const killed = 12
	w.after(time.Second, func() {
		for i := range killed {
			w.kill(fmt.Sprintf("side%02d", i*len(w.names)/killed))
		}
	})
	median, last := w.runToCompletion()
	t.Logf("%d origin fetches, half of the sides complete after %s, the last after %s, bound %s", w.originFetches, median, last, w.sharedLinks.lowerBound())
	if most := scaleChunks * 13 / 10; w.originFetches > most {
		t.Errorf("%d origin fetches of %d chunks, want %d at most", w.originFetches, scaleChunks, most)
	}
	if most := w.sharedLinks.lowerBound()*3/2 + minRankDelay; last > most {
		t.Errorf("the last side is complete after %s, want %s at most", last, most)
	}
}

// Guards against two versions of which neither is complete when the origin becomes
// unavailable: the second is published when the first is nearly complete, and the first is
// finished first.
func TestNearlyCompleteVersionFinishesFirst(t *testing.T) {
	w := newRollout(t, 0, 24, 24, 24, 24, 24)
	first := w.testVersion
	fetchTime := scaleChunks * w.sharedLinks.origin
	w.network.origin = func(string, chunk.Digest, int) (bool, time.Duration) {
		return w.now-w.startedAt < fetchTime+200*time.Millisecond, 0
	}
	w.after(fetchTime*4/5, func() { w.update(testVersion("2", scaleChunks, scaleChunks).withMembers(w.members()), first) })
	_, last := w.runToCompletion()
	if most := w.sharedLinks.lowerBound() * 2; last > most {
		t.Errorf("the last side holds the first version after %s, want %s at most", last, most)
	}
}
