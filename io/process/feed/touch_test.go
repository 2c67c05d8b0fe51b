package feed

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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
