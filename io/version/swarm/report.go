package swarm

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/bound"
)

// headerTimeout limits the wait for the response headers of the store and the
// origin.
const headerTimeout = 10 * time.Second

func newTransport() bound.Transport {
	t := bound.NewTransport(net.Dialer{})
	t.ResponseHeaderTimeout = headerTimeout
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = 2, 30*time.Second
	return t
}

// counters holds the metrics of transfers. The counters are in bytes, by
// route: from the origin, from another region, from the same region, and sent
// to peers.
type counters struct {
	scope    tally.Scope
	origin   tally.Counter
	imported tally.Counter
	traded   tally.Counter
	sent     tally.Counter
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("weights")
	return counters{
		scope:    scope,
		origin:   receivedCounter(scope, "origin"),
		imported: receivedCounter(scope, "import"),
		traded:   receivedCounter(scope, "trade"),
		sent:     scope.Counter("sent_bytes_total"),
	}
}

// receivedCounter returns the counter of bytes received by one route.
func receivedCounter(scope tally.Scope, via string) tally.Counter {
	return scope.Tagged(map[string]string{"via": via}).Counter("received_bytes_total")
}

// failure counts a failed transfer.
func (c counters) failure(why spread.Failure) {
	c.scope.Tagged(map[string]string{"why": string(why)}).Counter("failures_total").Inc(1)
}

// countReceived counts k bytes received from a peer.
func (n *Node) countReceived(v spread.Via, k int64) {
	if v == spread.ViaImport {
		n.counters.imported.Inc(k)
		return
	}
	n.counters.traded.Inc(k)
}

// logFailedTransfer counts and logs a failed transfer with the step and the
// peer.
func (n *Node) logFailedTransfer(in *incoming, err error) {
	why, _ := classifyFailure(err)
	n.counters.failure(why)
	n.logDecision("fail", in.fetch.Chunk.Digest, peerOrOrigin(in.fetch.Peer), string(why), err.Error())
	n.logger().WithFields(logrus.Fields{
		"step":  "transfer chunk",
		"peer":  peerOrOrigin(in.fetch.Peer),
		"chunk": string(in.fetch.Chunk.Digest),
		"why":   string(why),
	}).Error(err.Error())
}

// logError writes an error to the log and the decision log.
func (n *Node) logError(step, peer string, err error) {
	n.Log.Record(trail.Decision{Area: trail.AreaTransfer, Action: step, Choice: peer, Outcome: "error", Reason: err.Error()})
	n.logger().WithFields(logrus.Fields{"step": step, "peer": peer}).Error(err.Error())
}

// logErrorUnlessStopped logs err unless it is nil or due to the node stopping.
func (n *Node) logErrorUnlessStopped(step, peer string, err error) {
	if err == nil || n.ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	n.logError(step, peer, err)
}

func (n *Node) logWarning(step, peer, what string, d chunk.Digest) {
	n.logger().WithFields(logrus.Fields{"step": step, "peer": peer, "chunk": string(d)}).Warn(what)
}

func (n *Node) logger() logrus.FieldLogger {
	if n.Logger != nil {
		return n.Logger
	}
	return logrus.StandardLogger()
}

// notifyProgress closes the channel returned by ProgressChanged if some wanted version
// is complete, or its manifest is read and no chunk is held yet.
func (n *Node) notifyProgress() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.state.wanted {
		p := n.progressOf(w)
		if p.Total > 0 && (p.Verified || p.Held == 0) {
			close(n.changed)
			n.changed = make(chan struct{})
			return
		}
	}
}

// uploadEnded tells the distribution that an upload to a peer has ended, and whether
// all of the chunk was sent.
func (n *Node) uploadEnded(peer string, sent bool) {
	n.withState(func(s *state) { s.addActions(s.distribution.UploadEnded(s.now, peer, sent)) })
}

// blockSent tells the distribution that a block was queued for a peer.
func (n *Node) blockSent(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.distribution.BlockSent(n.Clock.Now(), peer)
}

// isHeld reports whether a chunk is verified and staged.
func (n *Node) isHeld(d chunk.Digest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.distribution.Held(d)
}

// isDownloading reports whether a chunk is being transferred to this side.
func (n *Node) isDownloading(d chunk.Digest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.incoming[d] != nil
}

// isWantedChunk reports whether a wanted version contains the chunk.
func (n *Node) isWantedChunk(d chunk.Digest) bool {
	_, ok := n.wantedChunk(d)
	return ok
}

// wantedChunk returns the chunk's entry in the manifest of a wanted version.
func (n *Node) wantedChunk(d chunk.Digest) (chunk.Ref, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.distribution.Wanted(d)
}

// readChunk returns a held chunk from the cache or the staging area.
func (n *Node) readChunk(ctx context.Context, ref chunk.Ref) ([]byte, error) {
	if b, ok := n.cache.get(ref.Digest); ok {
		return b, nil
	}
	b, err := n.Staging.Get(ctx, ref.Digest)
	if err != nil {
		return nil, err
	}
	if int64(len(b)) != ref.Size {
		return nil, errors.Newf("chunk %s has %d bytes in staging, want %d", ref.Digest, len(b), ref.Size)
	}
	n.cache.put(ref.Digest, b)
	return b, nil
}
