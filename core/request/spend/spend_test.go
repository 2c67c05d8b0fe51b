package spend

import (
	"testing"
	"time"
	"unsafe"

	"github.com/google/go-cmp/cmp"
)

// Targets fail, and every request would be sent again: the repeats of any
// window stay within the operator's part of the requests, with room for the
// other entries.
func TestRepeatsStayWithinTheirPart(t *testing.T) {
	b := &Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
	now := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	type sent struct{ requests, repeats int }
	var seconds []sent
	for s := range 60 {
		perSecond := 60
		if s > 30 {
			perSecond = 5
		}
		var x sent
		for range perSecond {
			b.Earn(now)
			x.requests++
			if b.Take(now) {
				x.repeats++
			}
			now = now.Add(time.Second / time.Duration(perSecond))
		}
		seconds = append(seconds, x)
	}
	for s := 10; s <= len(seconds); s++ {
		var sum sent
		for _, x := range seconds[s-10 : s] {
			sum.requests += x.requests
			sum.repeats += x.repeats
		}
		// The window before has the most requests while the load falls.
		before := 0
		for _, x := range seconds[max(0, s-20) : s-10] {
			before += x.requests
		}
		most := int(0.2*float64(max(sum.requests, before))) + 100
		if sum.repeats > most {
			t.Errorf("second %d: %d repeats in a window, want at most %d", s, sum.repeats, most)
		}
		if sum.repeats == 0 {
			t.Errorf("second %d: no request may be sent again", s)
		}
	}
}

// jumped is t with the time of day shifted and the reading of the steady clock
// as it was, as after an adjustment of the machine's clock. No call of the
// standard library makes such a time; the seconds of a time that has both are
// its upper bits.
func jumped(t *testing.T, at time.Time, seconds int64) time.Time {
	t.Helper()
	const secondsShift = 30
	out := at
	*(*uint64)(unsafe.Pointer(&out)) += uint64(seconds) << secondsShift
	if out.Sub(at) != 0 || out.Round(0).Sub(at.Round(0)) != time.Duration(seconds)*time.Second {
		t.Fatalf("a time of another layout: %v became %v", at, out)
	}
	return out
}

// running is the budget of a process that has run for longer than a window.
func running(now time.Time, window time.Duration) *Budget {
	b := &Budget{Ratio: 0.2, Slack: 100, Window: window}
	b.Earn(now.Add(-2 * window))
	return b
}

// spent takes repeats until none is granted.
func spent(b *Budget, now time.Time) int {
	n := 0
	for b.Take(now) {
		n++
	}
	return n
}

// Targets get more repeats than their operator allows, or callers none: the time
// of day of an entry jumps by more than a window. Forward, all that was spent is
// forgotten and granted again at once; backward, it is kept for as long again.
func TestTimeOfDayDoesNotMoveTheWindow(t *testing.T) {
	const window = 10 * time.Second
	for _, seconds := range []int64{-25, 25} {
		now := time.Now()
		b := running(now, window)
		whole := spent(b, now)
		if diff := cmp.Diff(0, spent(b, jumped(t, now, seconds))); diff != "" {
			t.Errorf("repeats after a jump of %d s (-want +got):\n%s", seconds, diff)
		}
		after := jumped(t, now.Add(2*window), seconds)
		if diff := cmp.Diff(whole, spent(b, after)); diff != "" {
			t.Errorf("repeats two windows after a jump of %d s (-want +got):\n%s", seconds, diff)
		}
	}
}

// Targets get up to twice the operator's slack within one window: an entry spends
// its part at the end of one tenth of its window and, once that tenth has left
// it, spends it again, a little less than a window later.
func TestSlackIsGrantedOnceInAnyWindow(t *testing.T) {
	const window = 10 * time.Second
	const step = 100 * time.Millisecond
	for first := time.Duration(0); first < window; first += step {
		began := time.Now()
		b := running(began, window)
		whole := spent(b, began.Add(first))
		again := 0
		for after := step; after < window; after += step {
			again += spent(b, began.Add(first+after))
		}
		if diff := cmp.Diff(0, again); diff != "" {
			t.Errorf("spent at %v, again within a window (-want +got):\n%s", first, diff)
		}
		if diff := cmp.Diff(whole, spent(b, began.Add(first+2*window))); diff != "" {
			t.Errorf("spent at %v, two windows later (-want +got):\n%s", first, diff)
		}
	}
}

// Targets get more repeats than their operator allows around a loss of power:
// all entries spend their parts of the slack, start anew and spend them again,
// since none knows what it spent before. A process that has just begun has a
// little of its part, so that its first callers' requests are not lost either.
func TestSlackHoldsWhenAllEntriesStartAnew(t *testing.T) {
	const window = 10 * time.Second
	const slack = 100
	now := time.Now()
	sum := 0
	for range leastEntries {
		sum += spent(running(now, window), now)
	}
	anew := 0
	for range leastEntries {
		b := &Budget{Ratio: 0.2, Slack: slack, Window: window}
		for after := window / 20; after < window; after += window / 20 {
			anew += spent(b, now.Add(after))
		}
	}
	if anew == 0 || sum+anew > slack {
		t.Errorf("%d repeats before the loss and %d after it, want some and at most %d together", sum, anew, slack)
	}
}

// Targets of a large system get several times the operator's slack: each entry
// uses the part of one of twelve. What an entry has heard of how many there are
// makes its part smaller, and never larger: one that is cut off hears of a few.
func TestSlackIsSharedByAllEntries(t *testing.T) {
	const window = 10 * time.Second
	const slack = 100
	now := time.Now()
	for _, entries := range []int{1, leastEntries, 46} {
		sum := 0
		for range max(entries, leastEntries) {
			b := running(now, window)
			b.Entries = entries
			sum += spent(b, now)
		}
		if sum == 0 || sum > slack {
			t.Errorf("%d entries: %d repeats, want some and at most %d", entries, sum, slack)
		}
	}
}
