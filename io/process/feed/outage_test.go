package feed

import (
	"sync/atomic"
	"testing"
	"time"

	"hawthornferry/core/process/naming"

	"github.com/cockroachdb/errors"
)

// watcher is a feed that reads a store and answers its peers.
type watcher struct {
	*Feed
	peer  Peer
	peers atomic.Pointer[[]Peer]
}

// watching returns a watcher of s that knows version 1.
func watching(t *testing.T, name string, s *fakeStore) *watcher {
	t.Helper()
	w := &watcher{Feed: newFeed(s)}
	w.Self = newSelf(name)
	w.know()
	w.Peers = func() []Peer { return *w.peers.Load() }
	w.Readers = w.Peers
	runFeed(t, w.Feed)
	w.peer, _ = answering(t, w.Feed)
	eventually(t, "version 1 is known", func() bool { return newest(w.Feed) == 1 })
	return w
}

// know sets whom the watcher may ask.
func (w *watcher) know(others ...*watcher) {
	peers := []Peer{}
	for _, o := range others {
		peers = append(peers, o.peer)
	}
	w.peers.Store(&peers)
}

// awayFor has stores fail for a while, during which version 2 is named in all, and
// returns when they were back.
func awayFor(d time.Duration, stores ...*fakeStore) time.Time {
	for _, s := range stores {
		s.fail(errors.New("down"))
	}
	time.Sleep(d / 2)
	for _, s := range stores {
		s.set("version/m", "2", false)
	}
	time.Sleep(d / 2)
	back := time.Now()
	for _, s := range stores {
		s.fail(nil)
	}
	return back
}

// The store is away for all, and a version is named meanwhile. Nobody can have told
// the engines of it. Counted from before the outage, its time would be over at the
// return, and callers would be refused until the engines have loaded it.
func TestVersionNamedWhileTheStoreIsAway(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	a, b := watching(t, "a", s), watching(t, "b", s)
	a.know(b)
	b.know(a)
	back := awayFor(3*time.Second, s)
	for _, w := range []*watcher{a, b} {
		eventually(t, "version 2 is known", func() bool { return newest(w.Feed) == 2 })
		eventually(t, "it counts from the return", func() bool { return dueSince(w.Feed, back) == 1 })
	}
	if took, most := time.Since(back), mostRetry+500*time.Millisecond; took > most {
		t.Errorf("counted from the return %s after it, want %s at most", took, most)
	}
}

// Two entries are cut off from the store, and a third is not. Each of the two is a
// witness to the other that the store was away, but the third has told engines, and
// callers' requests must not begin on the old version past its bound anywhere.
func TestVersionThatOneHeardCountsFromItsNaming(t *testing.T) {
	s, cutA, cutB := newFakeStore(), newFakeStore(), newFakeStore()
	for _, store := range []*fakeStore{s, cutA, cutB} {
		store.set("version/m", "1", false)
	}
	a, b, heard := watching(t, "a", cutA), watching(t, "b", cutB), watching(t, "heard", s)
	a.know(b, heard)
	b.know(a, heard)
	s.set("version/m", "2", false)
	eventually(t, "one has heard", func() bool { return newest(heard.Feed) == 2 })
	// What it tells is late by the way.
	heardAt := time.Now().Add(naming.MostRoundTrip)
	awayFor(2*time.Second, cutA, cutB)
	for _, w := range []*watcher{a, b} {
		eventually(t, "it counts from the naming", func() bool { return dueSince(w.Feed, heardAt) == 2 })
	}
}
