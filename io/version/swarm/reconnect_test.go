package swarm

import (
	"testing"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/link"
)

// A peer restarts and opens a new connection while a chunk is requested on the
// old one. Nothing answers on the old connection any more; when the transfer
// was not cancelled, it kept its buffer until the process ended, and memory
// grew with each replaced peer.
func TestReplacedConnectionCancelsTransfers(t *testing.T) {
	p := newFakeOrigin(t)
	n := newCluster(t, p, "r1").nodes[0]
	peer := fleet.VM{
		Name: "side99", Role: fleet.RoleSide, Zone: "r1-a", Region: "r1", Service: "svc",
		Address: n.Self.VM.Address, State: fleet.StateLive,
	}
	connect := func(boot string) *link.Conn {
		t.Helper()
		c, err := link.Dial(t.Context(), &link.Self{VM: peer, Boot: boot}, n.Self.VM.Address, link.PurposeWeights, messageKinds())
		if err != nil {
			t.Fatal(err)
		}
		awaitBoot(t, n, peer.Name, boot)
		return c
	}
	first := connect("first")
	defer first.Close()
	ref := chunk.Ref{Digest: chunk.DigestOf([]byte("chunk")), Size: 5}
	var in *incoming
	n.withState(func(s *state) {
		n.startTransfer(s, spread.Fetch{Chunk: ref, Via: spread.ViaTrade, Peer: peer.Name})
		in = s.incoming[ref.Digest]
	})
	second := connect("second")
	defer second.Close()
	n.withState(func(s *state) {
		if s.incoming[ref.Digest] == in {
			t.Error("transfer continues on the replaced connection")
		}
	})
}

// awaitBoot waits until the connection to the named peer is the one with this
// boot ID.
func awaitBoot(t *testing.T, n *Node, name, boot string) {
	t.Helper()
	for t.Context().Err() == nil {
		found := false
		n.withState(func(s *state) {
			c, ok := s.conns[name]
			found = ok && c.Peer.Boot == boot
		})
		if found {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
