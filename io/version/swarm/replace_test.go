package swarm

import (
	"testing"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
)

// An operator sees a side's memory creep up with each replaced peer: a chunk
// is asked for over one connection, the peer starts anew and opens another,
// which takes the place of the first. Nobody answers over the first one any
// more, and the transfer waited on it, with its buffer, until the side ended.
func TestReplacedConnectionEndsItsTransfers(t *testing.T) {
	p := newPlatform(t)
	n := newCluster(t, p, "r1").nodes[0]
	peer := fleet.VM{
		Name: "side99", Role: fleet.RoleSide, Zone: "r1-a", Region: "r1", Service: "svc",
		Address: n.Self.VM.Address, State: fleet.StateLive,
	}
	connect := func(boot string) *link.Conn {
		t.Helper()
		c, err := link.Dial(t.Context(), &link.Self{VM: peer, Boot: boot}, n.Self.VM.Address, link.PurposeWeights, kinds())
		if err != nil {
			t.Fatal(err)
		}
		awaitBoot(t, n, peer.Name, boot)
		return c
	}
	first := connect("first")
	defer first.Close()
	ref := chunk.Ref{Digest: chunk.Sum([]byte("chunk")), Size: 5}
	var in *incoming
	n.do(func(s *state) {
		n.fetch(s, burst.Fetch{Chunk: ref, Via: burst.ViaTrade, Peer: peer.Name})
		in = s.incoming[ref.Digest]
	})
	second := connect("second")
	defer second.Close()
	n.do(func(s *state) {
		if s.incoming[ref.Digest] == in {
			t.Error("transfer goes on over the replaced connection")
		}
	})
}

// awaitBoot returns once n's connection to the named peer is of that boot.
func awaitBoot(t *testing.T, n *Node, name, boot string) {
	t.Helper()
	for t.Context().Err() == nil {
		found := false
		n.do(func(s *state) {
			c, ok := s.conns[name]
			found = ok && c.Peer.Boot == boot
		})
		if found {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
