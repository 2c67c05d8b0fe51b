package pace

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	testMaxBytes  = 200 << 10
	testBlockSize = 8 << 10
)

// fill requests blocks until the window is full and returns the number of
// bytes requested.
func fill(t *testing.T, w *Window) int64 {
	t.Helper()
	var out int64
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		err := w.Acquire(ctx, testBlockSize)
		cancel()
		if err != nil {
			return out
		}
		out += testBlockSize
	}
}

// On a link with a tenth of its normal rate, everything that a side has
// requested queues, and requests of callers arrive seconds late. The
// outstanding bytes must follow the rate at which data arrives, and grow again
// with it.
func TestWindowFollowsReceiveRate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &Window{Clock: clock, MaxBytes: testMaxBytes}
	if got := fill(t, w); got != testMaxBytes/testBlockSize*testBlockSize {
		t.Errorf("at first %d bytes are outstanding, want the whole window", got)
	}
	run := func(rate int64, d time.Duration) int64 {
		const step = 50 * time.Millisecond
		for range int(d / step) {
			clock.Advance(step)
			for n := int64(float64(rate) * step.Seconds()); n >= testBlockSize && w.outstanding >= testBlockSize; n -= testBlockSize {
				w.Release(testBlockSize, testBlockSize)
			}
			fill(t, w)
		}
		return w.outstanding
	}
	const slow = 160 << 10
	if got, maxBytes := run(slow, 3*time.Second), int64(growthFactor*slow*queueDelayGoal.Seconds())+testBlockSize; got > maxBytes {
		t.Errorf("%d bytes are outstanding on a link of %d bytes per second, want at most %d", got, slow, maxBytes)
	}
	if got := run(10*slow, 3*time.Second); got < testMaxBytes*3/4 {
		t.Errorf("%d bytes are outstanding once the link carries ten times as much, want about %d", got, testMaxBytes)
	}
}

// An unavailable origin refuses every request at once for seconds. That says
// nothing about the link: the full window must be available when the origin is
// back, or transfers of the version would wait for each other.
func TestRefusedRequestsDoNotShrinkWindow(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &Window{Clock: clock, MaxBytes: testMaxBytes}
	for range 40 {
		clock.Advance(100 * time.Millisecond)
		if err := w.Acquire(t.Context(), testBlockSize); err != nil {
			t.Fatal(err)
		}
		w.Release(testBlockSize, 0)
	}
	if got := fill(t, w); got != testMaxBytes/testBlockSize*testBlockSize {
		t.Errorf("%d bytes may be requested, want the whole window", got)
	}
}
