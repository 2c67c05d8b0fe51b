package swarm

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/io/conn/link"
)

// A side may learn of a new version some milliseconds before its parent in the
// manifest tree and request the manifest too early. When such requests were
// ignored, the side had no manifest for 5 s, other sides took over its chunks,
// the origin sent a third of a copy too much and the rollout took 6 s longer.
func TestEarlyManifestRequestIsAnswered(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 1<<10, seq(0, 4)...)
	c := newCluster(t, p, "r1")
	n := c.nodes[0]
	lc, err := link.Dial(t.Context(), &link.Self{VM: n.Self.VM, Boot: "asker"}, n.Self.VM.Address, link.PurposeWeights, messageKinds())
	if err != nil {
		t.Fatal(err)
	}
	defer lc.Close()
	asker := newConn(lc)
	n.serveManifest(asker, d)
	c.setWanted(d, n)
	c.awaitVerified(n)
	msgs, _ := asker.dequeue()
	if diff := cmp.Diff(1, len(msgs)); diff != "" {
		t.Errorf("answers to the early request (-want +got):\n%s", diff)
	}
}
