package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// farRoundTrip is a round trip between two continents.
const farRoundTrip = 180 * time.Millisecond

// Guards against underestimating a long round trip. With a third of the engines 180 ms
// away and at most 50 ms of that counted, the placer sends requests to a far engine as
// soon as a near one is busy for that long. They are late because of the network alone,
// while the near engine would answer on time. The difference is learnt as slowness of
// all engines, so that near ones refuse requests that they could serve.
func TestRoundTripCountsInChoice(t *testing.T) {
	tests := []struct {
		name      string
		roundTrip time.Duration
		target    string
	}{
		{"neighbouring regions", 6 * time.Millisecond, "far"},
		{"continents apart", farRoundTrip, "near"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := testFacts(usualEngine, 16, "near", "far")
			f.Targets[1].Zone = "z1"
			p := testPlacer(f)
			p.SetRoundTrip("z0", time.Millisecond)
			p.SetRoundTrip("z1", tc.roundTrip)
			before := testRequest("before")
			before.PromptTokens = 2500
			p.Offer(start, before)
			if diff := cmp.Diff([]string{"next placed " + tc.target}, decisions(p.Offer(start, testRequest("next")))); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against refusals when all engines are a round trip of 180 ms away and no
// answer can be on time. Requests are still served, the round trip is not learnt as
// slowness of the engines, and a caller that comes back is not refused because of it.
func TestFarEnginesServe(t *testing.T) {
	f := testFacts(usualEngine, 16, "far")
	f.Targets[0].Zone = "z1"
	p := testPlacer(f)
	p.SetRoundTrip("z1", farRoundTrip)
	now := start
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10"} {
		w := testRequest(id)
		w.FirstRequestedAt = now
		if diff := cmp.Diff([]string{id + " placed far"}, decisions(p.Offer(now, w))); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
		now = now.Add(2*farRoundTrip + 120*time.Millisecond)
		p.AnswerBegan(now, id)
		p.RequestEnded(now, id, ResultDone)
	}
	if got := p.service("svc").passFactor.value; got > 1.1 {
		t.Errorf("pass factor is %.2f, want at most 1.1", got)
	}
	back := testRequest("back")
	back.FirstRequestedAt = now.Add(-2 * time.Second)
	back.Deadline = now.Add(4 * time.Second)
	if diff := cmp.Diff([]string{"back placed far"}, decisions(p.Offer(now, back))); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}
