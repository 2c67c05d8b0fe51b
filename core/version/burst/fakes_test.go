package burst

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"hawthornferry/core/version/chunk"
)

// Times of the fake network.
const (
	messageTime  = time.Millisecond
	transferTime = 20 * time.Millisecond
	tickTime     = 100 * time.Millisecond
	giveUpTime   = 5 * time.Minute
)

// network joins States by messages that take a fixed time. Everything in it
// is determined by the seeds.
type network struct {
	t      *testing.T
	now    time.Duration
	seq    int
	events queue
	sides  map[string]*fakeSide
	names  []string
	links  map[[2]string]bool
	drawn  map[chunk.Digest]int
	// cut reports links that are down, stall those on which no transfer
	// ends, corrupt those on which chunks arrive wrong.
	cut     func(a, b string) bool
	stall   func(from, to string) bool
	corrupt func(from, to string) bool
	// origin answers a draw: whether it succeeds, and when to come back.
	origin func(to string, d chunk.Digest, k int) (ok bool, after time.Duration)
	// wires, when set, are the links that transfers share; else each takes
	// transferTime.
	wires *wires
	// arrived, when set, is told of each chunk that comes to a side.
	arrived func(s *fakeSide, d chunk.Digest)
}

type fakeSide struct {
	Member
	state    *State
	dead     bool
	transfer map[chunk.Digest]int
	fetched  map[chunk.Digest]int
	dropped  []chunk.Digest
}

func newNetwork(t *testing.T, regions ...string) *network {
	n := &network{t: t, sides: map[string]*fakeSide{}, links: map[[2]string]bool{}, drawn: map[chunk.Digest]int{}}
	never := func(string, string) bool { return false }
	n.cut, n.stall, n.corrupt = never, never, never
	n.origin = func(string, chunk.Digest, int) (bool, time.Duration) { return true, 0 }
	for i, r := range regions {
		n.add(fmt.Sprintf("side%02d", i), r, uint64(i))
	}
	return n
}

func (n *network) add(name, region string, seed uint64) *fakeSide {
	m := Member{Name: name, Region: region}
	s := &fakeSide{Member: m, transfer: map[chunk.Digest]int{}, fetched: map[chunk.Digest]int{}}
	s.state = New(Config{Self: m, OriginRegion: "r1", Seed: seed})
	n.sides[name] = s
	n.names = append(n.names, name)
	n.after(tickTime, func() { n.tick(s) })
	return s
}

func (n *network) time() time.Time { return time.Unix(1000, 0).Add(n.now) }

func (n *network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.events, event{at: n.now + d, seq: n.seq, run: run})
}

func (n *network) tick(s *fakeSide) {
	if s.dead {
		return
	}
	n.act(s, s.state.Tick(n.time()))
	n.after(tickTime, func() { n.tick(s) })
}

// until runs events until done, and fails the test when that never comes.
func (n *network) until(done func() bool) {
	n.t.Helper()
	for !done() {
		if n.now > giveUpTime {
			n.t.Fatalf("not done after %v", giveUpTime)
		}
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
}

func (n *network) update(sets ...Set) {
	for _, name := range n.names {
		s := n.sides[name]
		if !s.dead {
			n.act(s, s.state.Update(n.time(), sets))
		}
	}
}

func (n *network) members() []Member {
	var out []Member
	for _, name := range n.names {
		out = append(out, n.sides[name].Member)
	}
	return out
}

func (n *network) whole(id chunk.Digest) func() bool {
	return func() bool {
		for _, s := range n.sides {
			if t, ok := s.state.Tally(id); !s.dead && (!ok || t.Have < t.Total) {
				return false
			}
		}
		return true
	}
}

// kill ends a side; its peers see their connections close.
func (n *network) kill(name string) {
	n.sides[name].dead = true
	for _, other := range n.names {
		n.disconnect(name, other)
	}
}

func (n *network) disconnect(a, b string) {
	if !n.links[key(a, b)] {
		return
	}
	delete(n.links, key(a, b))
	for _, end := range [][2]string{{a, b}, {b, a}} {
		if s := n.sides[end[0]]; !s.dead {
			n.act(s, s.state.Disconnected(n.time(), end[1]))
		}
	}
}

func key(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// dial connects a side to another; one that is dead refuses it.
func (n *network) dial(a, b *fakeSide) {
	if !n.connect(a, b) && b.dead && !a.dead {
		n.act(a, a.state.Refused(n.time(), b.Name))
	}
}

func (n *network) connect(a, b *fakeSide) bool {
	if n.links[key(a.Name, b.Name)] {
		return true
	}
	if a.dead || b.dead || n.cut(a.Name, b.Name) {
		return false
	}
	n.links[key(a.Name, b.Name)] = true
	n.act(a, a.state.Connected(n.time(), b.Member))
	n.act(b, b.state.Connected(n.time(), a.Member))
	return true
}

func (n *network) act(s *fakeSide, actions []Action) {
	for _, a := range actions {
		n.carryOut(s, a)
	}
}

func (n *network) carryOut(s *fakeSide, a Action) {
	switch a := a.(type) {
	case Connect:
		n.after(messageTime, func() { n.dial(s, n.sides[a.Peer]) })
	case Gone:
		n.tell(s, a.Peer, func(p *State) []Action { return p.SidesGone(n.time(), s.Name, a.Sides) })
	case Greet:
		n.tell(s, a.Peer, func(p *State) []Action { return p.Greeted(n.time(), s.Name, a.Manifest, a.Have, a.Seen) })
	case Announce:
		n.tell(s, a.Peer, func(p *State) []Action {
			if len(a.Tried) > 0 {
				return p.Tried(n.time(), s.Name, a.Manifest, a.Tried)
			}
			return p.Announced(n.time(), s.Name, a.Manifest, a.Have, a.Seen)
		})
	case Offer:
		n.tell(s, a.Peer, func(p *State) []Action { return p.Offered(n.time(), s.Name) })
	case Pass:
		n.tell(s, a.Peer, func(p *State) []Action { return p.Passed(n.time(), s.Name) })
	case Ready:
		n.tell(s, a.Peer, func(p *State) []Action { return p.Readied(n.time(), s.Name) })
	case Disconnect:
		n.after(messageTime, func() { n.disconnect(s.Name, a.Peer) })
	case Discard:
		s.dropped = append(s.dropped, a.Chunk)
	case Stop:
		s.transfer[a.Chunk]++
		n.tell(s, a.Peer, func(p *State) []Action { return p.Served(n.time(), s.Name) })
	case Fetch:
		s.transfer[a.Chunk.Digest]++
		s.state.Requested(n.time(), a.Chunk.Digest)
		n.transferOver(s, a, s.transfer[a.Chunk.Digest], n.span(s, a))
	}
}

// transferOver has a transfer end, and half of its bytes come before.
func (n *network) transferOver(s *fakeSide, f Fetch, id int, span time.Duration) {
	n.after(span/2, func() {
		if s.transfer[f.Chunk.Digest] == id && !s.dead && !n.stall(f.Peer, s.Name) {
			n.halfWay(s, f)
		}
	})
	n.after(span, func() { n.end(s, f, id) })
}

// span is how long a transfer takes that begins now.
func (n *network) span(s *fakeSide, f Fetch) time.Duration {
	if n.wires == nil {
		return transferTime
	}
	return n.wires.span(n, s, f)
}

// halfWay is when half of a transfer's bytes are there, if the peer has them.
func (n *network) halfWay(s *fakeSide, f Fetch) {
	d := f.Chunk.Digest
	if f.Peer == "" || n.sides[f.Peer].state.Held(d) {
		s.state.Progressed(n.time(), d)
		n.act(s, s.state.Asked(n.time(), d))
	}
}

func (n *network) tell(s *fakeSide, name string, f func(p *State) []Action) {
	n.after(messageTime, func() {
		p := n.sides[name]
		if p != nil && !p.dead && n.links[key(s.Name, name)] {
			n.act(p, f(p.state))
		}
	})
}

// end is the end of a transfer, unless it was stopped.
func (n *network) end(s *fakeSide, f Fetch, id int) {
	d := f.Chunk.Digest
	if s.dead || s.transfer[d] != id {
		return
	}
	if f.Peer == "" {
		n.endDraw(s, d)
		return
	}
	p := n.sides[f.Peer]
	switch {
	case !n.connect(s, p):
		n.act(s, s.state.Failed(n.time(), d, f.Peer, FailGone, 0))
	case n.stall(p.Name, s.Name):
	case p.state.Held(d) && n.corrupt(p.Name, s.Name):
		n.act(s, s.state.Failed(n.time(), d, f.Peer, FailCorrupt, 0))
		n.act(p, p.state.Served(n.time(), s.Name))
	case p.state.Held(d):
		n.arrive(s, d)
		n.act(p, p.state.Served(n.time(), s.Name))
	default:
		n.endLater(s, p, f, id)
	}
}

func (n *network) endLater(s, p *fakeSide, f Fetch, id int) {
	if _, ok := p.state.Wanted(f.Chunk.Digest); !ok {
		n.act(s, s.state.Failed(n.time(), f.Chunk.Digest, f.Peer, FailLacks, 0))
		return
	}
	n.act(s, s.state.Deferred(n.time(), f.Chunk.Digest, f.Peer))
	n.whenHeld(s, p, f, id)
}

// whenHeld sends a chunk once the peer has it.
func (n *network) whenHeld(s, p *fakeSide, f Fetch, id int) {
	n.after(messageTime, func() {
		switch {
		case s.dead || s.transfer[f.Chunk.Digest] != id:
		case p.state.Held(f.Chunk.Digest):
			n.transferOver(s, f, id, n.span(s, f))
		default:
			n.whenHeld(s, p, f, id)
		}
	})
}

func (n *network) endDraw(s *fakeSide, d chunk.Digest) {
	n.drawn[d]++
	ok, after := n.origin(s.Name, d, n.drawn[d])
	if !ok {
		n.act(s, s.state.Failed(n.time(), d, "", FailRefused, after))
		return
	}
	n.arrive(s, d)
}

func (n *network) arrive(s *fakeSide, d chunk.Digest) {
	s.fetched[d]++
	n.act(s, s.state.Arrived(n.time(), d))
	if n.arrived != nil {
		n.arrived(s, d)
	}
}

func (n *network) draws() int {
	total := 0
	for _, k := range n.drawn {
		total += k
	}
	return total
}

// version makes a manifest of the chunks from first on.
func version(name string, first, count int) Set {
	m := chunk.Manifest{Model: "m", Version: name, Size: int64(count)}
	for i := range count {
		d := chunk.Sum([]byte(fmt.Sprint("chunk", first+i)))
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: d, Size: 1})
	}
	return Set{ID: chunk.Sum([]byte(name)), Manifest: m}
}

func (s Set) of(members []Member) Set {
	s.Members = members
	return s
}

func regionsOf(counts ...int) []string {
	var out []string
	for i, k := range counts {
		for range k {
			out = append(out, fmt.Sprintf("r%d", i+1))
		}
	}
	return out
}
