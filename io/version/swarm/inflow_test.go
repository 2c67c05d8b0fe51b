package swarm

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/io/version/pace"
)

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
		return f.ask(ctx, block) == nil
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
