package direct

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
)

// delayedDial returns a dial function of a simulated network: a connection takes the
// time given for its address, and fails if that exceeds the deadline.
func delayedDial(clock *clockwork.FakeClock, delays map[string]time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		began := time.Now()
		deadline, _ := ctx.Deadline()
		if delay := delays[address]; deadline.Sub(began) > delay {
			clock.Advance(delay)
			local, remote := net.Pipe()
			remote.Close()
			return local, nil
		}
		return nil, context.DeadlineExceeded
	}
}

// Guards against taking a target for unreachable because the process itself runs late. All
// connections that it opens at that moment time out, and the target would be paused for seconds.
func TestLateProcessDoesNotTakeTargetForUnreachable(t *testing.T) {
	tests := []struct {
		name string
		// lateness is by how much the timeouts of the first connections fire late.
		lateness []time.Duration
		dials    int
		reached  bool
	}{
		{name: "on time", dials: 1, reached: true},
		{name: "late", lateness: []time.Duration{50 * time.Millisecond}, dials: 2, reached: true},
		{name: "unreachable", lateness: []time.Duration{time.Millisecond}, dials: 1},
		{name: "late, then unreachable", lateness: []time.Duration{50 * time.Millisecond, 0}, dials: 2},
		{name: "late all the time", lateness: slices.Repeat([]time.Duration{time.Second}, 10), dials: maxDials},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			s := newConnector(clock)
			dials := 0
			s.dial = func(context.Context, string, string) (net.Conn, error) {
				dials++
				if dials <= len(tc.lateness) {
					clock.Advance(defaultDialTimeout + tc.lateness[dials-1])
					return nil, context.DeadlineExceeded
				}
				local, remote := net.Pipe()
				remote.Close()
				return local, nil
			}
			x, err := s.connect(t.Context(), facts.Target{ID: "t", Zone: "z"})
			if err == nil {
				x.close()
			}
			if diff := cmp.Diff(tc.reached, err == nil); diff != "" {
				t.Errorf("reached (-want +got), error %v:\n%s", err, diff)
			}
			if diff := cmp.Diff(tc.dials, dials); diff != "" {
				t.Errorf("connections tried (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a fixed dial timeout. With one of 150 ms, an entry in a zone whose
// nearest engines were a round trip of 180 ms away reached none of them, paused them
// all as failing and served no caller.
func TestDistantTargetsAreReached(t *testing.T) {
	tests := []struct {
		name    string
		delay   time.Duration
		reached bool
	}{
		{"same zone", 200 * time.Microsecond, true},
		{"next region", 6 * time.Millisecond, true},
		{"other continent", 180 * time.Millisecond, true},
		{"other side of the globe", 320 * time.Millisecond, true},
		{"unreachable", time.Hour, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			target := facts.Target{ID: "t", Zone: "z"}
			s := newConnector(clock)
			s.dial = delayedDial(clock, map[string]time.Duration{target.Address.String(): tc.delay})
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

// When a link is congested or a machine unreachable, the timeout must stay close to the
// shortest measured time: a request sent over a link that takes seconds arrives after
// its caller has gone. But when a network path has become longer for good, the timeout
// must follow.
func TestDialTimeoutFollowsShortestTime(t *testing.T) {
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
		{"congested", []step{
			{0, 2 * time.Millisecond, 152 * time.Millisecond},
			{time.Second, 140 * time.Millisecond, 152 * time.Millisecond},
		}},
		{"congested at first", []step{
			{0, 500 * time.Millisecond, 650 * time.Millisecond},
			{time.Second, 2 * time.Millisecond, 152 * time.Millisecond},
		}},
		{"permanently longer", []step{
			{0, 2 * time.Millisecond, 152 * time.Millisecond},
			{2 * time.Minute, 180 * time.Millisecond, 330 * time.Millisecond},
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			w := dialTimes{clock: clock}
			if diff := cmp.Diff(defaultDialTimeout, w.timeout("z")); diff != "" {
				t.Errorf("before any connection (-want +got):\n%s", diff)
			}
			for _, s := range tc.steps {
				clock.Advance(s.after)
				w.record("z", s.took)
				if diff := cmp.Diff(s.want, w.timeout("z")); diff != "" {
					t.Errorf("after %s (-want +got):\n%s", s.took, diff)
				}
			}
		})
	}
}

// Targets that have just started respond slowly. The time must not be reported from the
// first connections, or a near zone would seem far away and get no requests that show
// otherwise.
func TestDialTimeIsReportedOnceKnown(t *testing.T) {
	type report struct {
		Zone  string
		Takes time.Duration
	}
	var got []report
	w := dialTimes{clock: clockwork.NewFakeClock(), onChange: func(zone string, delay time.Duration) {
		got = append(got, report{zone, delay})
	}}
	for _, ms := range []int{300, 120, 4, 9, 5, 6, 3, 3, 8} {
		w.record("z", time.Duration(ms)*time.Millisecond)
	}
	want := []report{{"z", 4 * time.Millisecond}, {"z", 3 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reported times (-want +got):\n%s", diff)
	}
}
