//go:build !race

package gossip

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/explor"
)

// disabled is a safeguard of the protocol that an exploration disables.
type disabled string

const (
	noneDisabled       disabled = ""
	higherRevisionOnly disabled = "only a higher revision replaces a document"
	lateDeltaRejected  disabled = "a late delta is rejected"
	digestCheck        disabled = "a delta is checked against its digest"
	marksRepeated      disabled = "the marks held are sent repeatedly"
)

// clusterState is one state of the model: nodes that are all connected or
// partitioned in two, a configuration service that returns any revision at any
// time, and messages in flight, which may be lost, duplicated and reordered.
type clusterState struct {
	nodes     []*Node
	highest   []uint64
	inFlight  []namedMessage
	reads     int
	restarts  int
	repeats   int
	partition int
}

// namedMessage is a message in flight with a name that is unique among them.
type namedMessage struct {
	message
	name string
}

func newNamedMessage(m message) namedMessage {
	f := namedMessage{message: m}
	switch a := m.action.(type) {
	case SendMarks:
		f.name = "marks " + markName(a.Marks.Document)
	case SendPull:
		f.name = "pull from " + markName(a.Pull.Have) + string(a.Pull.Topic)
	case SendDelta:
		f.name = "delta " + markName(a.Delta.From) + " to " + markName(a.Delta.To) + string(a.Delta.Topic)
	}
	f.name = strconv.Itoa(m.from) + " to " + strconv.Itoa(m.to) + ": " + f.name
	return f
}

func markName(m Mark) string {
	return strconv.FormatUint(m.Version, 10) + "." + m.Digest.String()
}

// clusterBounds limits how often each event occurs in an exploration.
type clusterBounds struct {
	nodes      int
	reads      int
	restarts   int
	repeats    int
	partitions int
}

// The states of a network partition between node 0 and the others.
const (
	neverPartitioned = iota
	partitionedNow
	partitionHealed
)

// lastRevision is the last revision that the operators promote.
const lastRevision = 3

// publishedStates returns the documents that the configuration service may
// return for a revision. Revision 2 was assigned twice, by two concurrent
// promotions on a service restored from a backup.
func publishedStates(revision uint64) []State {
	doc := func(bodies ...string) State {
		var items []Item
		for i, b := range bodies {
			items = append(items, NewItem(fmt.Sprint("section", i), []byte(b)))
		}
		s, err := NewState(revision, items)
		if err != nil {
			panic(err)
		}
		return s
	}
	switch revision {
	case 1:
		return []State{doc("a", "a")}
	case 2:
		return []State{doc("b", "a"), doc("a", "c")}
	default:
		return []State{doc("a", "d")}
	}
}

type clusterModel struct {
	bounds   clusterBounds
	disabled disabled
}

func (m clusterModel) initial() *clusterState {
	s := &clusterState{}
	for range m.bounds.nodes {
		n := &Node{Zone: "z", Accept: func(Topic, State) error { return nil }}
		n.Start(epoch)
		s.nodes = append(s.nodes, n)
		s.highest = append(s.highest, 0)
	}
	for i := range s.nodes {
		m.connect(s, i, true)
	}
	return s
}

// connect connects node i with the next node, or with both neighbours. The
// nodes form a chain, so that news passes through a node that may fail.
func (m clusterModel) connect(s *clusterState, i int, after bool) {
	for j := range s.nodes {
		if j == i || (after && j < i) || s.partitioned(i, j) || max(i, j)-min(i, j) > 1 {
			continue
		}
		s.perform(i, s.nodes[i].Connected(PeerID(j+1), "z", epoch))
		s.perform(j, s.nodes[j].Connected(PeerID(i+1), "z", epoch))
	}
}

func (s *clusterState) partitioned(i, j int) bool {
	return s.partition == partitionedNow && (i == 0 || j == 0)
}

// perform puts the messages among the actions of a node in flight.
func (s *clusterState) perform(from int, actions []Action) {
	for _, a := range actions {
		to := -1
		switch a := a.(type) {
		case SendMarks:
			to = int(a.Peer) - 1
		case SendPull:
			to = int(a.Peer) - 1
		case SendDelta:
			to = int(a.Peer) - 1
		}
		m := newNamedMessage(message{from: from, to: to, action: a})
		if to >= 0 && !slices.ContainsFunc(s.inFlight, func(o namedMessage) bool { return o.name == m.name }) {
			s.inFlight = append(s.inFlight, m)
		}
	}
}

func (s *clusterState) clone() *clusterState {
	c := *s
	c.nodes = make([]*Node, len(s.nodes))
	for i, n := range s.nodes {
		c.nodes[i] = n.deepCopy()
	}
	c.highest = slices.Clone(s.highest)
	c.inFlight = slices.Clone(s.inFlight)
	return &c
}

func (n *Node) deepCopy() *Node {
	c := *n
	c.replicas = map[Topic]*replica{}
	for t, r := range n.replicas {
		cp := *r
		cp.history = slices.Clone(r.history)
		c.replicas[t] = &cp
	}
	c.peers = map[PeerID]*peer{}
	for id, p := range n.peers {
		cp := *p
		cp.pending = maps.Clone(p.pending)
		c.peers[id] = &cp
	}
	c.pulls = map[Topic]*pull{}
	for t, p := range n.pulls {
		cp := *p
		c.pulls[t] = &cp
	}
	return &c
}

func (s *clusterState) key() string {
	var b strings.Builder
	b.Write([]byte{byte(s.reads), byte(s.restarts), byte(s.repeats), byte(s.partition)})
	for i, n := range s.nodes {
		r := n.replicas[TopicDocument]
		b.Write([]byte{byte(s.highest[i]), byte(r.conflict)})
		b.WriteString(markName(r.held.Mark) + markName(r.refused))
		for _, h := range r.history {
			b.WriteString(markName(h.Mark))
		}
		for _, id := range n.peerIDs() {
			b.WriteString("p" + markName(n.peers[id].marks.Document))
		}
		if p := n.pulls[TopicDocument]; p != nil {
			b.Write([]byte{'?', byte(p.peer)})
		}
	}
	inFlight := make([]string, 0, len(s.inFlight))
	for _, m := range s.inFlight {
		inFlight = append(inFlight, m.name)
	}
	slices.Sort(inFlight)
	b.WriteString(strings.Join(inFlight, ";"))
	return b.String()
}

func (m clusterModel) moves(s *clusterState) []explor.Transition[*clusterState] {
	var out []explor.Transition[*clusterState]
	add := func(name string, change func(*clusterState)) {
		c := s.clone()
		change(c)
		c.recordHighest()
		out = append(out, explor.Transition[*clusterState]{Name: name, Next: c})
	}
	for i := range s.nodes {
		if s.reads < m.bounds.reads {
			m.readMoves(s, i, add)
		}
		if s.restarts < m.bounds.restarts {
			add(fmt.Sprintf("node %d restarts", i), func(c *clusterState) { m.restart(c, i) })
		}
	}
	for i := range s.inFlight {
		name := s.inFlight[i].name
		add(name+" arrives", func(c *clusterState) { m.deliver(c, i, false) })
		if s.repeats < m.bounds.repeats {
			add(name+" arrives and is duplicated", func(c *clusterState) { m.deliver(c, i, true) })
		}
	}
	if s.partition == neverPartitioned && m.bounds.partitions > 0 {
		add("node 0 is partitioned", m.startPartition)
	}
	if s.partition == partitionedNow {
		add("the partition heals", m.healPartition)
	}
	return out
}

func (m clusterModel) readMoves(s *clusterState, i int, add func(string, func(*clusterState))) {
	for v := uint64(1); v <= lastRevision; v++ {
		for n, doc := range publishedStates(v) {
			add(fmt.Sprintf("node %d reads revision %d, variant %d", i, v, n), func(c *clusterState) { m.read(c, i, doc) })
		}
	}
}

func (m clusterModel) read(s *clusterState, i int, doc State) {
	s.reads++
	n := s.nodes[i]
	if m.disabled == higherRevisionOnly {
		n.replicas[TopicDocument].adopt(doc)
		return
	}
	s.perform(i, n.Read(TopicDocument, doc, epoch))
}

func (m clusterModel) restart(s *clusterState, i int) {
	s.restarts++
	n := &Node{Zone: "z", Accept: func(Topic, State) error { return nil }}
	n.Start(epoch)
	s.nodes[i] = n
	s.highest[i] = 0
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o namedMessage) bool { return o.from == i || o.to == i })
	for j, other := range s.nodes {
		s.perform(j, other.Disconnected(PeerID(i+1), epoch))
	}
	m.connect(s, i, false)
}

func (m clusterModel) startPartition(s *clusterState) {
	s.partition = partitionedNow
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o namedMessage) bool { return s.partitioned(o.from, o.to) })
	s.perform(0, s.nodes[0].Disconnected(2, epoch))
	s.perform(1, s.nodes[1].Disconnected(1, epoch))
}

func (m clusterModel) healPartition(s *clusterState) {
	s.partition = partitionHealed
	m.connect(s, 0, false)
}

func (m clusterModel) deliver(s *clusterState, i int, again bool) {
	o := s.inFlight[i]
	if again {
		s.repeats++
	} else {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	m.handle(s, o.message, epoch)
}

func (m clusterModel) handle(s *clusterState, o message, now time.Time) {
	n := s.nodes[o.to]
	from := PeerID(o.from + 1)
	switch a := o.action.(type) {
	case SendMarks:
		s.perform(o.to, n.Marks(from, a.Marks, now))
	case SendPull:
		s.perform(o.to, n.Pull(from, a.Pull))
	case SendDelta:
		s.perform(o.to, m.delta(n, from, a.Delta, now))
	}
}

// recordHighest keeps the highest revision that each node has held since it
// started.
func (s *clusterState) recordHighest() {
	for i, n := range s.nodes {
		s.highest[i] = max(s.highest[i], n.Held(TopicDocument).Mark.Version)
	}
}

// delta lets n handle a delta, without the safeguard that is disabled.
func (m clusterModel) delta(n *Node, from PeerID, d Delta, now time.Time) []Action {
	r := n.replicas[TopicDocument]
	if d.Topic != TopicDocument {
		return n.Delta(from, d, now)
	}
	switch m.disabled {
	case lateDeltaRejected:
		if next, err := apply(r.held, d); err == nil {
			delete(n.pulls, d.Topic)
			r.adopt(next)
			return nil
		}
	case digestCheck:
		items := map[string]Item{}
		for _, it := range append(slices.Clone(r.held.Items), d.Put...) {
			items[it.Name] = NewItem(it.Name, it.Body)
		}
		if next, err := NewState(d.To.Version, slices.Collect(maps.Values(items))); err == nil && r.wants(d.To) {
			r.adopt(next)
			return nil
		}
	}
	return n.Delta(from, d, now)
}

// check is the rule: no node's revision goes back while it runs, each holds a
// document that was promoted as a whole, and once messages are delivered all
// hold the highest revision that any of them has.
func (m clusterModel) check(s *clusterState) error {
	for i, n := range s.nodes {
		held := n.Held(TopicDocument).Mark
		if held.Version < s.highest[i] {
			return errors.Newf("node %d went back from revision %d to %d", i, s.highest[i], held.Version)
		}
		whole := func(p State) bool { return p.Mark == held }
		if held.Version > 0 && !slices.ContainsFunc(publishedStates(held.Version), whole) {
			return errors.Newf("node %d holds a document that was not promoted as a whole", i)
		}
	}
	if s.partition == partitionedNow {
		return nil
	}
	return m.converges(s.clone())
}

// converges runs four ticks without faults and checks that all nodes end up
// with the highest revision.
func (m clusterModel) converges(s *clusterState) error {
	now := epoch
	s.inFlight = nil
	for range 4 {
		now = now.Add(PullTimeout)
		for i, n := range s.nodes {
			if m.disabled != marksRepeated {
				s.perform(i, n.Tick(now))
			}
		}
		for len(s.inFlight) > 0 {
			o := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			m.handle(s, o.message, now)
		}
	}
	var highest uint64
	for _, n := range s.nodes {
		highest = max(highest, n.Held(TopicDocument).Mark.Version)
	}
	for i, n := range s.nodes {
		if got := n.Held(TopicDocument).Mark.Version; got != highest {
			return errors.Newf("node %d stays at revision %d, want the highest, %d", i, got, highest)
		}
	}
	return nil
}

func (m clusterModel) run() explor.Result {
	return explor.Explore(explor.Model[*clusterState]{
		Initial:     m.initial(),
		Transitions: m.moves,
		Key:         (*clusterState).key,
		Check:       m.check,
		MaxStates:   1 << 20,
	})
}

var (
	twoNodes   = clusterBounds{nodes: 2, reads: 2, restarts: 1}
	repeated   = clusterBounds{nodes: 2, reads: 2, repeats: 1}
	threeNodes = clusterBounds{nodes: 3, reads: 1, restarts: 0}
	partition  = clusterBounds{nodes: 2, reads: 2, partitions: 1}
	manyReads  = clusterBounds{nodes: 2, reads: 3}
)

// Operators promote three revisions, one of them twice, while the configuration
// service returns any of them, nodes restart, the network is partitioned and
// heals, and messages are lost, duplicated and reordered. No node's document
// goes back to an older revision or mixes two, and once messages are delivered
// all nodes hold the highest.
func TestNoEventOrderRevertsADocument(t *testing.T) {
	tests := []struct {
		name   string
		bounds clusterBounds
	}{
		{"two nodes, one restart", twoNodes},
		{"two nodes, one duplicate", repeated},
		{"three nodes", threeNodes},
		{"two nodes, one partition", partition},
		{"two nodes, three reads", manyReads},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := clusterModel{bounds: tt.bounds}.run()
			t.Log(got)
			if !got.Complete {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is disabled in turn; the exploration must then find a
// violation.
func TestEachSafeguardIsNeeded(t *testing.T) {
	tests := []struct {
		disabled disabled
		bounds   clusterBounds
	}{
		{higherRevisionOnly, twoNodes},
		{lateDeltaRejected, twoNodes},
		{digestCheck, manyReads},
		{marksRepeated, twoNodes},
	}
	for _, tt := range tests {
		t.Run(string(tt.disabled), func(t *testing.T) {
			t.Parallel()
			got := clusterModel{bounds: tt.bounds, disabled: tt.disabled}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without it: %v", got)
			}
			t.Log(got)
		})
	}
}
