package feed

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// silentPeer accepts connections and never says anything, as a machine without
// power seems to for as long as it stays dark.
func silentPeer(t *testing.T) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return Peer{Address: netip.MustParseAddrPort(l.Addr().String())}
}

// All machines have lost power and return, those that tell the others last. A side
// that asked each of them first would begin to bring weights seconds late, and
// callers would find no engine meanwhile. It turns to the store after one.
func TestStartDoesNotWaitForDarkTellers(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	f := newFeed(s)
	dark := []Peer{silentPeer(t), silentPeer(t), silentPeer(t)}
	f.Tellers = func() []Peer { return dark }
	runFeed(t, f)
	took := eventually(t, "the store's belief", func() bool { return ids(f) == "a" })
	if most := 2*followTimeout + 500*time.Millisecond; took > most {
		t.Errorf("the first belief came after %s, want %s at most", took, most)
	}
}

// The entry that tells this one freezes, on a connection that stays open. A
// configuration is changed just then. It must be in force here within two seconds,
// so the silence has to show well before, and the store is read in the teller's
// place.
func TestFrozenTellerIsLeft(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	frozen := freezing(t, &tell{Known: true, At: 1, Last: true})
	f := newFeed(s)
	f.TellWait = 500 * time.Millisecond
	f.Tellers = func() []Peer { return []Peer{frozen} }
	runFeed(t, f)
	took := eventually(t, "the store is read", func() bool { return ids(f) == "a" })
	if most := f.TellWait + askTimeout + 500*time.Millisecond; took > most {
		t.Errorf("the change came after %s, want %s at most", took, most)
	}
	s.set("target/b", "", false)
	if took := eventually(t, "a change is heard", func() bool { return ids(f) == "a b" }); took > followTimeout+f.Wait+500*time.Millisecond {
		t.Errorf("a change came after %s though the teller had fallen silent", took)
	}
}
