package swarm

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/io/version/pace"
)

// The window of a side is full when its transfers want to request their next
// blocks, as on a machine whose link is overloaded. Each transfer has a block
// that arrived but was not processed yet, and releases its room only then. If
// a transfer waited for room before it processed that block, the transfers
// would wait for each other, and a single one for itself where the window
// holds one block. No chunk would arrive before the transfers were treated as
// stalled.
func TestTransfersWithFullWindowDoNotDeadlock(t *testing.T) {
	const block = 4 << 10
	tests := []struct {
		name     string
		maxBytes int64
	}{
		{name: "room for one block", maxBytes: block},
		{name: "room for one block of each of some transfers", maxBytes: 3 * block},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newFakeOrigin(t)
			d := p.publish(t, "1", 8*block, seq(0, 12)...)
			configure := func(n *Node) {
				n.InflowWindow = &pace.Window{Clock: clockwork.NewRealClock(), MaxBytes: tt.maxBytes}
			}
			c := newConfiguredCluster(t, p, testTimeout, configure, "r1", "r2", "r3")
			c.setWanted(d, c.nodes...)
			for _, n := range c.nodes {
				c.awaitVersion(n, d, testTimeout/3)
			}
			c.checkStaged(d, c.nodes...)
		})
	}
}

// A side with an overloaded link requests a chunk from each of many peers. If
// the first block of each were not counted, all of them would queue on the
// link, and requests of callers would arrive seconds late, after the callers
// have given up. A request to a peer that does not hold the chunk yet must
// release its room.
func TestRequestsStayWithinWindow(t *testing.T) {
	const block, room = 4 << 10, 4
	w := &pace.Window{Clock: clockwork.NewRealClock(), MaxBytes: room * block}
	reserve := func(f *outstanding) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		ok, err := f.reserve(ctx, block)
		return ok && err == nil
	}
	flows := make([]outstanding, 3*room)
	asked := 0
	for i := range flows {
		flows[i].window = w
		if reserve(&flows[i]) {
			asked++
		}
	}
	if diff := cmp.Diff(room, asked); diff != "" {
		t.Errorf("blocks requested at once (-want +got):\n%s", diff)
	}
	flows[0].releaseAll()
	if !reserve(&flows[room]) {
		t.Error("a request to a peer that does not hold the chunk still occupies room")
	}
}
