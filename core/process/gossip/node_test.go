package gossip

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// testCluster is a few nodes, fully connected, and a network that loses,
// duplicates and reorders their messages. content is the digest of the document
// that the configuration service returned for each revision.
type testCluster struct {
	nodes    []*Node
	highest  []uint64
	inFlight []message
	cut      map[[2]int]bool
	content  map[uint64]Digest
	latest   uint64
	now      time.Time
}

// message is a message in flight.
type message struct {
	from, to int
	action   Action
}

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

var testAddr = netip.MustParseAddrPort("127.0.0.1:1")

func newTestCluster(n int) *testCluster {
	w := &testCluster{cut: map[[2]int]bool{}, content: map[uint64]Digest{}, now: epoch}
	for i := range n {
		w.nodes = append(w.nodes, nil)
		w.highest = append(w.highest, 0)
		w.restart(i)
	}
	return w
}

// restart replaces node i by one that holds nothing.
func (w *testCluster) restart(i int) {
	n := &Node{Zone: "z", Accept: func(Topic, State) error { return nil }}
	n.Start(w.now)
	w.nodes[i] = n
	w.highest[i] = 0
	for j, other := range w.nodes {
		if j == i || other == nil {
			continue
		}
		w.perform(i, n.Connected(PeerID(j+1), "z", w.now))
		w.perform(j, other.Disconnected(PeerID(i+1), w.now))
		w.perform(j, other.Connected(PeerID(i+1), "z", w.now))
	}
}

func (w *testCluster) perform(from int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendMarks:
			w.inFlight = append(w.inFlight, message{from, int(a.Peer) - 1, a})
		case SendPull:
			w.inFlight = append(w.inFlight, message{from, int(a.Peer) - 1, a})
		case SendDelta:
			w.inFlight = append(w.inFlight, message{from, int(a.Peer) - 1, a})
		}
	}
}

func (w *testCluster) deliver(i int) {
	m := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	w.handle(m)
}

func (w *testCluster) handle(m message) {
	if w.cut[[2]int{m.from, m.to}] {
		return
	}
	n, id := w.nodes[m.to], PeerID(m.from+1)
	switch a := m.action.(type) {
	case SendMarks:
		w.perform(m.to, n.Marks(id, a.Marks, w.now))
	case SendPull:
		w.perform(m.to, n.Pull(id, a.Pull))
	case SendDelta:
		w.perform(m.to, n.Delta(id, a.Delta, w.now))
	}
}

// read lets node i read a revision from the configuration service, which may be
// an old one.
func (w *testCluster) read(i int, revision uint64) {
	s := documentState(revision)
	w.content[revision] = s.Mark.Digest
	w.perform(i, w.nodes[i].Read(TopicDocument, s, w.now))
}

// documentState returns the document of a revision. From one revision to the
// next some sections stay the same, some change, and some are added and
// removed.
func documentState(revision uint64) State {
	items := []Item{
		NewItem("environment", []byte("same")),
		NewItem("model.m", fmt.Appendf(nil, "version %d", revision)),
		NewItem(fmt.Sprintf("customer.c%d", revision%3), []byte("share")),
	}
	s, err := NewState(revision, items)
	if err != nil {
		panic(err)
	}
	return s
}

// check fails if a node went back to an older revision or holds content that
// the service did not return.
func (w *testCluster) check(t *rapid.T) {
	for i, n := range w.nodes {
		held := n.Held(TopicDocument).Mark
		if held.Version < w.highest[i] {
			t.Fatalf("node %d went back from revision %d to %d", i, w.highest[i], held.Version)
		}
		w.highest[i] = held.Version
		if held.Version > 0 && held.Digest != w.content[held.Version] {
			t.Fatalf("node %d holds revision %d with other content", i, held.Version)
		}
	}
}

// settle heals the network and runs three ticks without losing a message.
func (w *testCluster) settle() {
	clear(w.cut)
	for range 3 {
		w.now = w.now.Add(PullTimeout)
		for i, n := range w.nodes {
			w.perform(i, n.Tick(w.now))
		}
		for len(w.inFlight) > 0 {
			w.deliver(0)
		}
	}
}

// The same revision ends up in effect on all nodes although messages are lost,
// duplicated and reordered, nodes restart with nothing, the service returns old
// revisions, and pairs of nodes cannot reach each other. No node ever goes back
// to an older revision or holds a mixture of two. Once messages are delivered
// again all hold the same, and no less than the highest revision held before.
func TestNodesNeverRevertAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(rapid.IntRange(2, 4).Draw(t, "nodes"))
		node := rapid.IntRange(0, len(w.nodes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"promote": func(*rapid.T) { w.latest++ },
			"read": func(t *rapid.T) {
				if w.latest == 0 {
					return
				}
				w.read(node.Draw(t, "node"), rapid.Uint64Range(1, w.latest).Draw(t, "revision"))
			},
			"deliver": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					return
				}
				w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message"))
			},
			"repeat": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					return
				}
				w.handle(w.inFlight[rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")])
			},
			"lose": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
				w.inFlight = slices.Delete(w.inFlight, i, i+1)
			},
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(PullTimeout / 2)
				i := node.Draw(t, "node")
				w.perform(i, w.nodes[i].Tick(w.now))
			},
			"restart": func(t *rapid.T) { w.restart(node.Draw(t, "node")) },
			"cut": func(t *rapid.T) {
				w.cut[[2]int{node.Draw(t, "from"), node.Draw(t, "to")}] = true
			},
			"heal": func(*rapid.T) { clear(w.cut) },
			"":     w.check,
		})
		want := uint64(0)
		for _, n := range w.nodes {
			want = max(want, n.Held(TopicDocument).Mark.Version)
		}
		w.settle()
		w.check(t)
		// A message in flight may contain a higher revision than any node
		// holds, if the node that sent it has restarted since.
		first := w.nodes[0].Held(TopicDocument).Mark
		if first.Version < want {
			t.Fatalf("revision %d after healing, want at least %d", first.Version, want)
		}
		for i, n := range w.nodes {
			if diff := cmp.Diff(first, n.Held(TopicDocument).Mark); diff != "" {
				t.Fatalf("node %d after healing (-node 0 +node):\n%s", i, diff)
			}
		}
	})
}

// The configuration service is restored from an old copy and assigns number 4
// to another document than before. A node that holds the first one keeps it and
// reports the conflict.
func TestSameRevisionOtherContentIsConflict(t *testing.T) {
	n := &Node{Zone: "z", Accept: func(Topic, State) error { return nil }}
	n.Start(epoch)
	held := documentState(4)
	n.Read(TopicDocument, held, epoch)
	other, err := NewState(4, []Item{NewItem("environment", []byte("other"))})
	if err != nil {
		t.Fatal(err)
	}
	got := n.Read(TopicDocument, other, epoch)
	want := []Action{Conflict{Topic: TopicDocument, Mark: other.Mark}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("actions (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(held.Mark, n.Held(TopicDocument).Mark); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(uint64(4), n.Conflict(TopicDocument)); diff != "" {
		t.Errorf("conflict (-want +got):\n%s", diff)
	}
}
