package gossip

import (
	"maps"
	"slices"
	"time"
)

// PullTimeout is how long an asked peer may take before another is asked.
const PullTimeout = time.Second

// PeerID names one connection to a peer; a peer that connects again gets
// another.
type PeerID uint64

// Node is the protocol of one process. Its methods take an event and the
// time and return what is to be done. It is for one goroutine. Accept checks
// a state before it is taken; set it before the first event.
type Node struct {
	Zone   string
	Accept func(Topic, State) error

	replicas   map[Topic]*replica
	peers      map[PeerID]*peer
	pulls      map[Topic]*pull
	readerSeen time.Time
	aloneSince time.Time
}

type peer struct {
	zone    string
	marks   Marks
	pending map[Topic]*Delta
}

// pull is a request that waits for its answer.
type pull struct {
	peer  PeerID
	asked time.Time
}

var topics = []Topic{TopicDocument, TopicVMs}

// Start sets the node up. A reader is taken to have been alive at now, so
// that a starting process does not believe at once that none is.
func (n *Node) Start(now time.Time) {
	n.replicas = map[Topic]*replica{}
	for _, t := range topics {
		n.replicas[t] = &replica{topic: t}
	}
	n.peers = map[PeerID]*peer{}
	n.pulls = map[Topic]*pull{}
	n.readerSeen = now
	n.aloneSince = now
}

// Held returns the state of a topic; its version is 0 before the first.
func (n *Node) Held(t Topic) State { return n.replicas[t].held }

// Refused returns the highest version that was offered and refused.
func (n *Node) Refused(t Topic) uint64 { return n.replicas[t].refused.Version }

// Conflict returns the held version when a peer or the platform has given it
// other content, else 0.
func (n *Node) Conflict(t Topic) uint64 {
	if r := n.replicas[t]; r.conflict == r.held.Mark.Version {
		return r.conflict
	}
	return 0
}

// Peers returns how many peers are connected.
func (n *Node) Peers() int { return len(n.peers) }

// Connected adds a peer of the given zone and greets it.
func (n *Node) Connected(id PeerID, zone string, now time.Time) []Action {
	n.peers[id] = &peer{zone: zone, pending: map[Topic]*Delta{}}
	return []Action{n.greet(id, now)}
}

// Gone removes a peer; what it was asked for is asked of another.
func (n *Node) Gone(id PeerID, now time.Time) []Action {
	delete(n.peers, id)
	if len(n.peers) == 0 {
		n.aloneSince = now
	}
	var out []Action
	for _, t := range topics {
		if p := n.pulls[t]; p != nil && p.peer == id {
			delete(n.pulls, t)
			out = append(out, n.pull(t, now)...)
		}
	}
	return out
}

// Marks takes what a peer says that it holds.
func (n *Node) Marks(id PeerID, m Marks, now time.Time) []Action {
	p, ok := n.peers[id]
	if !ok {
		return nil
	}
	p.marks = m
	if seen := now.Add(-m.ReaderAge); p.zone == n.Zone && seen.After(n.readerSeen) {
		n.readerSeen = seen
	}
	var out []Action
	for _, t := range topics {
		r := n.replicas[t]
		mark := m.of(t)
		if mark.conflicts(t, r.held.Mark) && r.conflict != mark.Version {
			r.conflict = mark.Version
			out = append(out, Conflict{Topic: t, Peer: id, Mark: mark})
		}
		out = append(out, n.pull(t, now)...)
	}
	return out
}

// Pull answers a peer that asks.
func (n *Node) Pull(id PeerID, p Pull) []Action {
	r := n.replicas[p.Topic]
	if n.peers[id] == nil || !r.held.Mark.above(p.Topic, p.Have) {
		return nil
	}
	var out []Action
	for _, d := range r.since(p.Have) {
		out = append(out, SendDelta{Peer: id, Delta: d})
	}
	return out
}

// Delta takes one part of an answer.
func (n *Node) Delta(id PeerID, d Delta, now time.Time) []Action {
	p, ok := n.peers[id]
	if !ok {
		return nil
	}
	whole := p.collect(d)
	if whole == nil {
		return nil
	}
	if q := n.pulls[d.Topic]; q != nil && q.peer == id {
		delete(n.pulls, d.Topic)
	}
	r := n.replicas[d.Topic]
	if !r.wants(whole.To) {
		return n.pull(d.Topic, now)
	}
	if whole.From.Version != 0 && whole.From != r.held.Mark {
		return n.pull(d.Topic, now)
	}
	next, err := apply(r.held, *whole)
	if err != nil {
		return n.misfit(id, *whole, err, now)
	}
	return n.offer(d.Topic, next, now)
}

// misfit asks the peer for the whole state after a delta that did not lead
// where it said. When it was the whole already the peer is asked again no
// sooner than its next marks, so that a faulty peer cannot keep this process
// busy.
func (n *Node) misfit(id PeerID, d Delta, err error, now time.Time) []Action {
	t := d.Topic
	out := []Action{Refuse{Topic: t, Peer: id, Mark: d.To, Err: err}}
	if n.pulls[t] != nil || d.From.Version == 0 {
		return out
	}
	n.pulls[t] = &pull{peer: id, asked: now}
	return append(out, SendPull{Peer: id, Pull: Pull{Topic: t}})
}

// Read takes a state that this process has read from the platform.
func (n *Node) Read(t Topic, s State, now time.Time) []Action {
	r := n.replicas[t]
	switch {
	case s.Mark == r.held.Mark:
		return nil
	case s.Mark.conflicts(t, r.held.Mark):
		r.conflict = s.Mark.Version
		return []Action{Conflict{Topic: t, Mark: s.Mark}}
	case !s.Mark.above(t, r.held.Mark):
		return []Action{Ignore{Topic: t, Mark: s.Mark, Held: r.held.Mark}}
	}
	return n.offer(t, s, now)
}

// offer takes s when it is sound and tells the peers that do not hold it.
func (n *Node) offer(t Topic, s State, now time.Time) []Action {
	r := n.replicas[t]
	if err := n.Accept(t, s); err != nil {
		if s.Mark.above(t, r.refused) {
			r.refused = s.Mark
		}
		return []Action{Refuse{Topic: t, Mark: s.Mark, Err: err}}
	}
	r.adopt(s)
	out := []Action{Adopt{Topic: t, State: s}}
	for _, id := range n.peerIDs() {
		if n.peers[id].marks.of(t) != s.Mark {
			out = append(out, n.greet(id, now))
		}
	}
	return append(out, n.pull(t, now)...)
}

// pull asks one of the peers that hold what this process wants, unless one
// has been asked already.
func (n *Node) pull(t Topic, now time.Time) []Action {
	if n.pulls[t] != nil {
		return nil
	}
	return n.pullBut(t, 0, now)
}

func (n *Node) pullBut(t Topic, but PeerID, now time.Time) []Action {
	r := n.replicas[t]
	for _, id := range n.peerIDs() {
		if id != but && r.wants(n.peers[id].marks.of(t)) {
			n.pulls[t] = &pull{peer: id, asked: now}
			return []Action{SendPull{Peer: id, Pull: Pull{Topic: t, Have: r.held.Mark}}}
		}
	}
	return nil
}

// Tick repeats what may have been lost: it tells every peer what is held and
// asks another peer when the one that was asked has not answered in time.
func (n *Node) Tick(now time.Time) []Action {
	var out []Action
	for _, t := range topics {
		p := n.pulls[t]
		if p == nil || now.Sub(p.asked) < PullTimeout {
			continue
		}
		delete(n.pulls, t)
		if other := n.pullBut(t, p.peer, now); other != nil {
			out = append(out, other...)
			continue
		}
		out = append(out, n.pull(t, now)...)
	}
	for _, id := range n.peerIDs() {
		out = append(out, n.greet(id, now))
	}
	return out
}

func (n *Node) greet(id PeerID, now time.Time) Action {
	return SendMarks{Peer: id, Marks: Marks{
		Document:  n.replicas[TopicDocument].held.Mark,
		VMs:       n.replicas[TopicVMs].held.Mark,
		ReaderAge: n.ReaderAge(now),
	}}
}

// peerIDs returns the connected peers in a fixed order.
func (n *Node) peerIDs() []PeerID { return slices.Sorted(maps.Keys(n.peers)) }

// collect adds a part to what the peer has sent so far and returns the whole
// after the last part.
func (p *peer) collect(d Delta) *Delta {
	have := p.pending[d.Topic]
	if have == nil || have.From != d.From || have.To != d.To || have.size()+d.size() > MaxBytes {
		have = &Delta{Topic: d.Topic, From: d.From, To: d.To}
	}
	have.Put = append(have.Put, d.Put...)
	have.Drop = append(have.Drop, d.Drop...)
	if d.More {
		p.pending[d.Topic] = have
		return nil
	}
	delete(p.pending, d.Topic)
	return have
}
