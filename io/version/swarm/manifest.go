package swarm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/rank"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
)

// Bounds of manifests between sides.
const (
	// manifestFanout is how many sides ask one side for a manifest. The
	// store is limited in requests: with each side reading from it, a large
	// fleet would be refused for minutes. So one side of a region reads,
	// and the others ask along a tree by rank.
	manifestFanout   = 4
	peerManifestWait = 5 * time.Second
	// peerManifestTries is two, since two sides that dial each other at the
	// same moment drop one of the connections and what was asked on it.
	peerManifestTries = 2
	maxManifestAsks   = 64
)

// askManifest asks for a manifest; part carries a piece of one.
type (
	askManifest struct {
		Manifest chunk.Digest `msgpack:"manifest"`
	}
	part struct {
		Manifest chunk.Digest `msgpack:"manifest"`
		Offset   int64        `msgpack:"offset"`
		Total    int64        `msgpack:"total"`
		Data     []byte       `msgpack:"data"`
	}
)

func (*askManifest) Kind() frame.Kind { return "askManifest" }
func (*part) Kind() frame.Kind        { return "part" }

// Check reports whether the manifest is named by a digest.
func (m *askManifest) Check() error { return m.Manifest.Check() }

// Check reports the first field that is out of its domain.
func (m *part) Check() error {
	if len(m.Data) == 0 || len(m.Data) > MaxBlock {
		return errors.Newf("part: %d bytes, want 1 to %d", len(m.Data), MaxBlock)
	}
	if m.Total <= 0 || m.Total > maxManifest {
		return errors.Newf("part: total %d, want 1 to %d", m.Total, maxManifest)
	}
	if m.Offset < 0 || m.Offset > m.Total-int64(len(m.Data)) {
		return errors.Newf("part: offset %d out of range", m.Offset)
	}
	return m.Manifest.Check()
}

// manifestAsk is a manifest on its way from a peer.
type manifestAsk struct {
	peer string
	data []byte
	done chan struct{}
}

// obtainManifest gets a manifest from the side above this one in the region's
// tree, or from the store when there is none or it does not answer in time.
func (n *Node) obtainManifest(ctx context.Context, d chunk.Digest) (chunk.Manifest, []byte, error) {
	for range peerManifestTries {
		if n.Source != nil {
			break
		}
		peer := n.manifestPeer(d)
		if peer == "" {
			break
		}
		m, b, err := n.manifestFrom(ctx, peer, d)
		if err == nil {
			return m, b, nil
		}
		n.reportUnlessStopped("read manifest", peer, err)
	}
	return n.source.Manifest(ctx, d)
}

// endAsks ends what was asked of a peer whose connection is gone; it is
// called with the state locked.
func (s *state) endAsks(peer string) {
	for d, ask := range s.asks {
		if ask.peer == peer {
			delete(s.asks, d)
			close(ask.done)
		}
	}
}

// manifestPeer is the side to ask for a manifest, empty for the store.
func (n *Node) manifestPeer(d chunk.Digest) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for _, m := range n.members(&n.state, d) {
		if m.Region == n.Self.VM.Region {
			names = append(names, m.Name)
		}
	}
	ordered := rank.Order(string(d), names, func(s string) string { return s })
	for i, name := range ordered {
		if name == n.Self.VM.Name && i > 0 {
			return ordered[(i-1)/manifestFanout]
		}
	}
	return ""
}

func (n *Node) manifestFrom(ctx context.Context, peer string, d chunk.Digest) (chunk.Manifest, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerManifestWait)
	defer cancel()
	c, err := n.connTo(ctx, peer)
	if err != nil {
		return chunk.Manifest{}, nil, err
	}
	ask := &manifestAsk{peer: peer, done: make(chan struct{})}
	n.setAsk(d, ask)
	defer n.setAsk(d, nil)
	c.send(&askManifest{Manifest: d})
	select {
	case <-ask.done:
	case <-ctx.Done():
		return chunk.Manifest{}, nil, fault.At("ask for manifest", peer, ctx.Err())
	}
	m, err := chunk.Decode(ask.data, d)
	return m, ask.data, fault.At("check manifest", peer, err)
}

func (n *Node) setAsk(d chunk.Digest, ask *manifestAsk) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ask == nil {
		delete(n.state.asks, d)
		return
	}
	n.state.asks[d] = ask
}

// takePart adds a piece of a manifest that was asked for. Pieces come in
// order; any other is dropped, and the ask then ends at its timeout.
func (n *Node) takePart(c *conn, p *part) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ask := n.state.asks[p.Manifest]
	if ask == nil || ask.peer != c.name() || p.Offset != int64(len(ask.data)) {
		return
	}
	ask.data = append(ask.data, p.Data...)
	if int64(len(ask.data)) == p.Total {
		close(ask.done)
		delete(n.state.asks, p.Manifest)
	}
}

// serveManifest answers a peer's ask now, or once the manifest is read.
func (n *Node) serveManifest(c *conn, d chunk.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.state.manifests[d]
	if k == nil {
		n.state.keepEarly(c, d)
		return
	}
	if len(k.waiting) >= maxManifestAsks {
		return
	}
	if !k.ready {
		k.waiting = append(k.waiting, c)
		return
	}
	sendManifest(c, d, k.raw)
}

// keepEarly remembers an ask for a manifest that this side has not heard of.
// Documents reach the sides of a region some milliseconds apart; dropped, the
// ask would end by its timeout, and the asker, without a manifest for that
// long, would neither draw its chunks nor pass them on. All are forgotten at
// the bound, which only asks for what no document names can reach.
func (s *state) keepEarly(c *conn, d chunk.Digest) {
	if s.earlyAsks >= maxManifestAsks || s.early == nil {
		s.early = map[chunk.Digest][]*conn{}
		s.earlyAsks = 0
	}
	s.early[d] = append(s.early[d], c)
	s.earlyAsks++
}

// takeEarly returns the asks for a manifest that came before it was wanted.
func (s *state) takeEarly(d chunk.Digest) []*conn {
	out := s.early[d]
	delete(s.early, d)
	s.earlyAsks -= len(out)
	return out
}

func sendManifest(c *conn, d chunk.Digest, raw []byte) {
	total := int64(len(raw))
	for off := int64(0); off < total; off += MaxBlock {
		end := min(off+MaxBlock, total)
		c.send(&part{Manifest: d, Offset: off, Total: total, Data: raw[off:end]})
	}
}
