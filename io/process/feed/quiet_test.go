package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hawthornferry/io/conn/link"
)

// Guards against processes that ask peers all over the fleet, a few times a second, although
// the store and their upstream answer: the state is as old as it usually gets.
func TestPeersAreNotAskedWhileUpstreamsAnswer(t *testing.T) {
	s := newFakeStore()
	s.set("target/a", "", false)
	reader := newFeed(s)
	reader.Self = newSelf("reader")
	reader.WatchWait = 800 * time.Millisecond
	runFeed(t, reader)
	upstream, _ := servePeer(t, reader)
	var asked atomic.Int64
	other, _ := startPeer(t, newSelf("other"), func(context.Context, *link.Conn) { asked.Add(1) })
	f := newFeed(newFakeStore())
	setEntryWaits(f)
	f.UsualAge = 2*f.WatchWait + 2*f.UpstreamWait
	f.Upstreams = func() []Peer { return []Peer{upstream} }
	f.Peers = func() []Peer { return []Peer{other} }
	eventually(t, "the reader knows the state", func() bool { return targetIDs(reader) == "a" })
	runFeed(t, f)
	eventually(t, "the state is known", func() bool { return targetIDs(f) == "a" })
	before := asked.Load()
	time.Sleep(4 * time.Second)
	if n := asked.Load() - before; n > 0 {
		t.Errorf("another peer was asked %d times in four seconds", n)
	}
}
