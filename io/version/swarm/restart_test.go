package swarm

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/link"
)

// A transfer that is started again from the same peer must not lose its
// requests when the cancellation of the earlier transfer arrives; it would
// wait forever.
func TestCancelDoesNotAffectNextTransfer(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 1<<10, 7)
	c := newCluster(t, p, "r1")
	n := c.nodes[0]
	c.setWanted(d, n)
	c.awaitVerified(n)
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
		if !u.add(peer, ref, &blockRequest{transferID: id, Length: ref.Size}) {
			t.Fatalf("request of transfer %d refused", id.Number)
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

// Messages of a stopped transfer that arrive after a new transfer of the same
// chunk has started must not be taken for faulty messages of the new one.
func TestMessagesOfStoppedTransferAreIgnored(t *testing.T) {
	n := newCluster(t, newFakeOrigin(t), "r1").nodes[0]
	ref := chunk.Ref{Digest: chunk.DigestOf([]byte("chunk")), Size: 8}
	peer := newConn(&link.Conn{Peer: link.Hello{VM: fleet.VM{Name: "peer", Region: "r2"}}})
	id := transferID{Chunk: ref.Digest, Number: 2}
	in := &incoming{
		id: id, fetch: spread.Fetch{Chunk: ref, Via: spread.ViaImport, Peer: "peer"},
		cancel: func(err error) { t.Errorf("transfer ended: %v", err) },
		blocks: make(chan *block, 2), deferred: make(chan struct{}, 1),
	}
	n.mu.Lock()
	n.state.incoming[ref.Digest] = in
	n.mu.Unlock()
	old := transferID{Chunk: ref.Digest, Number: 1}
	n.handleBlock(peer, &block{transferID: old, Data: []byte{1}})
	n.handleRefusal(peer, old)
	n.handleDeferral(peer, old)
	n.handleBlock(peer, &block{transferID: id, Data: []byte{2}})
	select {
	case b := <-in.blocks:
		if diff := cmp.Diff([]byte{2}, b.Data); diff != "" {
			t.Errorf("block delivered (-want +got):\n%s", diff)
		}
	case <-time.After(testTimeout):
		t.Error("no block delivered")
	}
}
