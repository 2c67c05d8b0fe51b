package swarm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/pace"
)

// Times that one block may take on a machine's link and on a region link,
// and the size under which the cost of a message is more than it saves.
const (
	blockTime      = 8 * time.Millisecond
	crossBlockTime = 2 * time.Millisecond
	leastBlock     = 2 << 10
)

// window is how many blocks of a chunk are asked for ahead.
const window = 4

// incoming is one chunk on its way to this side.
type incoming struct {
	id     transferID
	fetch  burst.Fetch
	cancel context.CancelCauseFunc
	blocks chan *block
	// later tells that the peer wants the chunk too and still lacks it.
	later chan struct{}
}

// errLacks ends a transfer from a peer that does not have the chunk.
var errLacks = errors.New("peer does not have the chunk")

// errStopped ends a transfer that was stopped on purpose.
var errStopped = errors.New("stopped")

// fetch starts a transfer; it is called with the state locked.
func (n *Node) fetch(s *state, f burst.Fetch) {
	ctx, cancel := context.WithCancelCause(n.ctx)
	s.transfers++
	id := transferID{Chunk: f.Chunk.Digest, Number: s.transfers}
	in := &incoming{id: id, fetch: f, cancel: cancel, blocks: make(chan *block, 2*window), later: make(chan struct{}, 1)}
	s.incoming[f.Chunk.Digest] = in
	n.wg.Go(func() {
		defer cancel(nil)
		n.carry(ctx, in)
	})
}

func (n *Node) carry(ctx context.Context, in *incoming) {
	b, err := n.obtain(ctx, in)
	if err == nil {
		err = fault.At("stage chunk", "engine", n.Staging.Put(ctx, in.fetch.Chunk.Digest, b))
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	n.finish(in, b, err)
}

func (n *Node) obtain(ctx context.Context, in *incoming) ([]byte, error) {
	if in.fetch.Via == burst.ViaOrigin {
		return n.draw(ctx, in)
	}
	c, err := n.connTo(ctx, in.fetch.Peer)
	if err != nil {
		return nil, err
	}
	b, err := n.receive(ctx, c, in)
	if err != nil {
		c.send(&drop{transferID: in.id})
		return nil, err
	}
	if got := chunk.Sum(b); got != in.fetch.Chunk.Digest {
		err := errors.Wrapf(errCorrupt, "digest %s, want %s", got, in.fetch.Chunk.Digest)
		return nil, fault.At("verify chunk", in.fetch.Peer, err)
	}
	return b, nil
}

// draw gets a chunk from the origin.
func (n *Node) draw(ctx context.Context, in *incoming) ([]byte, error) {
	size := in.fetch.Chunk.Size
	if err := n.Inflow.Acquire(ctx, size); err != nil {
		return nil, err
	}
	var got int64
	defer func() { n.Inflow.Release(size, got) }()
	n.requested(in)
	return n.source.Chunk(ctx, in.fetch.Chunk, func(k int) {
		got += int64(k)
		n.counters.origin.Inc(int64(k))
		n.advance(in)
	})
}

// receive asks for a chunk block by block, each when the links allow it, and
// puts it together.
func (n *Node) receive(ctx context.Context, c *conn, in *incoming) ([]byte, error) {
	size := in.fetch.Chunk.Size
	buf := make([]byte, size)
	share := n.shareLine(in.fetch.Share)
	piece := n.pieceSize(in.fetch.Via)
	var paced, asked, got int64
	flow := inflow{window: n.Inflow}
	defer flow.end()
	for got < size {
		for asked < size && asked-got < ahead(got, piece) {
			k := min(piece, size-asked)
			if paced == asked {
				if err := n.waitLinks(ctx, share, in.fetch.Via, int(k)); err != nil {
					return nil, err
				}
				paced += k
			}
			room, err := flow.ask(ctx, k)
			if err != nil {
				return nil, err
			}
			if !room {
				break
			}
			if asked == 0 {
				n.requested(in)
			}
			c.send(&want{transferID: in.id, Offset: asked, Length: k})
			asked += k
			if asked == size {
				n.do(func(s *state) { s.add(s.core.Asked(s.now, in.fetch.Chunk.Digest)) })
			}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-in.later:
			flow.waive()
		case b := <-in.blocks:
			if b.Offset != got || b.Offset+int64(len(b.Data)) > asked {
				err := errors.Wrapf(errCorrupt, "block at %d of %d bytes, want offset %d up to %d", b.Offset, len(b.Data), got, asked)
				return nil, fault.At("receive chunk", c.name(), err)
			}
			got += int64(copy(buf[got:], b.Data))
			flow.came(int64(len(b.Data)))
			n.count(in.fetch.Via, int64(len(b.Data)))
			n.advance(in)
		}
	}
	return buf, nil
}

// ahead is how many bytes may be asked for and not come: one block until the
// peer has sent any, since it may itself still lack the chunk.
func ahead(got, piece int64) int64 {
	if got == 0 {
		return piece
	}
	return window * piece
}

// inflow is one transfer's part of what is on its way to the side.
type inflow struct {
	window *pace.Window
	under  []int64
}

// ask reports whether k more bytes may be asked for. It waits for room only while
// nothing of the transfer is on its way. Waiting with some on its way, the
// transfer would not take its blocks and so not give back their room: several
// would wait for each other's, and where the window holds less than two blocks
// one for its own, until they pass for stalled and their peers are blamed. A
// transfer that is told of no room takes a block and asks again.
func (f *inflow) ask(ctx context.Context, k int64) (bool, error) {
	if len(f.under) > 0 {
		if !f.window.TryAcquire(k) {
			return false, nil
		}
	} else if err := f.window.Acquire(ctx, k); err != nil {
		return false, err
	}
	f.under = append(f.under, k)
	return true, nil
}

// waive takes what was asked for out of the count: the peer still lacks the chunk
// and sends it when it has it, if ever. Counted meanwhile, such questions would
// fill the window, and the chunks of another version, which are there, could not
// be asked for. Not counted from the start, as many as a side has turns for would
// stand before a choked link, seconds deep.
func (f *inflow) waive() {
	for i, k := range f.under {
		f.window.Release(k, 0)
		f.under[i] = 0
	}
}

// came takes a block of n bytes.
func (f *inflow) came(n int64) {
	if len(f.under) == 0 {
		return
	}
	f.window.Release(f.under[0], n)
	f.under = f.under[1:]
}

// end gives back what did not come.
func (f *inflow) end() {
	f.waive()
	f.under = nil
}

// pieceSize is the size of the blocks to ask for: what the link carries in a
// few milliseconds, since a live call may wait behind a block of each transfer
// that shares the link.
func (n *Node) pieceSize(v burst.Via) int64 {
	rate := float64(n.pacer.Down.Rate)
	most := blockTime
	if v == burst.ViaImport {
		rate = n.pacer.RegionLeft(n.sidesInRegion())
		most = crossBlockTime
	}
	if rate <= 0 {
		return n.BlockSize
	}
	return min(max(int64(rate*most.Seconds()), leastBlock), n.BlockSize)
}

func (n *Node) requested(in *incoming) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d := in.fetch.Chunk.Digest; n.state.incoming[d] == in {
		n.state.core.Requested(n.Clock.Now(), d)
	}
}

func (n *Node) advance(in *incoming) {
	n.do(func(s *state) {
		if d := in.fetch.Chunk.Digest; s.incoming[d] == in {
			s.add(s.core.Progressed(s.now, d))
		}
	})
}

// waitLinks waits until the share of the region link and the machine's own link
// allow the next k bytes.
func (n *Node) waitLinks(ctx context.Context, share *pace.Line, v burst.Via, k int) error {
	if err := share.Wait(ctx, k); err != nil {
		return err
	}
	return n.waitDown(ctx, v, k)
}

// waitDown paces what comes in. Imports go first: the rest of the region
// waits for them.
func (n *Node) waitDown(ctx context.Context, v burst.Via, k int) error {
	if v == burst.ViaImport {
		return n.pacer.Down.WaitFirst(ctx, k)
	}
	return n.pacer.Down.Wait(ctx, k)
}

// shareLine paces one import at its share of the region link.
func (n *Node) shareLine(share float64) *pace.Line {
	if share <= 0 {
		return nil
	}
	left := n.pacer.RegionLeft(n.sidesInRegion())
	return &pace.Line{Clock: n.Clock, Rate: int64(left * share)}
}

// deliver hands a block to its transfer. A block that nobody asked for is
// dropped: it may have crossed with a drop.
func (n *Node) deliver(c *conn, b *block) {
	in := n.transfer(c, b.transferID)
	if in == nil {
		return
	}
	select {
	case in.blocks <- b:
	default:
		err := errors.Wrapf(errCorrupt, "more blocks of %s than asked for", b.Chunk)
		in.cancel(fault.At("receive chunk", c.name(), err))
	}
}

// deferred takes a peer's word that it wants a chunk too and still lacks it.
func (n *Node) deferred(c *conn, id transferID) {
	n.do(func(s *state) {
		in := s.transfer(c, id)
		if in == nil {
			return
		}
		select {
		case in.later <- struct{}{}:
		default:
			// It was told before and has not been taken yet.
		}
		s.add(s.core.Deferred(s.now, id.Chunk, c.name()))
	})
}

// transfer returns the transfer that a peer's message belongs to, nil if it is
// over.
func (n *Node) transfer(c *conn, id transferID) *incoming {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.transfer(c, id)
}

func (s *state) transfer(c *conn, id transferID) *incoming {
	in := s.incoming[id.Chunk]
	if in == nil || in.id != id || in.fetch.Peer != c.name() {
		return nil
	}
	return in
}

func (n *Node) lacking(c *conn, id transferID) {
	if in := n.transfer(c, id); in != nil {
		in.cancel(fault.At("ask for chunk", c.name(), errLacks))
	}
}

// finish tells the decisions how a transfer ended.
func (n *Node) finish(in *incoming, b []byte, err error) {
	d := in.fetch.Chunk.Digest
	if err == nil {
		n.cache.put(d, b)
	}
	n.do(func(s *state) {
		if s.incoming[d] == in {
			delete(s.incoming, d)
		}
		if err == nil {
			s.add(s.core.Arrived(s.now, d))
			return
		}
		if errors.Is(err, errStopped) || n.ctx.Err() != nil {
			return
		}
		why, after := classify(err)
		s.add(s.core.Failed(s.now, d, in.fetch.Peer, why, after))
	})
	if err == nil {
		n.uploads.signal()
		n.progressed()
		return
	}
	if !errors.Is(err, errStopped) && n.ctx.Err() == nil {
		n.failedTransfer(in, err)
	}
}

func classify(err error) (burst.Failure, time.Duration) {
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		return burst.FailRefused, refused.RetryAfter
	case errors.Is(err, errCorrupt):
		return burst.FailCorrupt, 0
	case errors.Is(err, errLacks):
		return burst.FailLacks, 0
	default:
		return burst.FailGone, 0
	}
}
