package pace

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	windowMost = 200 << 10
	windowPart = 8 << 10
)

// fill asks for parts until the window is full and returns the bytes asked for.
func fill(t *testing.T, w *Window) int64 {
	t.Helper()
	var out int64
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		err := w.Acquire(ctx, windowPart)
		cancel()
		if err != nil {
			return out
		}
		out += windowPart
	}
}

// A request to a machine arrives seconds late: its link carries a tenth of what
// it should, and all that its side asked for queues before it. What is on its
// way follows the rate at which it comes, and grows again with it.
func TestWindowFollowsTheLink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &Window{Clock: clock, Most: windowMost}
	if got := fill(t, w); got != windowMost/windowPart*windowPart {
		t.Errorf("at first %d bytes are on their way, want the whole window", got)
	}
	play := func(rate int64, d time.Duration) int64 {
		const step = 50 * time.Millisecond
		for range int(d / step) {
			clock.Advance(step)
			for n := int64(float64(rate) * step.Seconds()); n >= windowPart && w.out >= windowPart; n -= windowPart {
				w.Release(windowPart, windowPart)
			}
			fill(t, w)
		}
		return w.out
	}
	const slow = 160 << 10
	if got, most := play(slow, 3*time.Second), int64(growth*slow*aimedDelay.Seconds())+windowPart; got > most {
		t.Errorf("%d bytes wait before a link of %d bytes a second, want at most %d", got, slow, most)
	}
	if got := play(10*slow, 3*time.Second); got < windowMost*3/4 {
		t.Errorf("%d bytes are on their way once the link carries ten times as much, want about %d", got, windowMost)
	}
}

// The origin is away and refuses each draw at once, for seconds. That tells
// nothing of the link: when the origin is back the whole window is there, and the
// version does not lose time on draws that wait for each other.
func TestRefusalsTellNothingOfTheLink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &Window{Clock: clock, Most: windowMost}
	for range 40 {
		clock.Advance(100 * time.Millisecond)
		if err := w.Acquire(t.Context(), windowPart); err != nil {
			t.Fatal(err)
		}
		w.Release(windowPart, 0)
	}
	if got := fill(t, w); got != windowMost/windowPart*windowPart {
		t.Errorf("%d bytes may be asked for, want the whole window", got)
	}
}
