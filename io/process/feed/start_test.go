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
