package swarm

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/pace"
)

// A second version is named while the first is still being transferred, and
// the origin is unavailable by then. Sides request chunks of the second
// version from sides of the next region, which do not hold them yet either.
// These requests must not delay the first version, whose chunks are all
// available: its transfer must finish before the old version is removed, or
// callers are left without any version.
func TestUnavailableVersionDoesNotDelayAnother(t *testing.T) {
	p := newFakeOrigin(t)
	first := p.publish(t, "1", 32<<10, seq(0, 12)...)
	second := p.publish(t, "2", 32<<10, seq(100, 12)...)
	missing := map[chunk.Digest]bool{}
	m, err := chunk.Decode(p.manifests[second], second)
	if err != nil {
		t.Fatal(err)
	}
	for _, ref := range m.Chunks {
		missing[ref.Digest] = true
	}
	p.answerChunk = func(w http.ResponseWriter, d chunk.Digest, _ int) bool {
		if missing[d] {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return missing[d]
	}
	configure := func(n *Node) { n.InflowWindow = &pace.Window{Clock: clockwork.NewRealClock(), MaxBytes: 16 << 10} }
	c := newConfiguredCluster(t, p, testTimeout, configure, "r1", "r2", "r2", "r3")
	for _, n := range c.nodes {
		n.Update(c.view(second), []WantedVersion{
			{Model: "m", Version: "2", Manifest: second},
			{Model: "m", Version: "1", Manifest: first},
		})
	}
	for _, n := range c.nodes {
		c.awaitVersion(n, first, testTimeout/3)
	}
	c.checkStaged(first, c.nodes...)
}

// awaitVersion waits until a side holds a version and fails the test after
// timeout.
func (c *cluster) awaitVersion(n *Node, d chunk.Digest, timeout time.Duration) {
	c.t.Helper()
	expired := time.After(timeout)
	for {
		changed := n.ProgressChanged()
		for _, p := range n.Progress() {
			if p.Wanted.Manifest == d && p.Verified {
				return
			}
		}
		select {
		case <-changed:
		case <-expired:
			c.t.Fatalf("%s does not hold %s after %s: %+v", n.Self.VM.Name, d, timeout, n.Progress())
		}
	}
}
