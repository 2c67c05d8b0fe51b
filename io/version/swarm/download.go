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

// DefaultBlockTime and crossBlockTime are what one block may take on a machine's
// link and on a region link, leastBlock the size under which the cost of a message
// is more than it saves.
const (
	DefaultBlockTime = 4 * time.Millisecond

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
	n.spawn(s, func() {
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

// pieceSize is the size of the blocks to ask for: what the link carries in a
// few milliseconds, since a live call may wait behind a block of each transfer
// that shares the link.
func (n *Node) pieceSize(v burst.Via) int64 {
	rate := float64(n.pacer.Down.Rate)
	most := n.BlockTime
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
