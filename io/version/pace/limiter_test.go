package pace

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
)

// reserveFor reserves blocks of piece bytes for transfers as often as the
// limiter allows during span, with live bytes of live traffic per millisecond,
// and returns how many bytes were reserved.
func reserveFor(l *Limiter, clock *clockwork.FakeClock, span time.Duration, piece, live int) int {
	end := clock.Now().Add(span)
	passed := 0
	for k := 0; clock.Now().Before(end); k++ {
		if live > 0 && k%10 == 0 {
			l.CountLive(live)
		}
		for l.tryReserve(piece) <= 0 {
			passed += piece
		}
		clock.Advance(time.Millisecond / 10)
	}
	return passed
}

// Transfers must get almost the whole link without live traffic, what live
// traffic leaves otherwise, and MinShare if live traffic would take
// everything.
func TestTransfersGetWhatLiveTrafficLeaves(t *testing.T) {
	tests := []struct {
		name     string
		live     int // bytes per millisecond; the link carries 1000
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
			l := &Limiter{Clock: clock, Rate: 1_000_000, MinShare: 0.1}
			got := float64(reserveFor(l, clock, 10*time.Second, 4000, tc.live)) / 10_000_000
			if got < tc.from || got > tc.to {
				t.Errorf("transfers got %.3f of the link, want %.2f to %.2f", got, tc.from, tc.to)
			}
		})
	}
}

// A live call must never wait for more than the block being sent and maxLag.
func TestLiveTrafficWaitsForOneBlockAtMost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &Limiter{Clock: clock, Rate: 1_000_000, MinShare: 0.1}
	const maxWait = 4*time.Millisecond + maxLag + time.Millisecond
	for range 1000 {
		for l.tryReserve(4000) <= 0 {
		}
		if got := l.CountLive(100); got > maxWait {
			t.Fatalf("live traffic took %v, want at most %v", got, maxWait)
		}
		clock.Advance(10 * time.Millisecond)
	}
}

// The estimate of what live traffic leaves of a region link must count every
// side like this one, and must not fall below the minimum share.
func TestRegionAvailable(t *testing.T) {
	tests := []struct {
		name  string
		live  int // bytes in 10 ms, by this side
		sides int
		want  float64
	}{
		{"no live traffic", 0, 10, 1_000_000},
		{"minimum share", 10_000, 10, 100_000},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			p := New(Config{Region: 1_000_000}, clock)
			for range 1000 {
				if tc.live > 0 {
					p.RegionMeter.CountLive(tc.live)
				}
				clock.Advance(10 * time.Millisecond)
			}
			if diff := cmp.Diff(tc.want, p.RegionAvailable(tc.sides)); diff != "" {
				t.Errorf("available rate (-want +got):\n%s", diff)
			}
		})
	}
}

// A waiter whose context ends must release its slot to the next waiter.
func TestWaitEndsWithContext(t *testing.T) {
	l := &Limiter{Clock: clockwork.NewRealClock(), Rate: 1}
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
