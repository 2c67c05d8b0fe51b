package gossip

import (
	"maps"
	"slices"
	"time"
)

// PullTimeout is how long to wait for a peer's answer to a pull before another
// peer is asked.
const PullTimeout = time.Second

// PeerID identifies one connection to a peer. A peer that reconnects gets a new
// one.
type PeerID uint64

// Node is the protocol's state machine for one process. Its methods take an
// event and the current time and return the actions to perform. A Node must be
// used from a single goroutine. Accept validates a state before it is adopted;
// it must be set before the first event.
type Node struct {
	Zone   string
	Accept func(Topic, State) error

	replicas        map[Topic]*replica
	peers           map[PeerID]*peer
	pulls           map[Topic]*pull
	lastReaderAlive time.Time
	noPeersSince    time.Time
}

// peer is what is known of a connected peer: its zone, the marks that it sent
// last, and the parts of unfinished deltas from it.
type peer struct {
	zone    string
	marks   Marks
	pending map[Topic]*Delta
}

// pull is a request to a peer that has not been answered yet.
type pull struct {
	peer  PeerID
	asked time.Time
}

var topics = []Topic{TopicDocument, TopicVMs}

// Start initializes the node. It assumes that a reader is alive at now, so that
// a starting process does not conclude at once that there is none.
func (n *Node) Start(now time.Time) {
	n.replicas = map[Topic]*replica{}
	for _, t := range topics {
		n.replicas[t] = &replica{topic: t}
	}
	n.peers = map[PeerID]*peer{}
	n.pulls = map[Topic]*pull{}
	n.lastReaderAlive = now
	n.noPeersSince = now
}

// Held returns the state held for a topic; its version is 0 if there is none
// yet.
func (n *Node) Held(t Topic) State { return n.replicas[t].held }

// Refused returns the highest version that was offered and failed validation.
func (n *Node) Refused(t Topic) uint64 { return n.replicas[t].refused.Version }

// Conflict returns the version of the held state if a peer or the platform has
// other content under the same version, else 0.
func (n *Node) Conflict(t Topic) uint64 {
	if r := n.replicas[t]; r.conflict == r.held.Mark.Version {
		return r.conflict
	}
	return 0
}

// Peers returns the number of connected peers.
func (n *Node) Peers() int { return len(n.peers) }

// Connected adds a peer of the given zone and sends it the marks held.
func (n *Node) Connected(id PeerID, zone string, now time.Time) []Action {
	n.peers[id] = &peer{zone: zone, pending: map[Topic]*Delta{}}
	return []Action{n.sendMarks(id, now)}
}

// Disconnected removes a disconnected peer. A pull that it has not answered is
// sent to another peer.
func (n *Node) Disconnected(id PeerID, now time.Time) []Action {
	delete(n.peers, id)
	if len(n.peers) == 0 {
		n.noPeersSince = now
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

// Marks handles a peer's message about the states that it holds.
func (n *Node) Marks(id PeerID, m Marks, now time.Time) []Action {
	p, ok := n.peers[id]
	if !ok {
		return nil
	}
	p.marks = m
	if seen := now.Add(-m.ReaderAge); p.zone == n.Zone && seen.After(n.lastReaderAlive) {
		n.lastReaderAlive = seen
	}
	var out []Action
	for _, t := range topics {
		r := n.replicas[t]
		mark := m.forTopic(t)
		if mark.conflicts(t, r.held.Mark) && r.conflict != mark.Version {
			r.conflict = mark.Version
			out = append(out, Conflict{Topic: t, Peer: id, Mark: mark})
		}
		out = append(out, n.pull(t, now)...)
	}
	return out
}

// Pull answers a peer's request for the held state.
func (n *Node) Pull(id PeerID, p Pull) []Action {
	r := n.replicas[p.Topic]
	if n.peers[id] == nil || !r.held.Mark.supersedes(p.Topic, p.Have) {
		return nil
	}
	var out []Action
	for _, d := range r.deltasFrom(p.Have) {
		out = append(out, SendDelta{Peer: id, Delta: d})
	}
	return out
}

// Delta handles one part of the answer to a pull.
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
		return n.refuseDelta(id, *whole, err, now)
	}
	return n.adoptIfValid(d.Topic, next, now)
}

// refuseDelta reports a delta that did not result in the state it announced,
// and asks the peer for the whole state. If the delta already was the whole
// state, the peer is not asked again before its next marks, so that a faulty
// peer cannot keep this process busy.
func (n *Node) refuseDelta(id PeerID, d Delta, err error, now time.Time) []Action {
	t := d.Topic
	out := []Action{Refused{Topic: t, Peer: id, Mark: d.To, Err: err}}
	if n.pulls[t] != nil || d.From.Version == 0 {
		return out
	}
	n.pulls[t] = &pull{peer: id, asked: now}
	return append(out, SendPull{Peer: id, Pull: Pull{Topic: t}})
}

// Read handles a state that this process has read from the platform.
func (n *Node) Read(t Topic, s State, now time.Time) []Action {
	r := n.replicas[t]
	switch {
	case s.Mark == r.held.Mark:
		return nil
	case s.Mark.conflicts(t, r.held.Mark):
		r.conflict = s.Mark.Version
		return []Action{Conflict{Topic: t, Mark: s.Mark}}
	case !s.Mark.supersedes(t, r.held.Mark):
		return []Action{Ignored{Topic: t, Mark: s.Mark, Held: r.held.Mark}}
	}
	return n.adoptIfValid(t, s, now)
}

// adoptIfValid adopts s if Accept allows it, and sends the new marks to the
// peers that don't hold it.
func (n *Node) adoptIfValid(t Topic, s State, now time.Time) []Action {
	r := n.replicas[t]
	if err := n.Accept(t, s); err != nil {
		if s.Mark.supersedes(t, r.refused) {
			r.refused = s.Mark
		}
		return []Action{Refused{Topic: t, Mark: s.Mark, Err: err}}
	}
	r.adopt(s)
	out := []Action{Adopt{Topic: t, State: s}}
	for _, id := range n.peerIDs() {
		if n.peers[id].marks.forTopic(t) != s.Mark {
			out = append(out, n.sendMarks(id, now))
		}
	}
	return append(out, n.pull(t, now)...)
}

// pull requests the state of a topic from a peer that holds a newer one, unless
// a request is already pending.
func (n *Node) pull(t Topic, now time.Time) []Action {
	if n.pulls[t] != nil {
		return nil
	}
	return n.pullExcept(t, 0, now)
}

func (n *Node) pullExcept(t Topic, except PeerID, now time.Time) []Action {
	r := n.replicas[t]
	for _, id := range n.peerIDs() {
		if id != except && r.wants(n.peers[id].marks.forTopic(t)) {
			n.pulls[t] = &pull{peer: id, asked: now}
			return []Action{SendPull{Peer: id, Pull: Pull{Topic: t, Have: r.held.Mark}}}
		}
	}
	return nil
}

// Tick repeats what may have been lost: it sends the marks held to every peer,
// and repeats a pull that timed out, preferably at another peer.
func (n *Node) Tick(now time.Time) []Action {
	var out []Action
	for _, t := range topics {
		p := n.pulls[t]
		if p == nil || now.Sub(p.asked) < PullTimeout {
			continue
		}
		delete(n.pulls, t)
		if other := n.pullExcept(t, p.peer, now); other != nil {
			out = append(out, other...)
			continue
		}
		out = append(out, n.pull(t, now)...)
	}
	for _, id := range n.peerIDs() {
		out = append(out, n.sendMarks(id, now))
	}
	return out
}

func (n *Node) sendMarks(id PeerID, now time.Time) Action {
	return SendMarks{Peer: id, Marks: Marks{
		Document:  n.replicas[TopicDocument].held.Mark,
		VMs:       n.replicas[TopicVMs].held.Mark,
		ReaderAge: n.ReaderAge(now),
	}}
}

// peerIDs returns the connected peers in a deterministic order.
func (n *Node) peerIDs() []PeerID { return slices.Sorted(maps.Keys(n.peers)) }

// collect adds one part of a delta to those received before, and returns the
// complete delta after the last part. A part of another delta, or one that
// exceeds MaxBytes in total, discards the earlier parts.
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
