package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/conn/link"
)

// testRelay is a relay. followers counts the connections that it has served.
type testRelay struct {
	feed      *Feed
	peer      Peer
	followers atomic.Int64
	stop      func()
}

// newRelay starts a relay that follows the given reader and has access to the store s.
func newRelay(t *testing.T, s Store, reader Peer) *testRelay {
	t.Helper()
	f := newFeed(s)
	f.Self = newSelf("relay")
	f.IsRelay = func() bool { return true }
	f.RelayWaits = Waits{Store: 300 * time.Millisecond, Upstream: 200 * time.Millisecond}
	f.Upstreams = func() []Peer { return []Peer{reader} }
	f.StoreBackoff = time.Second
	r := &testRelay{feed: f}
	r.peer, r.stop = startPeer(t, f.Self, func(ctx context.Context, c *link.Conn) {
		r.followers.Add(1)
		f.serve(ctx, c)
	})
	runFeed(t, f)
	return r
}

// Guards against a fleet that turns to the store as a whole when the few processes that
// read it are turned away. The relays read it then, and the others follow them.
func TestRelaysReadTheStoreWhenTheReadersCannot(t *testing.T) {
	refused, s := newFakeStore(), newFakeStore()
	for _, store := range []*fakeStore{refused, s} {
		store.set("target/a", "", false)
	}
	_, reader := newUpstream(t, "reader", refused)
	relay := newRelay(t, s, reader)
	own := newFakeStore()
	f := newFeed(own)
	setEntryWaits(f)
	f.Upstreams = func() []Peer { return []Peer{reader} }
	f.Relays = func() []Peer { return []Peer{relay.peer} }
	runFeed(t, f)
	eventually(t, "the state is known", func() bool { return targetIDs(f) == "a" })
	refused.fail(errors.New("turned away"))
	time.Sleep(time.Second)
	s.set("target/b", "", false)
	if took := eventually(t, "a change arrives by the relay", func() bool { return targetIDs(f) == "a b" }); took > time.Second {
		t.Errorf("the change took %s", took)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.calls > 0 {
		t.Errorf("the follower called the store %d times", own.calls)
	}
}

// Guards against processes that stay with the readers of the store once they know the
// relays, and against ones that do not return to the readers when a relay ends.
func TestRelaysArePreferredToReaders(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	_, reader := newUpstream(t, "reader", s)
	relay := newRelay(t, s, reader)
	own := newFakeStore()
	f := newFeed(own)
	setEntryWaits(f)
	f.Upstreams = func() []Peer { return []Peer{reader} }
	f.Relays = func() []Peer {
		if f.Current().Table == nil && len(f.Current().Targets) == 0 {
			return nil
		}
		return []Peer{relay.peer}
	}
	runFeed(t, f)
	eventually(t, "the state is known", func() bool { return targetIDs(f) == "a" && targetIDs(relay.feed) == "a" })
	eventually(t, "the relay is followed", func() bool { return relay.followers.Load() > 0 })
	relay.stop()
	s.set("target/b", "", false)
	if took := eventually(t, "a change arrives by the reader", func() bool { return targetIDs(f) == "a b" }); took > 2*time.Second {
		t.Errorf("the change took %s", took)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.calls > 0 {
		t.Errorf("the follower called the store %d times", own.calls)
	}
}

// Guards against relays that all others pass over for good, because they could not reach the
// store while their upstreams could not either.
func TestRelayIsFollowedAfterAnOutage(t *testing.T) {
	s, refusing := newFakeStore(), newFakeStore()
	for _, store := range []*fakeStore{s, refusing} {
		store.set("target/a", "", false)
	}
	_, reader := newUpstream(t, "reader", s)
	relay := newRelay(t, refusing, reader)
	eventually(t, "the relay knows the state", func() bool { return targetIDs(relay.feed) == "a" })
	s.fail(errors.New("down"))
	refusing.fail(errors.New("down"))
	eventually(t, "the relay has lost the store", relay.feed.isStoreLost)
	s.fail(nil)
	eventually(t, "the relay reports again", func() bool { return !relay.feed.isStoreLost() })
	own := newFakeStore()
	f := newFeed(own)
	setEntryWaits(f)
	f.Upstreams = func() []Peer { return []Peer{reader} }
	f.Relays = func() []Peer { return []Peer{relay.peer} }
	runFeed(t, f)
	eventually(t, "the relay is followed", func() bool { return relay.followers.Load() == 1 && targetIDs(f) == "a" })
	time.Sleep(500 * time.Millisecond)
	if n := relay.followers.Load(); n != 1 {
		t.Errorf("the relay was left and tried again %d times", n-1)
	}
}
