package feed

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// silentPeer returns an address that accepts connections and never sends
// anything, which looks like a machine without power.
func silentPeer(t *testing.T) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return Peer{Address: netip.MustParseAddrPort(l.Addr().String())}
}

// All machines have lost power and start again, the upstreams last. A side must
// turn to the store soon: if it waited long for each upstream, it would begin
// to load weights seconds late, and callers would find no engine.
func TestStartupDoesNotWaitForUnresponsiveUpstreams(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	f := newFeed(s)
	unresponsive := []Peer{silentPeer(t), silentPeer(t), silentPeer(t)}
	f.Upstreams = func() []Peer { return unresponsive }
	runFeed(t, f)
	took := eventually(t, "the state from the store", func() bool { return targetIDs(f) == "a" })
	if most := 2*upstreamDialTimeout + 500*time.Millisecond; took > most {
		t.Errorf("the first state came after %s, want %s at most", took, most)
	}
}

// An upstream stops responding on a connection that stays open, just as a
// configuration is changed. The change must be in force within two seconds, so
// the silence has to be detected well before, and the store read instead.
func TestFrozenUpstreamIsDropped(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	frozen := freezeAfterOneReply(t, &factsReply{Known: true, AtRevision: 1, Last: true})
	f := newFeed(s)
	f.UpstreamWait = 500 * time.Millisecond
	f.Upstreams = func() []Peer { return []Peer{frozen} }
	runFeed(t, f)
	took := eventually(t, "the store is read", func() bool { return targetIDs(f) == "a" })
	if most := f.UpstreamWait + PeerTimeout + 500*time.Millisecond; took > most {
		t.Errorf("the change came after %s, want %s at most", took, most)
	}
	s.set("target/b", "", false)
	if took := eventually(t, "a change is received", func() bool { return targetIDs(f) == "a b" }); took > upstreamDialTimeout+f.WatchWait+500*time.Millisecond {
		t.Errorf("a change came after %s although the upstream had stopped responding", took)
	}
}

// Guards against a fleet that starts all at once and has each of its entries list the whole
// store, because their upstreams do not listen yet or have no state: the calls grow with
// the square of the fleet.
func TestEntryAwaitsUpstreamsThatStart(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := Peer{Address: netip.MustParseAddrPort(nl.Addr().String())}
	nl.Close()
	reader := newFeed(&slowListStore{fakeStore: s, takes: startupUpstreamWait / 4})
	reader.Self = newSelf("reader")
	peer, stop := servePeer(t, reader)
	defer stop()
	own := newFakeStore()
	f := newFeed(own)
	f.Upstreams = func() []Peer { return []Peer{refusing, peer} }
	runFeed(t, f)
	time.Sleep(startupUpstreamWait / 4)
	runFeed(t, reader)
	took := eventually(t, "the state of the upstream", func() bool { return targetIDs(f) == "a" })
	if most := 2 * startupUpstreamWait; took > most {
		t.Errorf("the first state came after %s, want %s at most", took, most)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.calls > 0 {
		t.Errorf("the entry called the store %d times", own.calls)
	}
}
