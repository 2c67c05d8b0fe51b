package feed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an entry that uses a target which has left, because its
// upstream lost a removal or sent it in the wrong order with the key's return.
// Changes are passed from one feed to another at random intervals, in one half
// of the seeds often, in the other after more removals than are remembered. The
// first feed now and then reads a full list instead of changes. In the end the
// second feed must hold the same keys as the store.
func TestPeersConvergeOnRemovals(t *testing.T) {
	const keys = 2 * maxRemovals
	pullInterval := []int{16, 4 * maxRemovals}
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			s := newFakeStore()
			s.set("config", "1", false)
			upstream, follower := newFeed(s), newFeed(s)
			upstream.init()
			follower.init()
			for range 8 * maxRemovals {
				key := "target/" + strconv.Itoa(r.IntN(keys))
				_, there := s.items[key]
				s.set(key, "", there && r.IntN(2) == 0)
				if r.IntN(8) == 0 {
					syncFromStore(upstream, s, r.IntN(4) == 0)
				}
				if r.IntN(pullInterval[seed%2]) == 0 {
					pullFromPeer(follower, upstream)
				}
			}
			syncFromStore(upstream, s, false)
			pullFromPeer(follower, upstream)
			if diff := cmp.Diff(keysOf(s.items), keysOf(follower.items)); diff != "" {
				t.Errorf("keys (-store +follower):\n%s", diff)
			}
		})
	}
}

func keysOf(m map[string]Item) []string { return slices.Sorted(maps.Keys(m)) }

// syncFromStore updates a feed from the store, by a list if whole is set, else
// by changes.
func syncFromStore(f *Feed, s *fakeStore, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if whole || !f.known {
		f.replaceAll(slices.Collect(maps.Values(s.items)), s.revision)
	} else {
		for _, it := range s.log {
			if it.Revision > f.revision {
				f.apply([]Item{it}, source{})
			}
		}
	}
	f.confirm(f.Uptime(), s.revision)
}

// pullFromPeer makes f apply the reply of a peer.
func pullFromPeer(f, peer *Feed) {
	reply := &factsReply{}
	for _, part := range peer.buildReply(&factsRequest{After: f.revision}) {
		part.Items = append(reply.Items, part.Items...)
		part.Keys = append(reply.Keys, part.Keys...)
		reply = part
	}
	f.adoptReply(f.Uptime(), false, "peer", reply)
}

// A process is disconnected while more targets leave than removals are
// remembered. It must be sent all existing keys: with only the remembered
// removals it would go on using the targets that left first.
func TestAllKeysAreSentOnceRemovalsAreDropped(t *testing.T) {
	s := newFakeStore()
	for i := range maxRemovals + 1 {
		s.set("target/"+strconv.Itoa(i), "", false)
	}
	upstream, follower := newFeed(s), newFeed(s)
	upstream.init()
	follower.init()
	syncFromStore(upstream, s, true)
	pullFromPeer(follower, upstream)
	for i := range maxRemovals + 1 {
		s.set("target/"+strconv.Itoa(i), "", true)
	}
	syncFromStore(upstream, s, false)
	pullFromPeer(follower, upstream)
	if diff := cmp.Diff(0, len(follower.items)); diff != "" {
		t.Errorf("keys held though all targets have left (-want +got):\n%s", diff)
	}
}

// On a platform with thousands of targets, the reply for a change must contain
// only that change. Otherwise the few upstreams fill their links with keys.
func TestReplySizeDependsOnChangesOnly(t *testing.T) {
	s := newFakeStore()
	for i := range 3000 {
		s.set("target/"+strconv.Itoa(i), "", false)
	}
	upstream := newFeed(s)
	upstream.init()
	syncFromStore(upstream, s, true)
	before := upstream.revision
	s.set("target/7", "", true)
	s.set("target/8", "", false)
	syncFromStore(upstream, s, false)
	parts := upstream.buildReply(&factsRequest{After: before})
	items := 0
	for _, p := range parts {
		items += len(p.Items)
		if len(p.Keys) > 0 {
			t.Errorf("%d keys are sent for two changes", len(p.Keys))
		}
	}
	if diff := cmp.Diff(2, items); diff != "" {
		t.Errorf("items sent (-want +got):\n%s", diff)
	}
}
