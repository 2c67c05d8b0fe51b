package feed

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// newFollower returns a feed with the settings of a side.
func newFollower(s Store, upstreams ...Peer) *Feed {
	f := newFeed(s)
	f.WatchWait, f.UpstreamWait, f.StoreBackoff = 4*time.Second, 2*time.Second, 2400*time.Millisecond
	f.Upstreams = func() []Peer { return upstreams }
	return f
}

// callCounter counts calls to the store.
type callCounter struct {
	*fakeStore

	mu    sync.Mutex
	calls int
}

func (s *callCounter) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *callCounter) List(ctx context.Context, after string) (Page, error) {
	s.add()
	return s.fakeStore.List(ctx, after)
}

func (s *callCounter) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	s.add()
	return s.fakeStore.Watch(ctx, after, wait)
}

func (s *callCounter) add() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// Guards against a fleet that keeps calling a store which is down: only the
// upstreams need to find out that it is back.
func TestFollowersBackOffFromLostStore(t *testing.T) {
	const away = 5 * time.Second
	s := newFakeStore()
	s.set("config", "1", false)
	_, upstream := newUpstream(t, "teller", s)
	counted := &callCounter{fakeStore: s}
	f := newFollower(counted, upstream)
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	s.fail(errors.New("away"))
	time.Sleep(away)
	if got, most := counted.count(), 2+int(away/(f.StoreBackoff/2)); got > most {
		t.Errorf("%d calls in %s, want %d at most", got, away, most)
	}
	s.fail(nil)
	s.set("config", "2", false)
	took := eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == 2 })
	if most := retryMax + upstreamRetry*3/2 + time.Second; took > most {
		t.Errorf("the change was received %s after the return, want %s at most", took, most)
	}
}

// Guards against a fleet whose processes all read the store because they start
// at the same time as their upstreams, which don't listen yet.
func TestStartupWaitsForStartingUpstreams(t *testing.T) {
	const later = 300 * time.Millisecond
	s := newFakeStore()
	s.set("config", "1", false)
	_, upstream := newUpstream(t, "teller", s)
	counted := &callCounter{fakeStore: s}
	began := time.Now()
	f := newFollower(counted)
	closed := refusingPeer(t)
	f.Upstreams = func() []Peer {
		if time.Since(began) < later {
			return []Peer{closed}
		}
		return []Peer{upstream}
	}
	runFeed(t, f)
	took := eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	if got := counted.count(); got > 0 {
		t.Errorf("%d calls to the store, want none", got)
	}
	if most := later + startupUpstreamWait; took > most {
		t.Errorf("state received after %s, want %s at most", took, most)
	}
}

// Guards against a fleet that turns to the store because one watch of each
// reader failed.
func TestOneFailedWatchSendsNobodyToStore(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	_, upstream := newUpstream(t, "teller", s)
	counted := &callCounter{fakeStore: s}
	f := newFollower(counted, upstream)
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	before := counted.count()
	s.failOnce(errors.New("cut"))
	time.Sleep(2 * time.Second)
	if got := counted.count() - before; got > 0 {
		t.Errorf("%d calls to the store after a call of its upstream failed, want none", got)
	}
	s.set("config", "2", false)
	eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == 2 })
}

// refusingPeer returns an address on which nothing listens.
func refusingPeer(t *testing.T) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return Peer{Address: netip.MustParseAddrPort(l.Addr().String())}
}
