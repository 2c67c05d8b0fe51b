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

// entryTimes are the times of an entry.
func entryTimes(f *Feed) {
	f.Wait = 800 * time.Millisecond
	f.TellWait = 500 * time.Millisecond
}

// tellingFeed is a feed that reads s, waits for it as long as an entry and answers
// its peers.
func tellingFeed(t *testing.T, name string, s Store) (*Feed, Peer) {
	t.Helper()
	f := newFeed(s)
	f.Self = newSelf(name)
	f.Wait = 800 * time.Millisecond
	runFeed(t, f)
	peer, _ := answering(t, f)
	return f, peer
}

// Callers are routed by a replaced configuration for up to two seconds. The entry
// that tells this one is cut off from the store, and another peer, asked now and
// then among dark ones, keeps the belief young: the teller was judged by the age of
// that belief and never left, and each change is heard of by such questions only.
func TestTellerThatIsCutOffIsLeft(t *testing.T) {
	s, cut := newFakeStore(), newFakeStore()
	s.set("config", "1", false)
	cut.set("config", "1", false)
	_, sound := tellingFeed(t, "sound", s)
	_, teller := tellingFeed(t, "cutOff", cut)
	f := newFeed(s)
	entryTimes(f)
	f.Tellers = func() []Peer { return []Peer{teller} }
	dark := []Peer{silentPeer(t), silentPeer(t)}
	f.Peers = func() []Peer { return append([]Peer{sound}, dark...) }
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	cut.fail(errors.New("cut off"))
	// The teller's belief may be as old as two of its watches when it is cut off.
	time.Sleep(tellerLag + 2*f.TellWait + f.Wait)
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

// Guards against an entry that goes on by a replaced configuration for longer than
// the bound, because the store refuses the entry that tells it and no other.
func TestTellerThatTheStoreRefusesIsLeftAtOnce(t *testing.T) {
	const bound = 2 * time.Second
	s, refused := newFakeStore(), newFakeStore()
	s.set("config", "1", false)
	refused.set("config", "1", false)
	_, sound := tellingFeed(t, "sound", s)
	_, teller := tellingFeed(t, "refused", refused)
	f := newFeed(s)
	entryTimes(f)
	f.Tellers = func() []Peer { return []Peer{teller} }
	f.Peers = func() []Peer { return []Peer{sound} }
	runFeed(t, f)
	eventually(t, "the configuration is known", func() bool { return f.Current().Table != nil })
	refused.fail(errors.New("refused"))
	s.set("config", "2", false)
	took := eventually(t, "the new configuration is known", func() bool { return f.Current().Table.Version == 2 })
	if most := bound / 2; took > most {
		t.Errorf("the new configuration was in force after %s, want %s at most", took, most)
	}
}

// Callers are routed by a replaced configuration. An entry that has lost the store
// asks two peers, and the first of them is dark: the other one, which knows of the
// change, was asked only once the dark one had timed out.
func TestDarkPeerHoldsUpNoOther(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	reader, sound := tellingFeed(t, "sound", s)
	eventually(t, "the target is known", func() bool { return ids(reader) == "a" })
	dark := silentPeer(t)
	for range 8 {
		f := newFeed(newFakeStore())
		f.init()
		f.Peers = func() []Peer { return []Peer{dark, sound} }
		f.confirm(f.Awake()-time.Minute, 0)
		done := make(chan struct{})
		go func() {
			f.askSome(t.Context())
			close(done)
		}()
		took := eventually(t, "the sound peer has told", func() bool { return ids(f) == "a" })
		if most := askTimeout / 2; took > most {
			t.Errorf("the sound peer's answer came after %s, want %s at most", took, most)
		}
		<-done
	}
}

// Callers are routed by a replaced configuration. Two peers answer questions that
// were put at the same time; the first has a younger confirmation, or one change
// fewer, and the answer of the other, which brings the newest, was thrown away.
func TestNewestAnswerCounts(t *testing.T) {
	one := []Item{{Key: "config", Value: []byte("1"), Revision: 1}}
	two := []Item{{Key: "config", Value: []byte("2"), Revision: 2}}
	three := []Item{{Key: "config", Value: []byte("3"), Revision: 3}}
	keys := []string{"config"}
	tests := []struct {
		name  string
		first tell
	}{
		{"younger confirmation", tell{Known: true, At: 1}},
		{"one change fewer", tell{Known: true, At: 2, Age: 2 * time.Second, Items: two, Keys: keys}},
		{"both", tell{Known: true, At: 2, Items: two, Keys: keys}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFeed(newFakeStore())
			f.init()
			asked := f.Awake()
			f.take(asked, false, "start", &tell{Known: true, At: 1, Age: 3 * time.Second, Items: one, Keys: keys})
			f.take(asked, false, "first", &tt.first)
			f.take(asked, false, "second", &tell{Known: true, At: 3, Age: time.Second, Items: three, Keys: keys})
			if diff := cmp.Diff(uint64(3), f.Current().Table.Version); diff != "" {
				t.Errorf("configuration (-want +got):\n%s", diff)
			}
			if want := asked - min(time.Second, tt.first.Age); f.confirmed != want {
				t.Errorf("confirmed at %s, want %s", f.confirmed, want)
			}
		})
	}
}

// freezingPeer answers for a feed until freeze is called, and keeps its connections
// open after.
func freezingPeer(t *testing.T, f *Feed) (peer Peer, freeze func()) {
	t.Helper()
	var frozen atomic.Bool
	serve := func(ctx context.Context, c *link.Conn) {
		for {
			m, err := c.Receive()
			if err != nil {
				return
			}
			q := m.(*ask)
			f.awaitNews(ctx, q)
			if frozen.Load() {
				<-ctx.Done()
				return
			}
			for _, a := range f.answerTo(q) {
				if f.send(c, a) != nil {
					return
				}
			}
		}
	}
	peer, _ = listening(t, f.Self, serve)
	return peer, func() { frozen.Store(true) }
}

// Requests reached a target that had left two seconds before. The process that uses
// it was told by a peer that fell silent, and turned to the store, which had been up
// all the while. Since it had not called the store itself before, that counted as
// back after an outage, and the target as one that may register anew.
func TestSilentTellersAreNoOutage(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	reader := newFeed(s)
	reader.Self = newSelf("reader")
	reader.Wait = 800 * time.Millisecond
	runFeed(t, reader)
	peer, freeze := freezingPeer(t, reader)
	own := &countingStore{Store: s}
	f := newFeed(own)
	entryTimes(f)
	f.Tellers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return ids(f) == "a b" })
	time.Sleep(f.Wait + outage + 300*time.Millisecond)
	calls := own.answers.Load()
	freeze()
	eventually(t, "the store has answered", func() bool { return own.answers.Load() > calls })
	s.set("target/a", "", true)
	if took := eventually(t, "a is gone", func() bool { return ids(f) == "b" }); took > 500*time.Millisecond {
		t.Errorf("a was used for %s after its removal", took)
	}
}

// A process is told while the store is away, and turns to it as the teller's belief
// is old. The store is back, and the targets that could not renew their entries are
// missing: these are kept, as by a process that read the store all the while.
func TestOutageWhileTold(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	_, peer := tellingFeed(t, "reader", s)
	f := newFeed(s)
	entryTimes(f)
	f.Tellers = func() []Peer { return []Peer{peer} }
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return ids(f) == "a b" })
	s.fail(errors.New("down"))
	eventually(t, "the teller is left", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return !f.tellersAgain.IsZero()
	})
	s.set("target/a", "", true)
	s.fail(nil)
	eventually(t, "the store is in touch", func() bool { age, _ := f.Age(); return age < outage })
	if diff := cmp.Diff("a b", ids(f)); diff != "" {
		t.Fatalf("just after the return (-want +got):\n%s", diff)
	}
	eventually(t, "a is taken for gone", func() bool { return ids(f) == "b" })
}

// countingStore counts the watches that the store answered.
type countingStore struct {
	Store
	answers atomic.Int64
}

func (s *countingStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	c, err := s.Store.Watch(ctx, after, wait)
	if err == nil {
		s.answers.Add(1)
	}
	return c, err
}

// slowLists answers a list after a while, as over a link that others use as well.
type slowLists struct {
	*fakeStore
	takes time.Duration
}

func (s *slowLists) List(ctx context.Context, after string) (Page, error) {
	time.Sleep(s.takes)
	return s.fakeStore.List(ctx, after)
}

// Requests reached a target that had left two seconds before. The store had dropped
// the history, so that all was listed anew, over a busy link. The time that the list
// took was taken for an outage, and a target that it lacks for one that may register
// anew.
func TestSlowListIsNoOutage(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(&slowLists{s, outage + 500*time.Millisecond})
	runFeed(t, f)
	eventually(t, "both are known", func() bool { return ids(f) == "a b" })
	s.forget()
	s.set("target/a", "", true)
	s.forget()
	if took := eventually(t, "a is gone", func() bool { return ids(f) == "b" }); took > 2*outage {
		t.Errorf("a was used for %s after its removal, want %s at most", took, 2*outage)
	}
}
