package feed

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/io/conn/link"
)

func setEntryWaits(f *Feed) {
	f.WatchWait = 800 * time.Millisecond
	f.UpstreamWait = 500 * time.Millisecond
	f.MaxStoreLateness = 700 * time.Millisecond
}

// newUpstream starts a feed that reads s with the wait of an entry and serves
// its peers.
func newUpstream(t *testing.T, name string, s Store) (*Feed, Peer) {
	t.Helper()
	f := newFeed(s)
	f.Self = newSelf(name)
	f.WatchWait = 800 * time.Millisecond
	runFeed(t, f)
	peer, _ := servePeer(t, f)
	return f, peer
}

// Guards against an entry that routes by a replaced configuration for up to two
// seconds. Its upstream is disconnected from the store, and another peer,
// queried now and then among unresponsive ones, keeps the entry's state young.
// Judged by the age of that state, the upstream was never dropped, and changes
// arrived only with those queries.
func TestDisconnectedUpstreamIsDropped(t *testing.T) {
	s, unreachable := newFakeStore(), newFakeStore()
	s.set("config", "1", false)
	unreachable.set("config", "1", false)
	_, connected := newUpstream(t, "sound", s)
	_, upstream := newUpstream(t, "cutOff", unreachable)
	f := newFeed(s)
	setEntryWaits(f)
	f.Upstreams = func() []Peer { return []Peer{upstream} }
	unresponsive := []Peer{silentPeer(t), silentPeer(t)}
	f.Peers = func() []Peer { return append([]Peer{connected}, unresponsive...) }
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	unreachable.fail(errors.New("cut off"))
	// The upstream's state may be as old as two of its watches when it is
	// disconnected.
	time.Sleep(upstreamAgeMargin + 2*f.UpstreamWait + f.WatchWait)
	for i := range 4 {
		version := uint64(i + 2)
		s.set("config", strconv.FormatUint(version, 10), false)
		took := eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == version })
		if most := 500 * time.Millisecond; took > most {
			t.Errorf("configuration %d was in force after %s, want %s at most", version, took, most)
		}
		time.Sleep(700 * time.Millisecond)
	}
}

// Guards against an entry that uses a replaced configuration for longer than
// the bound, because the store rejects the calls of its upstream but of no
// other process.
func TestUpstreamRejectedByStoreIsDroppedAtOnce(t *testing.T) {
	const bound = 2 * time.Second
	s, refused := newFakeStore(), newFakeStore()
	s.set("config", "1", false)
	refused.set("config", "1", false)
	_, connected := newUpstream(t, "sound", s)
	_, upstream := newUpstream(t, "refused", refused)
	f := newFeed(s)
	setEntryWaits(f)
	f.Upstreams = func() []Peer { return []Peer{upstream} }
	f.Peers = func() []Peer { return []Peer{connected} }
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	refused.fail(errors.New("refused"))
	s.set("config", "2", false)
	took := eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == 2 })
	if most := bound / 2; took > most {
		t.Errorf("the new configuration was in force after %s, want %s at most", took, most)
	}
}

// An entry that has lost the store asks two peers, one of which is
// unresponsive. They must be asked in parallel: the second one, which knows of
// a changed configuration, was asked only after the first had timed out.
func TestUnresponsivePeerDelaysNoOther(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	reader, responsive := newUpstream(t, "sound", s)
	eventually(t, "the target is known", func() bool { return targetIDs(reader) == "a" })
	unresponsive := silentPeer(t)
	for range 8 {
		f := newFeed(newFakeStore())
		f.init()
		f.Peers = func() []Peer { return []Peer{unresponsive, responsive} }
		f.confirm(f.Uptime()-time.Minute, 0)
		done := make(chan struct{})
		go func() {
			f.queryPeers(t.Context())
			close(done)
		}()
		took := eventually(t, "the responsive peer has replied", func() bool { return targetIDs(f) == "a" })
		if most := PeerTimeout / 2; took > most {
			t.Errorf("the responsive peer's reply came after %s, want %s at most", took, most)
		}
		<-done
	}
}

// Two peers reply to queries that were sent at the same time. The reply with
// the highest revision must win, whichever arrives first. If it is dropped because
// the other one has a younger confirmation or is one change behind, callers are
// routed by a replaced configuration.
func TestNewestReplyWins(t *testing.T) {
	one := []Item{{Key: "config", Value: []byte("1"), Revision: 1}}
	two := []Item{{Key: "config", Value: []byte("2"), Revision: 2}}
	three := []Item{{Key: "config", Value: []byte("3"), Revision: 3}}
	keys := []string{"config"}
	tests := []struct {
		name  string
		first factsReply
	}{
		{"younger confirmation", factsReply{Known: true, AtRevision: 1}},
		{"one change fewer", factsReply{Known: true, AtRevision: 2, Age: 2 * time.Second, Items: two, Keys: keys}},
		{"both", factsReply{Known: true, AtRevision: 2, Items: two, Keys: keys}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFeed(newFakeStore())
			f.init()
			asked := f.Uptime()
			f.adoptReply(asked, false, "start", &factsReply{Known: true, AtRevision: 1, Age: 3 * time.Second, Items: one, Keys: keys})
			f.adoptReply(asked, false, "first", &tt.first)
			f.adoptReply(asked, false, "second", &factsReply{Known: true, AtRevision: 3, Age: time.Second, Items: three, Keys: keys})
			if diff := cmp.Diff(uint64(3), f.Current().Table.Version); diff != "" {
				t.Errorf("configuration (-want +got):\n%s", diff)
			}
			if want := asked - min(time.Second, tt.first.Age); f.confirmed != want {
				t.Errorf("confirmed at %s, want %s", f.confirmed, want)
			}
		})
	}
}

// freezablePeer starts a peer that replies for a feed until freeze is called,
// and then keeps its connections open.
func freezablePeer(t *testing.T, f *Feed) (peer Peer, freeze func()) {
	t.Helper()
	var frozen atomic.Bool
	serve := func(ctx context.Context, c *link.Conn) {
		for {
			m, err := c.Receive()
			if err != nil {
				return
			}
			q := m.(*factsRequest)
			f.awaitChange(ctx, q)
			if frozen.Load() {
				<-ctx.Done()
				return
			}
			for _, a := range f.buildReply(q) {
				if f.sendReply(c, a) != nil {
					return
				}
			}
		}
	}
	peer, _ = startPeer(t, f.Self, serve)
	return peer, func() { frozen.Store(true) }
}

// The upstream of a process stops responding, and the process turns to the
// store, which has been up all the while. Its first call must not count as the
// end of an outage, or a target that leaves then is used on as one that may
// register again: requests reached a target that had left two seconds before.
func TestSilentUpstreamIsNoOutage(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	reader := newFeed(s)
	reader.Self = newSelf("reader")
	reader.WatchWait = 800 * time.Millisecond
	runFeed(t, reader)
	peer, freeze := freezablePeer(t, reader)
	own := &answerCounter{Store: s}
	f := newFeed(own)
	setEntryWaits(f)
	f.Upstreams = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	time.Sleep(f.WatchWait + minOutage + 300*time.Millisecond)
	calls := own.answers.Load()
	freeze()
	eventually(t, "the store has answered", func() bool { return own.answers.Load() > calls })
	s.set("target/a", "", true)
	if took := eventually(t, "a is gone", func() bool { return targetIDs(f) == "b" }); took > 500*time.Millisecond {
		t.Errorf("a was used for %s after its removal", took)
	}
}

// A process follows an upstream while the store is down, and turns to the store
// itself when the upstream has lost it. Targets that are missing when the store
// is back, because they could not renew their registrations, must be kept, as
// in a process that called the store all the while.
func TestOutageWhileFollowing(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	_, peer := newUpstream(t, "reader", s)
	f := newFeed(s)
	setEntryWaits(f)
	log := &actionCounter{}
	f.Log = log
	f.Upstreams = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	before := log.count("upstreamLost")
	s.fail(errors.New("down"))
	eventually(t, "the upstream is dropped", func() bool { return log.count("upstreamLost") > before })
	s.set("target/a", "", true)
	s.fail(nil)
	eventually(t, "the store is in touch", func() bool { age, _ := f.Age(); return age < minOutage })
	if diff := cmp.Diff("a b", targetIDs(f)); diff != "" {
		t.Fatalf("just after the return (-want +got):\n%s", diff)
	}
	eventually(t, "a is dropped", func() bool { return targetIDs(f) == "b" })
}

// answerCounter counts the watches that the store answered.
type answerCounter struct {
	Store
	answers atomic.Int64
}

func (s *answerCounter) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	c, err := s.Store.Watch(ctx, after, wait)
	if err == nil {
		s.answers.Add(1)
	}
	return c, err
}

// slowListStore delays each list, as a shared link does.
type slowListStore struct {
	*fakeStore
	takes time.Duration
}

func (s *slowListStore) List(ctx context.Context, after string) (Page, error) {
	time.Sleep(s.takes)
	return s.fakeStore.List(ctx, after)
}

// The store has dropped its history, so everything is listed again over a busy
// link. The duration of the list must not count as an outage, or a target
// missing from it is kept as one that may register again: requests reached a
// target that had left two seconds before.
func TestSlowListIsNoOutage(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(&slowListStore{s, minOutage + 500*time.Millisecond})
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	s.dropHistory()
	s.set("target/a", "", true)
	s.dropHistory()
	if took := eventually(t, "a is gone", func() bool { return targetIDs(f) == "b" }); took > 2*minOutage {
		t.Errorf("a was used for %s after its removal, want %s at most", took, 2*minOutage)
	}
}
