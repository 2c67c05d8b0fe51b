package swarm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/version/pace"
)

const (
	// DefaultMaxBlockTime is the longest time that one block may occupy a machine's
	// own link.
	DefaultMaxBlockTime = 4 * time.Millisecond

	// regionBlockTime is the same for the link between regions.
	regionBlockTime = 2 * time.Millisecond
	// minBlockSize is the size below which the overhead of a message outweighs
	// the shorter delay of live calls.
	minBlockSize = 2 << 10
)

// requestWindow is how many blocks of one chunk may be requested and not yet
// received.
const requestWindow = 4

// incoming is the transfer of one chunk to this side.
type incoming struct {
	id     transferID
	fetch  spread.Fetch
	cancel context.CancelCauseFunc
	blocks chan *block
	// deferred signals that the peer wants the chunk too but does not hold it
	// yet.
	deferred chan struct{}
}

// errNotHeld ends a transfer from a peer that refused to send the chunk.
var errNotHeld = errors.New("peer does not have the chunk")

// errStopped ends a transfer that was stopped on purpose. It is not counted as
// a failure.
var errStopped = errors.New("stopped")

// startTransfer starts the transfer of a chunk in the background. The caller
// holds n.mu.
func (n *Node) startTransfer(s *state, f spread.Fetch) {
	ctx, cancel := context.WithCancelCause(n.ctx)
	s.transfersStarted++
	id := transferID{Chunk: f.Chunk.Digest, Number: s.transfersStarted}
	in := &incoming{id: id, fetch: f, cancel: cancel, blocks: make(chan *block, 2*requestWindow), deferred: make(chan struct{}, 1)}
	s.incoming[f.Chunk.Digest] = in
	n.spawn(s, func() {
		defer cancel(nil)
		n.runTransfer(ctx, in)
	})
}

// runTransfer downloads a chunk, stages it and reports the outcome.
func (n *Node) runTransfer(ctx context.Context, in *incoming) {
	b, err := n.download(ctx, in)
	if err == nil {
		err = operr.Wrap("stage chunk", "engine", n.Staging.Put(ctx, in.fetch.Chunk.Digest, b))
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	n.finishTransfer(in, b, err)
}

// download returns a verified chunk from the origin or a peer.
func (n *Node) download(ctx context.Context, in *incoming) ([]byte, error) {
	if in.fetch.Via == spread.ViaOrigin {
		return n.downloadFromOrigin(ctx, in)
	}
	c, err := n.connectTo(ctx, in.fetch.Peer)
	if err != nil {
		return nil, err
	}
	b, err := n.downloadFromPeer(ctx, c, in)
	if err != nil {
		c.queueControl(&cancelTransfer{transferID: in.id})
		return nil, err
	}
	if digest := chunk.DigestOf(b); digest != in.fetch.Chunk.Digest {
		err := errors.Wrapf(errCorrupt, "digest %s, want %s", digest, in.fetch.Chunk.Digest)
		return nil, operr.Wrap("verify chunk", in.fetch.Peer, err)
	}
	return b, nil
}

// downloadFromOrigin reads a chunk from the origin, or from Source when that
// is set.
func (n *Node) downloadFromOrigin(ctx context.Context, in *incoming) ([]byte, error) {
	size := in.fetch.Chunk.Size
	if err := n.InflowWindow.Acquire(ctx, size); err != nil {
		return nil, err
	}
	var got int64
	defer func() { n.InflowWindow.Release(size, got) }()
	n.requestSent(in)
	return n.source.Chunk(ctx, in.fetch.Chunk, func(k int) {
		got += int64(k)
		n.counters.origin.Inc(int64(k))
		n.bytesReceived(in)
	})
}

// downloadFromPeer requests a chunk block by block at the rate that the links
// allow and assembles it. The result is not verified yet.
func (n *Node) downloadFromPeer(ctx context.Context, c *conn, in *incoming) ([]byte, error) {
	size := in.fetch.Chunk.Size
	buf := make([]byte, size)
	limiter := n.importLimiter(in.fetch.Share)
	blockSize := n.requestSize(in.fetch.Via)
	var paced, requested, received int64
	out := outstanding{window: n.InflowWindow}
	defer out.finish()
	for received < size {
		for requested < size && requested-received < maxOutstanding(received, blockSize) {
			k := min(blockSize, size-requested)
			if paced == requested {
				if err := n.waitForLinks(ctx, limiter, in.fetch.Via, int(k)); err != nil {
					return nil, err
				}
				paced += k
			}
			allowed, err := out.reserve(ctx, k)
			if err != nil {
				return nil, err
			}
			if !allowed {
				break
			}
			if requested == 0 {
				n.requestSent(in)
			}
			c.queueControl(&blockRequest{transferID: in.id, Offset: requested, Length: k})
			requested += k
			if requested == size {
				n.withState(func(s *state) { s.addActions(s.distribution.FullyRequested(s.now, in.fetch.Chunk.Digest)) })
			}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-in.deferred:
			out.releaseAll()
		case b := <-in.blocks:
			if b.Offset != received || b.Offset+int64(len(b.Data)) > requested {
				err := errors.Wrapf(errCorrupt, "block at %d of %d bytes, want offset %d up to %d", b.Offset, len(b.Data), received, requested)
				return nil, operr.Wrap("receive chunk", c.peerName(), err)
			}
			received += int64(copy(buf[received:], b.Data))
			out.releaseOldest(int64(len(b.Data)))
			n.countReceived(in.fetch.Via, int64(len(b.Data)))
			b.recycle()
			n.bytesReceived(in)
		}
	}
	return buf, nil
}

// requestSize returns the size of the blocks to request: as much as the link
// carries in a few milliseconds, since a live call may have to wait for one
// block of each transfer on that link.
func (n *Node) requestSize(v spread.Via) int64 {
	rate := float64(n.pacer.Down.Rate)
	maxTime := n.MaxBlockTime
	if v == spread.ViaImport {
		rate = n.pacer.RegionAvailable(n.sidesInRegion())
		maxTime = regionBlockTime
	}
	if rate <= 0 {
		return n.BlockSize
	}
	return min(max(int64(rate*maxTime.Seconds()), minBlockSize), n.BlockSize)
}

// requestSent tells the distribution that the first bytes of a chunk have been
// requested.
func (n *Node) requestSent(in *incoming) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d := in.fetch.Chunk.Digest; n.state.incoming[d] == in {
		n.state.distribution.RequestSent(n.Clock.Now(), d)
	}
}

// bytesReceived tells the distribution that a transfer has received bytes and
// is not stalled.
func (n *Node) bytesReceived(in *incoming) {
	n.withState(func(s *state) {
		if d := in.fetch.Chunk.Digest; s.incoming[d] == in {
			s.addActions(s.distribution.BytesReceived(s.now, d))
		}
	})
}

// waitForLinks waits until both the import's share of the region link and the
// machine's own link allow k more bytes.
func (n *Node) waitForLinks(ctx context.Context, importLimiter *pace.Limiter, v spread.Via, k int) error {
	if err := importLimiter.Wait(ctx, k); err != nil {
		return err
	}
	return n.waitForDownlink(ctx, v, k)
}

// waitForDownlink waits until the machine's own link allows k more bytes.
// Imports take precedence because the other sides of the region wait for them.
func (n *Node) waitForDownlink(ctx context.Context, v spread.Via, k int) error {
	if v == spread.ViaImport {
		return n.pacer.Down.WaitPriority(ctx, k)
	}
	return n.pacer.Down.Wait(ctx, k)
}

// importLimiter limits one import to its share of the region link. It returns
// nil, which does not limit, if share is zero, as it is for other transfers.
func (n *Node) importLimiter(share float64) *pace.Limiter {
	if share <= 0 {
		return nil
	}
	available := n.pacer.RegionAvailable(n.sidesInRegion())
	return &pace.Limiter{Clock: n.Clock, Rate: int64(available * share)}
}
