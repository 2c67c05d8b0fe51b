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

// follower is a feed as a side has it.
func follower(s Store, upstreams ...Peer) *Feed {
	f := newFeed(s)
	f.Wait, f.TellWait, f.StoreRest = 4*time.Second, 2*time.Second, 2400*time.Millisecond
	f.Tellers = func() []Peer { return upstreams }
	return f
}

// countedStore counts the calls of its feed.
type countedStore struct {
	*fakeStore

	mu    sync.Mutex
	calls int
}

func (s *countedStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *countedStore) List(ctx context.Context, after string) (Page, error) {
	s.note()
	return s.fakeStore.List(ctx, after)
}

func (s *countedStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	s.note()
	return s.fakeStore.Watch(ctx, after, wait)
}

func (s *countedStore) note() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// Guards against a fleet that calls a store which is away all the while: those that
// tell it find out that the store is back.
func TestFollowersLeaveALostStoreToTheirTellers(t *testing.T) {
	const away = 5 * time.Second
	s := newFakeStore()
	s.set("config", "1", false)
	_, teller := tellingFeed(t, "teller", s)
	counted := &countedStore{fakeStore: s}
	f := follower(counted, teller)
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	s.fail(errors.New("away"))
	time.Sleep(away)
	if got, most := counted.count(), 2+int(away/(f.StoreRest/2)); got > most {
		t.Errorf("%d calls in %s, want %d at most", got, away, most)
	}
	s.fail(nil)
	s.set("config", "2", false)
	took := eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == 2 })
	if most := mostRetry + tellersRetry*3/2 + time.Second; took > most {
		t.Errorf("the change was heard of %s after the return, want %s at most", took, most)
	}
}

// Guards against a fleet that starts with its tellers and whose processes all read
// the store, since those do not listen yet.
func TestStartWaitsForTellersThatStart(t *testing.T) {
	const later = 300 * time.Millisecond
	s := newFakeStore()
	s.set("config", "1", false)
	_, teller := tellingFeed(t, "teller", s)
	counted := &countedStore{fakeStore: s}
	began := time.Now()
	f := follower(counted)
	closed := closedPeer(t)
	f.Tellers = func() []Peer {
		if time.Since(began) < later {
			return []Peer{closed}
		}
		return []Peer{teller}
	}
	runFeed(t, f)
	took := eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	if got := counted.count(); got > 0 {
		t.Errorf("%d calls to the store, want none", got)
	}
	if most := later + startWait; took > most {
		t.Errorf("told after %s, want %s at most", took, most)
	}
}

// Guards against a fleet that turns to the store since one watch of each reader was
// cut.
func TestOneCutWatchSendsNobodyToTheStore(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	_, teller := tellingFeed(t, "teller", s)
	counted := &countedStore{fakeStore: s}
	f := follower(counted, teller)
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	before := counted.count()
	s.failOnce(errors.New("cut"))
	time.Sleep(2 * time.Second)
	if got := counted.count() - before; got > 0 {
		t.Errorf("%d calls to the store after one of its reader's was cut, want none", got)
	}
	s.set("config", "2", false)
	eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == 2 })
}

// closedPeer is an address at which nothing listens.
func closedPeer(t *testing.T) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return Peer{Address: netip.MustParseAddrPort(l.Addr().String())}
}
