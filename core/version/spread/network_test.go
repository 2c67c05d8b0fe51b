package spread

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"hawthornferry/core/version/chunk"
)

// Durations in the simulated network.
const (
	messageTime      = time.Millisecond
	transferTime     = 20 * time.Millisecond
	tickTime         = 100 * time.Millisecond
	maxSimulatedTime = 5 * time.Minute
)

// network connects States by messages that take a fixed time. The seeds determine
// everything that happens in it.
type network struct {
	t              *testing.T
	now            time.Duration
	seq            int
	events         queue
	sides          map[string]*fakeSide
	names          []string
	links          map[[2]string]bool
	originRequests map[chunk.Digest]int
	// linkDown reports links that are down, stalled those on which no transfer
	// ends, corrupt those on which chunks arrive corrupt.
	linkDown func(a, b string) bool
	stalled  func(from, to string) bool
	corrupt  func(from, to string) bool
	// origin answers a request: whether it succeeds, and its Retry-After.
	origin func(to string, d chunk.Digest, k int) (ok bool, after time.Duration)
	// sharedLinks, when set, are the links that transfers share; otherwise each
	// transfer takes transferTime.
	sharedLinks *sharedLinks
	// originDown, when set, reports that the origin refuses a side's connections at present.
	originDown func(side string) bool
	// originHangs makes these connections hang instead.
	originHangs bool
	// onArrival, when set, is called for each chunk that a side receives.
	onArrival func(s *fakeSide, d chunk.Digest)
	// trace, when set, is called for each action.
	trace func(s *fakeSide, a Action)
}

type fakeSide struct {
	Member
	state       *State
	dead        bool
	transferIDs map[chunk.Digest]int
	fetched     map[chunk.Digest]int
	discarded   []chunk.Digest
}

func newNetwork(t *testing.T, regions ...string) *network {
	n := &network{t: t, sides: map[string]*fakeSide{}, links: map[[2]string]bool{}, originRequests: map[chunk.Digest]int{}}
	never := func(string, string) bool { return false }
	n.linkDown, n.stalled, n.corrupt = never, never, never
	n.origin = func(string, chunk.Digest, int) (bool, time.Duration) { return true, 0 }
	for i, r := range regions {
		n.add(fmt.Sprintf("side%02d", i), r, uint64(i))
	}
	return n
}

func (n *network) add(name, region string, seed uint64) *fakeSide {
	m := Member{Name: name, Region: region}
	s := &fakeSide{Member: m, transferIDs: map[chunk.Digest]int{}, fetched: map[chunk.Digest]int{}}
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
	n.carryOutAll(s, s.state.Tick(n.time()))
	n.after(tickTime, func() { n.tick(s) })
}

// runUntil runs events until done returns true, and fails the test after maxSimulatedTime.
func (n *network) runUntil(done func() bool) {
	n.t.Helper()
	for !done() {
		if n.now > maxSimulatedTime {
			n.t.Fatalf("not done after %v", maxSimulatedTime)
		}
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
}

func (n *network) update(sets ...WantedVersion) {
	for _, name := range n.names {
		s := n.sides[name]
		if !s.dead {
			n.carryOutAll(s, s.state.Update(n.time(), sets))
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

func (n *network) allComplete(id chunk.Digest) func() bool {
	return func() bool {
		for _, s := range n.sides {
			if t, ok := s.state.Progress(id); !s.dead && (!ok || t.Held < t.Total) {
				return false
			}
		}
		return true
	}
}

// kill stops a side; its peers see their connections close.
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
			n.carryOutAll(s, s.state.PeerDisconnected(n.time(), end[1]))
		}
	}
}

func key(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// dial connects a side to another; one that has stopped refuses the connection.
func (n *network) dial(a, b *fakeSide) {
	if !n.connect(a, b) && b.dead && !a.dead {
		n.carryOutAll(a, a.state.ConnectionRefused(n.time(), b.Name))
	}
}

func (n *network) connect(a, b *fakeSide) bool {
	if n.links[key(a.Name, b.Name)] {
		return true
	}
	if a.dead || b.dead || n.linkDown(a.Name, b.Name) {
		return false
	}
	n.links[key(a.Name, b.Name)] = true
	n.carryOutAll(a, a.state.PeerConnected(n.time(), b.Member))
	n.carryOutAll(b, b.state.PeerConnected(n.time(), a.Member))
	return true
}

func (n *network) carryOutAll(s *fakeSide, actions []Action) {
	for _, a := range actions {
		n.carryOut(s, a)
	}
}

func (n *network) carryOut(s *fakeSide, a Action) {
	if n.trace != nil {
		n.trace(s, a)
	}
	switch a := a.(type) {
	case Connect:
		n.after(messageTime, func() { n.dial(s, n.sides[a.Peer]) })
	case ReportDown:
		n.deliver(s, a.Peer, func(p *State) []Action { return p.SidesReportedDown(n.time(), s.Name, a.Sides) })
	case SendChunkSets:
		n.deliver(s, a.Peer, func(p *State) []Action {
			return p.ChunkSetsReceived(n.time(), s.Name, a.Manifest, a.Have, a.HeldInRegion)
		})
	case Announce:
		n.deliver(s, a.Peer, func(p *State) []Action {
			if len(a.Retrying) > 0 {
				return p.RetriesReported(n.time(), s.Name, a.Manifest, a.Retrying)
			}
			return p.AnnounceReceived(n.time(), s.Name, a.Manifest, a.Have, a.HeldInRegion)
		})
	case Offer:
		n.deliver(s, a.Peer, func(p *State) []Action { return p.OfferReceived(n.time(), s.Name) })
	case RefuseOffer:
		n.deliver(s, a.Peer, func(p *State) []Action { return p.OfferRefused(n.time(), s.Name) })
	case AcceptOffers:
		n.deliver(s, a.Peer, func(p *State) []Action { return p.PeerReady(n.time(), s.Name) })
	case Disconnect:
		n.after(messageTime, func() { n.disconnect(s.Name, a.Peer) })
	case DiscardChunk:
		s.discarded = append(s.discarded, a.Chunk)
	case StopTransfer:
		s.transferIDs[a.Chunk]++
		n.deliver(s, a.Peer, func(p *State) []Action { return p.UploadEnded(n.time(), s.Name, false) })
	case Fetch:
		s.transferIDs[a.Chunk.Digest]++
		s.state.RequestSent(n.time(), a.Chunk.Digest)
		n.startTransfer(s, a, s.transferIDs[a.Chunk.Digest])
	}
}

// startTransfer starts a transfer, in one piece or, over links that are shared by blocks,
// block by block.
func (n *network) startTransfer(s *fakeSide, f Fetch, id int) {
	if f.Peer == "" && n.originDown != nil && n.originDown(s.Name) {
		if !n.originHangs {
			n.after(messageTime, func() { n.finishTransfer(s, f, id) })
		}
		return
	}
	if n.sharedLinks != nil && n.sharedLinks.byBlocks && (f.Peer == "" || n.sides[f.Peer].state.Held(f.Chunk.Digest)) {
		n.transferBlock(s, f, id, 1)
		return
	}
	n.scheduleTransfer(s, f, id, n.transferDuration(s, f))
}

// transferBlock transfers a block of a chunk, and the next ones after it. A transfer that
// was stopped uses the links no longer.
func (n *network) transferBlock(s *fakeSide, f Fetch, id, block int) {
	n.after(n.sharedLinks.blockTime(n, s, f), func() {
		switch {
		case s.transferIDs[f.Chunk.Digest] != id || s.dead:
		case block == blocksPerChunk:
			n.finishTransfer(s, f, id)
		default:
			n.carryOutAll(s, s.state.BytesReceived(n.time(), f.Chunk.Digest))
			n.carryOutAll(s, s.state.FullyRequested(n.time(), f.Chunk.Digest))
			n.transferBlock(s, f, id, block+1)
		}
	})
}

// scheduleTransfer schedules the end of a transfer and, at half its duration, its progress.
func (n *network) scheduleTransfer(s *fakeSide, f Fetch, id int, span time.Duration) {
	n.after(span/2, func() {
		if s.transferIDs[f.Chunk.Digest] == id && !s.dead && !n.stalled(f.Peer, s.Name) {
			n.receiveHalf(s, f)
		}
	})
	n.after(span, func() { n.finishTransfer(s, f, id) })
}

// transferDuration is how long a transfer that begins now takes.
func (n *network) transferDuration(s *fakeSide, f Fetch) time.Duration {
	if n.sharedLinks == nil {
		return transferTime
	}
	return n.sharedLinks.transferDuration(n, s, f)
}

// receiveHalf reports half of a transfer's bytes as received, if the peer holds the chunk.
func (n *network) receiveHalf(s *fakeSide, f Fetch) {
	d := f.Chunk.Digest
	if f.Peer == "" || n.sides[f.Peer].state.Held(d) {
		n.carryOutAll(s, s.state.BytesReceived(n.time(), d))
		n.carryOutAll(s, s.state.FullyRequested(n.time(), d))
	}
}

func (n *network) deliver(s *fakeSide, name string, f func(p *State) []Action) {
	n.after(messageTime, func() {
		p := n.sides[name]
		if p != nil && !p.dead && n.links[key(s.Name, name)] {
			n.carryOutAll(p, f(p.state))
		}
	})
}

// finishTransfer ends a transfer, unless it was stopped.
func (n *network) finishTransfer(s *fakeSide, f Fetch, id int) {
	d := f.Chunk.Digest
	if s.dead || s.transferIDs[d] != id {
		return
	}
	if f.Peer == "" {
		n.finishOriginFetch(s, d)
		return
	}
	p := n.sides[f.Peer]
	switch {
	case !n.connect(s, p):
		n.carryOutAll(s, s.state.TransferFailed(n.time(), d, f.Peer, FailDisconnected, 0))
	case n.stalled(p.Name, s.Name):
	case p.state.Held(d) && n.corrupt(p.Name, s.Name):
		n.carryOutAll(s, s.state.TransferFailed(n.time(), d, f.Peer, FailCorrupt, 0))
		n.carryOutAll(p, p.state.UploadEnded(n.time(), s.Name, true))
	case p.state.Held(d):
		n.receiveChunk(s, d)
		n.carryOutAll(p, p.state.UploadEnded(n.time(), s.Name, true))
	default:
		n.finishDeferred(s, p, f, id)
	}
}

func (n *network) finishDeferred(s, p *fakeSide, f Fetch, id int) {
	if _, ok := p.state.Wanted(f.Chunk.Digest); !ok {
		n.carryOutAll(s, s.state.TransferFailed(n.time(), f.Chunk.Digest, f.Peer, FailNotHeld, 0))
		return
	}
	n.carryOutAll(s, s.state.ImportDeferred(n.time(), f.Chunk.Digest, f.Peer))
	n.sendWhenHeld(s, p, f, id)
}

// sendWhenHeld sends a chunk as soon as the peer holds it.
func (n *network) sendWhenHeld(s, p *fakeSide, f Fetch, id int) {
	n.after(messageTime, func() {
		switch {
		case s.dead || s.transferIDs[f.Chunk.Digest] != id:
		case p.state.Held(f.Chunk.Digest):
			n.startTransfer(s, f, id)
		default:
			n.sendWhenHeld(s, p, f, id)
		}
	})
}

func (n *network) finishOriginFetch(s *fakeSide, d chunk.Digest) {
	n.originRequests[d]++
	ok, after := n.origin(s.Name, d, n.originRequests[d])
	if !ok {
		n.carryOutAll(s, s.state.TransferFailed(n.time(), d, "", FailRefused, after))
		return
	}
	n.receiveChunk(s, d)
}

func (n *network) receiveChunk(s *fakeSide, d chunk.Digest) {
	s.fetched[d]++
	n.carryOutAll(s, s.state.ChunkStaged(n.time(), d))
	if n.onArrival != nil {
		n.onArrival(s, d)
	}
}

func (n *network) originFetches() int {
	total := 0
	for _, k := range n.originRequests {
		total += k
	}
	return total
}

// testVersion returns a version of count chunks, numbered from first.
func testVersion(name string, first, count int) WantedVersion {
	m := chunk.Manifest{Model: "m", Version: name, Size: int64(count)}
	for i := range count {
		d := chunk.DigestOf([]byte(fmt.Sprint("chunk", first+i)))
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: d, Size: 1})
	}
	return WantedVersion{ID: chunk.DigestOf([]byte(name)), Manifest: m}
}

func (s WantedVersion) withMembers(members []Member) WantedVersion {
	s.Members = members
	return s
}

func regionNames(counts ...int) []string {
	var out []string
	for i, k := range counts {
		for range k {
			out = append(out, fmt.Sprintf("r%d", i+1))
		}
	}
	return out
}
