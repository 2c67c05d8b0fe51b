package swarm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/rank"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
)

// Limits of manifest requests between sides.
const (
	// manifestFanout is how many sides request a manifest from the same side.
	// The store limits the number of requests: if every side of a large fleet
	// read from it, it would refuse some of them for minutes. So one side of
	// each region reads from the store and the others form a tree, ordered by
	// rank, in which each requests the manifest from its parent.
	manifestFanout      = 4
	peerManifestTimeout = 5 * time.Second
	// peerManifestAttempts is two because when two sides dial each other at
	// the same moment one of the connections is closed and the request on it
	// is lost.
	peerManifestAttempts = 2
	// maxManifestRequests limits the peers that wait for one manifest, and the
	// early requests for all manifests.
	maxManifestRequests = 64
)

// manifestRequest requests a manifest; manifestPart carries a piece of one.
type (
	manifestRequest struct {
		Manifest chunk.Digest `msgpack:"manifest"`
	}
	manifestPart struct {
		Manifest chunk.Digest `msgpack:"manifest"`
		Offset   int64        `msgpack:"offset"`
		Total    int64        `msgpack:"total"`
		Data     []byte       `msgpack:"data"`
	}
)

func (*manifestRequest) Kind() frame.Kind { return "askManifest" }
func (*manifestPart) Kind() frame.Kind    { return "part" }

// Check reports whether Manifest is a valid digest.
func (m *manifestRequest) Check() error { return m.Manifest.Check() }

// Check reports the first field that is out of range.
func (m *manifestPart) Check() error {
	if len(m.Data) == 0 || len(m.Data) > MaxBlockSize {
		return errors.Newf("part: %d bytes, want 1 to %d", len(m.Data), MaxBlockSize)
	}
	if m.Total <= 0 || m.Total > maxManifest {
		return errors.Newf("part: total %d, want 1 to %d", m.Total, maxManifest)
	}
	if m.Offset < 0 || m.Offset > m.Total-int64(len(m.Data)) {
		return errors.Newf("part: offset %d out of range", m.Offset)
	}
	return m.Manifest.Check()
}

// pendingManifest is a manifest that was requested from a peer. done is closed
// when it is complete or the connection is lost.
type pendingManifest struct {
	peer string
	data []byte
	done chan struct{}
}

// fetchManifest gets a manifest from this side's parent in the region's tree,
// or from the store if there is no parent or it does not answer in time.
func (n *Node) fetchManifest(ctx context.Context, d chunk.Digest) (chunk.Manifest, []byte, error) {
	for range peerManifestAttempts {
		if n.Source != nil {
			break
		}
		peer := n.manifestParent(d)
		if peer == "" {
			break
		}
		m, b, err := n.requestManifest(ctx, peer, d)
		if err == nil {
			return m, b, nil
		}
		n.logErrorUnlessStopped("read manifest", peer, err)
	}
	return n.source.Manifest(ctx, d)
}

// endManifestRequests ends the manifest requests to a peer whose connection
// was lost. The caller holds the node's mutex.
func (s *state) endManifestRequests(peer string) {
	for d, pending := range s.pendingManifests {
		if pending.peer == peer {
			delete(s.pendingManifests, d)
			close(pending.done)
		}
	}
}

// manifestParent returns the side to request a manifest from, or "" if this
// side must read it from the store.
func (n *Node) manifestParent(d chunk.Digest) string {
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

// requestManifest requests a manifest from a peer and verifies it.
func (n *Node) requestManifest(ctx context.Context, peer string, d chunk.Digest) (chunk.Manifest, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerManifestTimeout)
	defer cancel()
	c, err := n.connectTo(ctx, peer)
	if err != nil {
		return chunk.Manifest{}, nil, err
	}
	pending := &pendingManifest{peer: peer, done: make(chan struct{})}
	n.setPendingManifest(d, pending)
	defer n.setPendingManifest(d, nil)
	c.queueControl(&manifestRequest{Manifest: d})
	select {
	case <-pending.done:
	case <-ctx.Done():
		return chunk.Manifest{}, nil, operr.Wrap("ask for manifest", peer, ctx.Err())
	}
	m, err := chunk.Decode(pending.data, d)
	return m, pending.data, operr.Wrap("check manifest", peer, err)
}

// setPendingManifest records a manifest request; nil removes it.
func (n *Node) setPendingManifest(d chunk.Digest, pending *pendingManifest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if pending == nil {
		delete(n.state.pendingManifests, d)
		return
	}
	n.state.pendingManifests[d] = pending
}

// addManifestPart appends a piece of a requested manifest. Pieces arrive in
// order; any other is ignored, and the request then ends with a timeout.
func (n *Node) addManifestPart(c *conn, p *manifestPart) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pending := n.state.pendingManifests[p.Manifest]
	if pending == nil || pending.peer != c.peerName() || p.Offset != int64(len(pending.data)) || p.Offset+int64(len(p.Data)) > p.Total {
		return
	}
	pending.data = append(pending.data, p.Data...)
	if int64(len(pending.data)) == p.Total {
		close(pending.done)
		delete(n.state.pendingManifests, p.Manifest)
	}
}

// serveManifest answers a peer's request for a manifest, once the manifest has
// been read.
func (n *Node) serveManifest(c *conn, d chunk.Digest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := n.state.manifests[d]
	if entry == nil {
		n.state.addEarlyRequest(c, d)
		return
	}
	if len(entry.waitingPeers) >= maxManifestRequests {
		return
	}
	if !entry.ready {
		entry.waitingPeers = append(entry.waitingPeers, c)
		return
	}
	sendManifest(c, d, entry.encoded)
}

// addEarlyRequest records a request for a manifest that this side does not
// want yet. The environment document reaches the sides of a region some
// milliseconds apart. If such a request were ignored, the peer would wait for
// its timeout and could until then neither fetch chunks of the version nor
// pass them on. All early requests are discarded when there are
// maxManifestRequests of them; only requests for manifests that no document
// names can add up to so many.
func (s *state) addEarlyRequest(c *conn, d chunk.Digest) {
	if s.earlyRequestCount >= maxManifestRequests || s.earlyRequests == nil {
		s.earlyRequests = map[chunk.Digest][]*conn{}
		s.earlyRequestCount = 0
	}
	s.earlyRequests[d] = append(s.earlyRequests[d], c)
	s.earlyRequestCount++
}

// takeEarlyRequests removes and returns the early requests for a manifest.
func (s *state) takeEarlyRequests(d chunk.Digest) []*conn {
	out := s.earlyRequests[d]
	delete(s.earlyRequests, d)
	s.earlyRequestCount -= len(out)
	return out
}

// sendManifest queues a manifest in parts of at most MaxBlockSize bytes.
func sendManifest(c *conn, d chunk.Digest, encoded []byte) {
	total := int64(len(encoded))
	for off := int64(0); off < total; off += MaxBlockSize {
		end := min(off+MaxBlockSize, total)
		c.queueControl(&manifestPart{Manifest: d, Offset: off, Total: total, Data: encoded[off:end]})
	}
}
