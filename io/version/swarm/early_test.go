package swarm

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/io/conn/link"
)

// Operators see the origin send a third of a copy too much and a rollout 6 s
// late: a side hears of a new version a millisecond before the side above it
// and asks that one for the manifest; the ask was dropped, the asker had no
// manifest for 5 s, and the others stepped in for its chunks.
func TestManifestAskedForEarlyIsAnswered(t *testing.T) {
	p := newPlatform(t)
	d := p.publish(t, "1", 1<<10, seq(0, 4)...)
	c := newCluster(t, p, "r1")
	n := c.nodes[0]
	lc, err := link.Dial(t.Context(), &link.Self{VM: n.Self.VM, Boot: "asker"}, n.Self.VM.Address, link.PurposeWeights, kinds())
	if err != nil {
		t.Fatal(err)
	}
	defer lc.Close()
	asker := newConn(lc)
	n.serveManifest(asker, d)
	c.want(d, n)
	c.awaitWhole(n)
	msgs, _ := asker.take()
	if diff := cmp.Diff(1, len(msgs)); diff != "" {
		t.Errorf("answers to the early ask (-want +got):\n%s", diff)
	}
}
