package pace

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

// drain lets transfers of piece bytes pass for span and returns how many
// bytes did, with live bytes of live traffic in every millisecond.
func drain(l *Line, clock *clockwork.FakeClock, span time.Duration, piece, live int) int {
	end := clock.Now().Add(span)
	passed := 0
	for k := 0; clock.Now().Before(end); k++ {
		if live > 0 && k%10 == 0 {
			l.Live(live)
		}
		for l.tryPass(piece) <= 0 {
			passed += piece
		}
		clock.Advance(time.Millisecond / 10)
	}
	return passed
}

// Transfers get the whole line when no live call is there, what live calls
// leave when some are, and the floor when live calls would take it all.
func TestTransfersTakeWhatLiveTrafficLeaves(t *testing.T) {
	tests := []struct {
		name     string
		live     int // bytes in a millisecond; the line carries 1000
		from, to float64
	}{
		{"alone", 0, 0.95, 0.97},
		{"half live", 500, 0.47, 0.51},
		{"all live", 1000, 0.08, 0.12},
		{"more than all", 3000, 0.08, 0.12},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			l := &Line{Clock: clock, Rate: 1_000_000, Floor: 0.1}
			got := float64(drain(l, clock, 10*time.Second, 4000, tc.live)) / 10_000_000
			if got < tc.from || got > tc.to {
				t.Errorf("transfers took %.3f of the line, want %.2f to %.2f", got, tc.from, tc.to)
			}
		})
	}
}

// A live call never waits for more than the piece under way and the slack.
func TestLiveWaitsForOnePieceAtMost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &Line{Clock: clock, Rate: 1_000_000, Floor: 0.1}
	const most = 4*time.Millisecond + slack + time.Millisecond
	for range 1000 {
		for l.tryPass(4000) <= 0 {
		}
		if got := l.Live(100); got > most {
			t.Fatalf("live bytes took %v, want at most %v", got, most)
		}
		clock.Advance(10 * time.Millisecond)
	}
}

// The estimate of what live traffic leaves of a region link counts every side
// like this one, and never falls under the floor.
func TestRegionLeft(t *testing.T) {
	tests := []struct {
		name  string
		live  int // bytes in 10 ms, by this side
		sides int
		want  float64
	}{
		{"no live traffic", 0, 10, 1_000_000},
		{"floor", 10_000, 10, 100_000},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := New(Config{Region: 1_000_000}, clock)
			for range 1000 {
				if tc.live > 0 {
					p.Cross.Live(tc.live)
				}
				clock.Advance(10 * time.Millisecond)
			}
			if diff := cmp.Diff(tc.want, p.RegionLeft(tc.sides)); diff != "" {
				t.Errorf("left (-want +got):\n%s", diff)
			}
		})
	}
}

// A waiter whose context ends leaves its place to the next.
func TestWaitEndsWithContext(t *testing.T) {
	l := &Line{Clock: clockwork.NewRealClock(), Rate: 1}
	ctx, cancel := context.WithCancel(context.Background())
	if err := l.Wait(ctx, 1000); err != nil {
		t.Fatal(err)
	}
	cancel()
	if diff := cmp.Diff(context.Canceled.Error(), l.Wait(ctx, 1).Error()); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
	if err := l.Wait(ctx, 1); err == nil {
		t.Error("second wait passed, want an error")
	}
}
