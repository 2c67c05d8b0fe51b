package feed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/naming"
)

// A target that has left is used by an entry that was told of it: the entry's
// tellers forget a removal, or tell it in the wrong order with the key's return. Two
// feeds are told each other's changes in turn, at random, often or after more than
// are remembered, and one of them now and then through a fresh list; what they
// believe must be the store's in the end.
func TestToldOfRemovals(t *testing.T) {
	const keys = 2 * mostGone
	tellOnce := []int{16, 4 * mostGone}
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			s := newFakeStore()
			s.set("config", "1", false)
			teller, told := newFeed(s), newFeed(s)
			teller.init()
			told.init()
			for range 8 * mostGone {
				key := "target/" + strconv.Itoa(r.IntN(keys))
				_, there := s.items[key]
				s.set(key, "", there && r.IntN(2) == 0)
				if r.IntN(8) == 0 {
					readInto(teller, s, r.IntN(4) == 0)
				}
				if r.IntN(tellOnce[seed%2]) == 0 {
					tellFrom(told, teller)
				}
			}
			readInto(teller, s, false)
			tellFrom(told, teller)
			if diff := cmp.Diff(keysOf(s.items), keysOf(told.items)); diff != "" {
				t.Errorf("keys (-store +told):\n%s", diff)
			}
		})
	}
}

func keysOf(m map[string]Item) []string { return slices.Sorted(maps.Keys(m)) }

// readInto brings a feed up to date from the store, by its changes or by a list.
func readInto(f *Feed, s *fakeStore, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if whole || !f.known {
		f.replace(slices.Collect(maps.Values(s.items)), s.revision)
	} else {
		for _, it := range s.log {
			if it.Revision > f.revision {
				f.apply([]Item{it}, naming.Moment{})
			}
		}
	}
	f.confirm(f.Awake(), s.revision)
}

// tellFrom has a feed take a peer's answer.
func tellFrom(f, peer *Feed) {
	whole := &tell{}
	for _, t := range peer.answerTo(&ask{After: f.revision}) {
		t.Items = append(whole.Items, t.Items...)
		t.Keys = append(whole.Keys, t.Keys...)
		whole = t
	}
	f.take(f.Awake(), false, "peer", whole)
}

// A process that was out of touch while more targets left than are remembered is
// told every key there is: told only what is remembered, it would go on to use the
// first of them.
func TestForgottenRemovalsAreTold(t *testing.T) {
	s := newFakeStore()
	for i := range mostGone + 1 {
		s.set("target/"+strconv.Itoa(i), "", false)
	}
	teller, told := newFeed(s), newFeed(s)
	teller.init()
	told.init()
	readInto(teller, s, true)
	tellFrom(told, teller)
	for i := range mostGone + 1 {
		s.set("target/"+strconv.Itoa(i), "", true)
	}
	readInto(teller, s, false)
	tellFrom(told, teller)
	if diff := cmp.Diff(0, len(told.items)); diff != "" {
		t.Errorf("keys held though all targets have left (-want +got):\n%s", diff)
	}
}

// A change on a platform of thousands of targets is told in a message of its own
// size, whatever the number of targets: else the few processes that tell the rest
// fill their links with keys.
func TestChangeIsToldInItsOwnSize(t *testing.T) {
	s := newFakeStore()
	for i := range 3000 {
		s.set("target/"+strconv.Itoa(i), "", false)
	}
	teller := newFeed(s)
	teller.init()
	readInto(teller, s, true)
	before := teller.revision
	s.set("target/7", "", true)
	s.set("target/8", "", false)
	readInto(teller, s, false)
	parts := teller.answerTo(&ask{After: before})
	items := 0
	for _, p := range parts {
		items += len(p.Items)
		if len(p.Keys) > 0 {
			t.Errorf("%d keys are told for two changes", len(p.Keys))
		}
	}
	if diff := cmp.Diff(2, items); diff != "" {
		t.Errorf("items told (-want +got):\n%s", diff)
	}
}
