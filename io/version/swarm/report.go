package swarm

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
)

// headerTimeout bounds the wait for the first byte of an answer.
const headerTimeout = 10 * time.Second

func newTransport() *http.Transport {
	return &http.Transport{
		ResponseHeaderTimeout: headerTimeout,
		MaxIdleConnsPerHost:   2,
		IdleConnTimeout:       30 * time.Second,
	}
}

// counters are the metrics of transfers, in bytes.
type counters struct {
	scope  tally.Scope
	origin tally.Counter
	imp    tally.Counter
	trade  tally.Counter
	sent   tally.Counter
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("weights")
	return counters{
		scope:  scope,
		origin: received(scope, "origin"),
		imp:    received(scope, "import"),
		trade:  received(scope, "trade"),
		sent:   scope.Counter("sent_bytes_total"),
	}
}

// received counts the bytes of weights that came on one way.
func received(scope tally.Scope, via string) tally.Counter {
	return scope.Tagged(map[string]string{"via": via}).Counter("received_bytes_total")
}

func (c counters) failure(why burst.Failure) {
	c.scope.Tagged(map[string]string{"why": string(why)}).Counter("failures_total").Inc(1)
}

func (n *Node) count(v burst.Via, k int64) {
	if v == burst.ViaImport {
		n.counters.imp.Inc(k)
		return
	}
	n.counters.trade.Inc(k)
}

// failedTransfer logs how a transfer failed, with the step and the peer.
func (n *Node) failedTransfer(in *incoming, err error) {
	why, _ := classify(err)
	n.counters.failure(why)
	n.decide("fail", in.fetch.Chunk.Digest, choiceOf(in.fetch.Peer), string(why), err.Error())
	n.logger().WithFields(logrus.Fields{
		"step":  "transfer chunk",
		"peer":  choiceOf(in.fetch.Peer),
		"chunk": string(in.fetch.Chunk.Digest),
		"why":   string(why),
	}).Error(err.Error())
}

func (n *Node) report(step, peer string, err error) {
	n.Log.Decide(trail.Decision{Area: trail.AreaTransfer, Action: step, Choice: peer, Outcome: "error", Reason: err.Error()})
	n.logger().WithFields(logrus.Fields{"step": step, "peer": peer}).Error(err.Error())
}

func (n *Node) reportUnlessStopped(step, peer string, err error) {
	if err == nil || n.ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	n.report(step, peer, err)
}

func (n *Node) warn(step, peer, what string, d chunk.Digest) {
	n.logger().WithFields(logrus.Fields{"step": step, "peer": peer, "chunk": string(d)}).Warn(what)
}

func (n *Node) logger() logrus.FieldLogger {
	if n.Logger != nil {
		return n.Logger
	}
	return logrus.StandardLogger()
}

// progressed closes the channel of Changed when there is something to see.
func (n *Node) progressed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.state.wanted {
		p := n.progressOf(w)
		if p.Total > 0 && (p.Verified || p.Have == 0) {
			close(n.changed)
			n.changed = make(chan struct{})
			return
		}
	}
}

func (n *Node) served(peer string) {
	n.do(func(s *state) { s.add(s.core.Served(s.now, peer)) })
}

func (n *Node) sentBlock(peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.core.Sent(n.Clock.Now(), peer)
}

func (n *Node) held(d chunk.Digest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.core.Held(d)
}

func (n *Node) arriving(d chunk.Digest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.incoming[d] != nil
}

func (n *Node) wanted(d chunk.Digest) bool {
	_, ok := n.wantedRef(d)
	return ok
}

func (n *Node) wantedRef(d chunk.Digest) (chunk.Ref, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.core.Wanted(d)
}

// bytesOf returns a held chunk, from the cache or the staging area.
func (n *Node) bytesOf(ctx context.Context, ref chunk.Ref) ([]byte, error) {
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
