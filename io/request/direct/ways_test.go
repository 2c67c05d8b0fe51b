package direct

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
)

// farAway is a network on which a connection takes as long as away says, by the
// zone that stands for the address.
func farAway(clock *clockwork.FakeClock, away map[string]time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		began := time.Now()
		deadline, _ := ctx.Deadline()
		if takes := away[address]; deadline.Sub(began) > takes {
			clock.Advance(takes)
			near, far := net.Pipe()
			far.Close()
			return near, nil
		}
		return nil, context.DeadlineExceeded
	}
}

// Callers come to an entry in a zone without engines; the nearest ones are a round
// trip of 180 ms away. A connection was given 150 ms wherever it led, so that every
// attempt ended unsent, each engine was paused as failing, and no caller of the zone
// was ever served.
func TestTargetsFarAwayAreReached(t *testing.T) {
	tests := []struct {
		name    string
		away    time.Duration
		reached bool
	}{
		{"same zone", 200 * time.Microsecond, true},
		{"next region", 6 * time.Millisecond, true},
		{"other continent", 180 * time.Millisecond, true},
		{"other side of the globe", 320 * time.Millisecond, true},
		{"dark", time.Hour, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			target := facts.Target{ID: "t", Zone: "z"}
			s := newSender(clock)
			s.dial = farAway(clock, map[string]time.Duration{target.Address.String(): tc.away})
			for try := range 3 {
				x, err := s.connect(context.Background(), target)
				if err == nil {
					x.close()
				}
				if got := err == nil; got != tc.reached {
					t.Errorf("try %d: reached %v, want %v: %v", try, got, tc.reached, err)
				}
			}
		})
	}
}

// A link chokes, or a machine goes dark, in a zone to which connections were made
// before. What is sent over a link that takes seconds arrives after its caller has
// gone, so the wait must stay close to what the way takes, however long one
// connection took meanwhile; a way that has become longer for good must be found
// again.
func TestWaitFollowsTheLeastTime(t *testing.T) {
	type step struct {
		after, took time.Duration
		want        time.Duration
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"near", []step{{0, 2 * time.Millisecond, 152 * time.Millisecond}}},
		{"far", []step{{0, 180 * time.Millisecond, 330 * time.Millisecond}}},
		{"choked", []step{
			{0, 2 * time.Millisecond, 152 * time.Millisecond},
			{time.Second, 140 * time.Millisecond, 152 * time.Millisecond},
		}},
		{"choked at first", []step{
			{0, 500 * time.Millisecond, 650 * time.Millisecond},
			{time.Second, 2 * time.Millisecond, 152 * time.Millisecond},
		}},
		{"longer for good", []step{
			{0, 2 * time.Millisecond, 152 * time.Millisecond},
			{2 * time.Minute, 180 * time.Millisecond, 330 * time.Millisecond},
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			w := ways{clock: clock}
			if diff := cmp.Diff(unknownDial, w.timeout("z")); diff != "" {
				t.Errorf("before any connection (-want +got):\n%s", diff)
			}
			for _, s := range tc.steps {
				clock.Advance(s.after)
				w.note("z", s.took)
				if diff := cmp.Diff(s.want, w.timeout("z")); diff != "" {
					t.Errorf("after %s (-want +got):\n%s", s.took, diff)
				}
			}
		})
	}
}

// An entry starts beside its targets, which answer slowly at first. The choice of
// targets must not take the near zone for a far one then: it would send nothing
// there that shows how near it is.
func TestTheWayIsToldWhenItIsKnown(t *testing.T) {
	type told struct {
		Zone  string
		Takes time.Duration
	}
	var got []told
	w := ways{clock: clockwork.NewFakeClock(), learnt: func(zone string, takes time.Duration) {
		got = append(got, told{zone, takes})
	}}
	for _, ms := range []int{300, 120, 4, 9, 5, 6, 3, 3, 8} {
		w.note("z", time.Duration(ms)*time.Millisecond)
	}
	want := []told{{"z", 4 * time.Millisecond}, {"z", 3 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}
