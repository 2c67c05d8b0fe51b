package swarm

import (
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/pace"
)

// The operator names a second version while the first is still on its way, and
// the origin is gone by then. Sides ask those of the next region for chunks of
// the second, which nobody has, and these wait for them. What was asked for in
// vain must not hold up the first version, whose chunks are all there: callers
// would be left without any version once the time for the old one is over.
func TestMissingVersionDoesNotHoldUpAnother(t *testing.T) {
	p := newPlatform(t)
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
	p.answer = func(w http.ResponseWriter, d chunk.Digest, _ int) bool {
		if missing[d] {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return missing[d]
	}
	tune := func(n *Node) { n.Inflow = &pace.Window{Clock: clockwork.NewRealClock(), Most: 16 << 10} }
	c := newTunedCluster(t, p, patience, tune, "r1", "r2", "r2", "r3")
	for _, n := range c.nodes {
		n.Update(c.view(second), []Wanted{
			{Model: "m", Version: "2", Manifest: second},
			{Model: "m", Version: "1", Manifest: first},
		})
	}
	for _, n := range c.nodes {
		c.awaitVersion(n, first, patience/3)
	}
	c.checkStaged(first, c.nodes...)
}

// awaitVersion waits until a side holds one version whole.
func (c *cluster) awaitVersion(n *Node, d chunk.Digest, most time.Duration) {
	c.t.Helper()
	over := time.After(most)
	for {
		changed := n.Changed()
		for _, p := range n.Progress() {
			if p.Wanted.Manifest == d && p.Verified {
				return
			}
		}
		select {
		case <-changed:
		case <-over:
			c.t.Fatalf("%s does not hold %s after %s: %+v", n.Self.VM.Name, d, most, n.Progress())
		}
	}
}
