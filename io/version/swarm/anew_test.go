package swarm

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
)

// Guards against a transfer that is begun anew at the same peer and then waits in
// vain: the withdrawal of the one before must not withdraw its wants too.
func TestWithdrawalLeavesTheNextTransfer(t *testing.T) {
	p := newPlatform(t)
	d := p.publish(t, "1", 1<<10, 7)
	c := newCluster(t, p, "r1")
	n := c.nodes[0]
	c.want(d, n)
	c.awaitWhole(n)
	m, err := chunk.Decode(p.manifests[d], d)
	if err != nil {
		t.Fatal(err)
	}
	peer := newConn(&link.Conn{Peer: link.Hello{VM: fleet.VM{
		Name: "peer", Region: "r2", Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}}})
	ref := m.Chunks[0]
	first := transferID{Chunk: ref.Digest, Number: 1}
	second := transferID{Chunk: ref.Digest, Number: 2}
	u := &uploads{node: n, wake: make(chan struct{}, 1)}
	for _, id := range []transferID{first, second} {
		if !u.add(peer, ref, &want{transferID: id, Length: ref.Size}) {
			t.Fatalf("want of transfer %d refused", id.Number)
		}
	}
	u.cancel(peer, first)
	o, _ := u.next()
	if o == nil {
		t.Fatal("nothing left to send, want the second transfer")
	}
	if diff := cmp.Diff(second, o.id); diff != "" {
		t.Errorf("transfer to send (-want +got):\n%s", diff)
	}
}

// Guards against blocks of a stopped transfer that pass for faulty ones of the
// transfer begun in its place.
func TestBlocksOfAStoppedTransferAreDropped(t *testing.T) {
	n := newCluster(t, newPlatform(t), "r1").nodes[0]
	ref := chunk.Ref{Digest: chunk.Sum([]byte("chunk")), Size: 8}
	peer := newConn(&link.Conn{Peer: link.Hello{VM: fleet.VM{Name: "peer", Region: "r2"}}})
	id := transferID{Chunk: ref.Digest, Number: 2}
	in := &incoming{
		id: id, fetch: burst.Fetch{Chunk: ref, Via: burst.ViaImport, Peer: "peer"},
		cancel: func(err error) { t.Errorf("transfer ended: %v", err) },
		blocks: make(chan *block, 2), later: make(chan struct{}, 1),
	}
	n.mu.Lock()
	n.state.incoming[ref.Digest] = in
	n.mu.Unlock()
	old := transferID{Chunk: ref.Digest, Number: 1}
	n.deliver(peer, &block{transferID: old, Data: []byte{1}})
	n.lacking(peer, old)
	n.deferred(peer, old)
	n.deliver(peer, &block{transferID: id, Data: []byte{2}})
	select {
	case b := <-in.blocks:
		if diff := cmp.Diff([]byte{2}, b.Data); diff != "" {
			t.Errorf("block taken (-want +got):\n%s", diff)
		}
	case <-time.After(patience):
		t.Error("no block taken")
	}
}
