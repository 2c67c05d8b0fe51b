package swarm

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/io/version/pace"
)

// A side's window is full when its transfers go on to their next blocks, as on a
// machine whose link is choked. Each has a block there, not yet taken, whose room
// comes back once it is taken. Were that put off until there is room for the next
// block, the transfers would wait for each other, and one alone for itself where
// the window holds one block. No chunk would come before the transfers pass for
// stalled, and callers would wait as long for the version.
func TestTransfersDoNotWaitForEachOthersRoom(t *testing.T) {
	const block = 4 << 10
	tests := []struct {
		name string
		most int64
	}{
		{name: "room for one block", most: block},
		{name: "room for one block of each of some transfers", most: 3 * block},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPlatform(t)
			d := p.publish(t, "1", 8*block, seq(0, 12)...)
			tune := func(n *Node) {
				n.Inflow = &pace.Window{Clock: clockwork.NewRealClock(), Most: tt.most}
			}
			c := newTunedCluster(t, p, patience, tune, "r1", "r2", "r3")
			c.want(d, c.nodes...)
			for _, n := range c.nodes {
				c.awaitVersion(n, d, patience/3)
			}
			c.checkStaged(d, c.nodes...)
		})
	}
}

// A machine's link is choked, and its side asks many peers for a chunk each. Were
// the first block of each not counted, they would stand before the link, and
// callers' requests would reach the machine seconds after their callers have left.
// One whose peer lacks the chunk is not on its way and makes room for another.
func TestQuestionsStayWithinTheWindow(t *testing.T) {
	const block, room = 4 << 10, 4
	w := &pace.Window{Clock: clockwork.NewRealClock(), Most: room * block}
	ask := func(f *inflow) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		ok, err := f.ask(ctx, block)
		return ok && err == nil
	}
	flows := make([]inflow, 3*room)
	asked := 0
	for i := range flows {
		flows[i].window = w
		if ask(&flows[i]) {
			asked++
		}
	}
	if diff := cmp.Diff(room, asked); diff != "" {
		t.Errorf("blocks asked for at once (-want +got):\n%s", diff)
	}
	flows[0].waive()
	if !ask(&flows[room]) {
		t.Error("a peer that lacks the chunk still holds its place")
	}
}
