package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against pausing healthy targets after a short cut of the entry's own network,
// which resets all its connections at once. Callers who come back right away would be
// refused, for longer with each failure. A target that fails while the others go on is
// still paused.
func TestEntryNetworkCutDoesNotPauseTargets(t *testing.T) {
	const targets = 6
	tests := []struct {
		name   string
		failed int
		apart  time.Duration
		paused int
	}{
		{"one of six", 1, 0, 1},
		{"three of six", 3, 0, 3},
		{"all at once", targets, time.Millisecond, 0},
		{"all in turn", targets, 2 * simultaneousWindow, 4},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(nil, 1, "a", "b", "c", "d", "e", "f"))
			var used []string
			for i := range targets {
				w := testRequest(fmt.Sprint(i))
				w.FailedTargets = used
				used = append(used, p.Offer(start, w)[0].Target.ID)
			}
			now := start
			for i := range tc.failed {
				now = now.Add(tc.apart)
				p.RequestEnded(now, fmt.Sprint(i), ResultFailed)
			}
			w := testRequest("next")
			if diff := cmp.Diff(tc.paused, p.candidates(now, p.service("svc"), &w).Paused); diff != "" {
				t.Errorf("paused targets (-want +got):\n%s", diff)
			}
		})
	}
}
