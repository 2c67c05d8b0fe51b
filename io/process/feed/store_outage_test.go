package feed

import (
	"sync/atomic"
	"testing"
	"time"

	"hawthornferry/core/process/verlog"

	"github.com/cockroachdb/errors"
)

// peerFeed is a feed that reads a store and serves its peers.
type peerFeed struct {
	*Feed
	peer  Peer
	peers atomic.Pointer[[]Peer]
}

// newPeerFeed starts a peerFeed that reads s and has read version 1.
func newPeerFeed(t *testing.T, name string, s *fakeStore) *peerFeed {
	t.Helper()
	w := &peerFeed{Feed: newFeed(s)}
	w.Self = newSelf(name)
	w.setPeers()
	w.Peers = func() []Peer { return *w.peers.Load() }
	w.StoreReaders = w.Peers
	runFeed(t, w.Feed)
	w.peer, _ = servePeer(t, w.Feed)
	eventually(t, "version 1 is known", func() bool { return newestVersion(w.Feed) == 1 })
	return w
}

// setPeers sets the peers that the feed may ask.
func (w *peerFeed) setPeers(others ...*peerFeed) {
	peers := []Peer{}
	for _, o := range others {
		peers = append(peers, o.peer)
	}
	w.peers.Store(&peers)
}

// storeOutage makes stores fail for a while, during which version 2 is
// announced in all of them, and returns when they came back.
func storeOutage(d time.Duration, stores ...*fakeStore) time.Time {
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

// A version is announced while the store is down for all processes, so no
// process can have told the engines of it. Counted from before the outage, its
// time limit would be over when the store is back, and callers would be
// rejected until the engines have loaded it.
func TestVersionAnnouncedDuringStoreOutage(t *testing.T) {
	s := newFakeStore()
	s.set("version/m", "1", false)
	a, b := newPeerFeed(t, "a", s), newPeerFeed(t, "b", s)
	a.setPeers(b)
	b.setPeers(a)
	back := storeOutage(3*time.Second, s)
	for _, w := range []*peerFeed{a, b} {
		eventually(t, "version 2 is known", func() bool { return newestVersion(w.Feed) == 2 })
		eventually(t, "it counts from the store's return", func() bool { return announcedBy(w.Feed, back) == 1 })
	}
	if took, most := time.Since(back), retryMax+500*time.Millisecond; took > most {
		t.Errorf("counted from the return %s after it, want %s at most", took, most)
	}
}

// Two entries are disconnected from the store, and a third is not. Each of the
// two reports to the other that the store was unreachable, but the third has
// told engines of the version. Requests must not start on the old version past
// its limit on any entry.
func TestVersionSeenByOneProcessCountsFromAnnouncement(t *testing.T) {
	s, cutA, cutB := newFakeStore(), newFakeStore(), newFakeStore()
	for _, store := range []*fakeStore{s, cutA, cutB} {
		store.set("version/m", "1", false)
	}
	a, b, connected := newPeerFeed(t, "a", cutA), newPeerFeed(t, "b", cutB), newPeerFeed(t, "heard", s)
	a.setPeers(b, connected)
	b.setPeers(a, connected)
	s.set("version/m", "2", false)
	eventually(t, "one entry has received version 2", func() bool { return newestVersion(connected.Feed) == 2 })
	// Its report to the others takes up to this much longer.
	announcedAt := time.Now().Add(verlog.MaxRoundTrip)
	storeOutage(2*time.Second, cutA, cutB)
	for _, w := range []*peerFeed{a, b} {
		eventually(t, "it counts from the announcement", func() bool { return announcedBy(w.Feed, announcedAt) == 2 })
	}
}
