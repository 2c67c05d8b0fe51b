package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/request/lease"
)

// Guards against a limit that is lifted by a response which began before the target set it.
func TestRateLimitIsLiftedByLaterRequestsOnly(t *testing.T) {
	one, two := lease.RateLimit{Limited: true, PerSecond: 1}, lease.RateLimit{Limited: true, PerSecond: 2}
	type response struct {
		limit  lease.RateLimit
		sentAt time.Duration
	}
	tests := []struct {
		name     string
		response response
		want     bool
	}{
		{"no limit yet", response{lease.RateLimit{}, 0}, false},
		{"the first", response{one, 0}, true},
		{"the same again", response{one, 0}, false},
		{"sent before it was named", response{lease.RateLimit{}, 2 * time.Second}, false},
		{"another limit", response{two, 2 * time.Second}, true},
		{"sent after it was named", response{lease.RateLimit{}, 6 * time.Second}, true},
		{"named again", response{one, 6 * time.Second}, true},
	}
	p := testPlacer(testFacts(nil, 8, "a"))
	for i, tc := range tests {
		now := start.Add(time.Duration(i+1) * time.Second)
		got := p.RecordRateLimit(now, "a", tc.response.limit, start.Add(tc.response.sentAt))
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: changed (-want +got):\n%s", tc.name, diff)
		}
	}
	if diff := cmp.Diff(1, p.RateLimited()); diff != "" {
		t.Errorf("limited targets (-want +got):\n%s", diff)
	}
}
