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

// dropped is a safeguard that an exploration leaves out.
type dropped string

const (
	dropNothing dropped = ""
	dropHigher  dropped = "a higher revision alone replaces one"
	dropLate    dropped = "a delta that came late is not taken"
	dropDigest  dropped = "a delta is checked against its digest"
	dropRepeat  dropped = "what is held is told again"
)

// spread is one state of the model: nodes that are all connected, or cut in
// two, a service that gives any revision at any time, and messages in flight. Messages may be lost, repeated and arrive in any order.
type spread struct {
	nodes    []*Node
	highest  []uint64
	flight   []flying
	reads    int
	restarts int
	repeats  int
	cut      int
}

// flying is a message in flight under a name that tells it from others.
type flying struct {
	sent
	name string
}

func newFlying(m sent) flying {
	f := flying{sent: m}
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
	return strconv.FormatUint(m.Version, 10) + "." + m.Sum.String()
}

// The bounds of an exploration.
type spreadBounds struct {
	nodes    int
	reads    int
	restarts int
	repeats  int
	cuts     int
}

// The states of a cut between node 0 and the others.
const (
	cutNever = iota
	cutNow
	cutHealed
)

// lastRevision is the last revision that the operators promote.
const lastRevision = 3

// published returns the documents that the service may give for a revision.
// Revision 2 was given twice, by two promotions that raced over a restored
// service.
func published(revision uint64) []State {
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

type spreadModel struct {
	bounds  spreadBounds
	dropped dropped
}

func (m spreadModel) initial() *spread {
	s := &spread{}
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

// connect connects node i with the one after it, or with both neighbours:
// the nodes form a chain, so that news passes through one that may fail.
func (m spreadModel) connect(s *spread, i int, after bool) {
	for j := range s.nodes {
		if j == i || (after && j < i) || s.apart(i, j) || max(i, j)-min(i, j) > 1 {
			continue
		}
		s.perform(i, s.nodes[i].Connected(PeerID(j+1), "z", epoch))
		s.perform(j, s.nodes[j].Connected(PeerID(i+1), "z", epoch))
	}
}

func (s *spread) apart(i, j int) bool { return s.cut == cutNow && (i == 0 || j == 0) }

// perform sends what a node wants sent and notes what it adopts.
func (s *spread) perform(from int, actions []Action) {
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
		m := newFlying(sent{from: from, to: to, action: a})
		if to >= 0 && !slices.ContainsFunc(s.flight, func(o flying) bool { return o.name == m.name }) {
			s.flight = append(s.flight, m)
		}
	}
}

func (s *spread) clone() *spread {
	c := *s
	c.nodes = make([]*Node, len(s.nodes))
	for i, n := range s.nodes {
		c.nodes[i] = n.copied()
	}
	c.highest = slices.Clone(s.highest)
	c.flight = slices.Clone(s.flight)
	return &c
}

func (n *Node) copied() *Node {
	c := *n
	c.replicas = map[Topic]*replica{}
	for t, r := range n.replicas {
		one := *r
		one.history = slices.Clone(r.history)
		c.replicas[t] = &one
	}
	c.peers = map[PeerID]*peer{}
	for id, p := range n.peers {
		one := *p
		one.pending = maps.Clone(p.pending)
		c.peers[id] = &one
	}
	c.pulls = map[Topic]*pull{}
	for t, p := range n.pulls {
		one := *p
		c.pulls[t] = &one
	}
	return &c
}

func (s *spread) key() string {
	var b strings.Builder
	b.Write([]byte{byte(s.reads), byte(s.restarts), byte(s.repeats), byte(s.cut)})
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
	flight := make([]string, 0, len(s.flight))
	for _, m := range s.flight {
		flight = append(flight, m.name)
	}
	slices.Sort(flight)
	b.WriteString(strings.Join(flight, ";"))
	return b.String()
}

func (m spreadModel) moves(s *spread) []explor.Move[*spread] {
	var out []explor.Move[*spread]
	add := func(name string, change func(*spread)) {
		c := s.clone()
		change(c)
		c.note()
		out = append(out, explor.Move[*spread]{Name: name, Next: c})
	}
	for i := range s.nodes {
		if s.reads < m.bounds.reads {
			m.readMoves(s, i, add)
		}
		if s.restarts < m.bounds.restarts {
			add(fmt.Sprintf("node %d restarts", i), func(c *spread) { m.restart(c, i) })
		}
	}
	for i := range s.flight {
		name := s.flight[i].name
		add(name+" arrives", func(c *spread) { m.arrive(c, i, false) })
		if s.repeats < m.bounds.repeats {
			add(name+" arrives and will again", func(c *spread) { m.arrive(c, i, true) })
		}
	}
	if s.cut == cutNever && m.bounds.cuts > 0 {
		add("node 0 is cut off", m.cutOff)
	}
	if s.cut == cutNow {
		add("the cut heals", m.heal)
	}
	return out
}

func (m spreadModel) readMoves(s *spread, i int, add func(string, func(*spread))) {
	for v := uint64(1); v <= lastRevision; v++ {
		for n, doc := range published(v) {
			add(fmt.Sprintf("node %d reads revision %d, text %d", i, v, n), func(c *spread) { m.read(c, i, doc) })
		}
	}
}

func (m spreadModel) read(s *spread, i int, doc State) {
	s.reads++
	n := s.nodes[i]
	if m.dropped == dropHigher {
		n.replicas[TopicDocument].adopt(doc)
		return
	}
	s.perform(i, n.Read(TopicDocument, doc, epoch))
}

func (m spreadModel) restart(s *spread, i int) {
	s.restarts++
	n := &Node{Zone: "z", Accept: func(Topic, State) error { return nil }}
	n.Start(epoch)
	s.nodes[i] = n
	s.highest[i] = 0
	s.flight = slices.DeleteFunc(s.flight, func(o flying) bool { return o.from == i || o.to == i })
	for j, other := range s.nodes {
		s.perform(j, other.Gone(PeerID(i+1), epoch))
	}
	m.connect(s, i, false)
}

func (m spreadModel) cutOff(s *spread) {
	s.cut = cutNow
	s.flight = slices.DeleteFunc(s.flight, func(o flying) bool { return s.apart(o.from, o.to) })
	s.perform(0, s.nodes[0].Gone(2, epoch))
	s.perform(1, s.nodes[1].Gone(1, epoch))
}

func (m spreadModel) heal(s *spread) {
	s.cut = cutHealed
	m.connect(s, 0, false)
}

func (m spreadModel) arrive(s *spread, i int, again bool) {
	o := s.flight[i]
	if again {
		s.repeats++
	} else {
		s.flight = slices.Delete(s.flight, i, i+1)
	}
	m.hand(s, o.sent, epoch)
}

func (m spreadModel) hand(s *spread, o sent, now time.Time) {
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

// note keeps the highest revision that each node has had in this boot.
func (s *spread) note() {
	for i, n := range s.nodes {
		s.highest[i] = max(s.highest[i], n.Held(TopicDocument).Mark.Version)
	}
}

// delta hands a delta to n, without the safeguard that is left out.
func (m spreadModel) delta(n *Node, from PeerID, d Delta, now time.Time) []Action {
	r := n.replicas[TopicDocument]
	if d.Topic != TopicDocument {
		return n.Delta(from, d, now)
	}
	switch m.dropped {
	case dropLate:
		if next, err := apply(r.held, d); err == nil {
			delete(n.pulls, d.Topic)
			r.adopt(next)
			return nil
		}
	case dropDigest:
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

// check is the rule: within a boot no node goes back, each holds a document
// that was promoted whole, and once messages pass all hold the highest
// revision that any of them has.
func (m spreadModel) check(s *spread) error {
	for i, n := range s.nodes {
		held := n.Held(TopicDocument).Mark
		if held.Version < s.highest[i] {
			return errors.Newf("node %d went back from %d to %d", i, s.highest[i], held.Version)
		}
		whole := func(p State) bool { return p.Mark == held }
		if held.Version > 0 && !slices.ContainsFunc(published(held.Version), whole) {
			return errors.Newf("node %d holds a document that was not promoted", i)
		}
	}
	if s.cut == cutNow {
		return nil
	}
	return m.converges(s.clone())
}

// converges lets two exchanges pass without a fault.
func (m spreadModel) converges(s *spread) error {
	now := epoch
	s.flight = nil
	for range 4 {
		now = now.Add(PullTimeout)
		for i, n := range s.nodes {
			if m.dropped != dropRepeat {
				s.perform(i, n.Tick(now))
			}
		}
		for len(s.flight) > 0 {
			o := s.flight[0]
			s.flight = s.flight[1:]
			m.hand(s, o.sent, now)
		}
	}
	var highest uint64
	for _, n := range s.nodes {
		highest = max(highest, n.Held(TopicDocument).Mark.Version)
	}
	for i, n := range s.nodes {
		if got := n.Held(TopicDocument).Mark.Version; got != highest {
			return errors.Newf("node %d stays at %d, another holds %d", i, got, highest)
		}
	}
	return nil
}

func (m spreadModel) run() explor.Result {
	return explor.Explore(explor.Model[*spread]{
		Initial: m.initial(),
		Moves:   m.moves,
		Key:     (*spread).key,
		Check:   m.check,
		Max:     1 << 20,
	})
}

var (
	twoNodes   = spreadBounds{nodes: 2, reads: 2, restarts: 1}
	repeated   = spreadBounds{nodes: 2, reads: 2, repeats: 1}
	threeNodes = spreadBounds{nodes: 3, reads: 1, restarts: 0}
	partition  = spreadBounds{nodes: 2, reads: 2, cuts: 1}
	manyReads  = spreadBounds{nodes: 2, reads: 3}
)

// Operators promote three revisions, one of them twice, while the service
// answers with any it has given, nodes restart, a cut comes and heals, and
// messages are lost, repeated and overtaken. No node's document goes back or
// is put together from two, and when messages pass all hold the highest.
func TestNoOrderOfEventsReverts(t *testing.T) {
	tests := []struct {
		name   string
		bounds spreadBounds
	}{
		{"two nodes, one restart", twoNodes},
		{"two nodes, one repetition", repeated},
		{"three nodes", threeNodes},
		{"two nodes, one cut", partition},
		{"two nodes, three reads", manyReads},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := spreadModel{bounds: tt.bounds}.run()
			t.Log(got)
			if !got.Whole {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is left out once; the checker must find what it prevents.
func TestEachRuleOfSpreadIsNeeded(t *testing.T) {
	tests := []struct {
		dropped dropped
		bounds  spreadBounds
	}{
		{dropHigher, twoNodes},
		{dropLate, twoNodes},
		{dropDigest, manyReads},
		{dropRepeat, twoNodes},
	}
	for _, tt := range tests {
		t.Run(string(tt.dropped), func(t *testing.T) {
			t.Parallel()
			got := spreadModel{bounds: tt.bounds, dropped: tt.dropped}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without it: %v", got)
			}
			t.Log(got)
		})
	}
}
