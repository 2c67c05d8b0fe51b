package budget

import (
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/google/go-cmp/cmp"
)

// Guards against retrying every request when targets fail. The retries of any window
// stay within the operator's limit, and some are always granted.
func TestRetriesStayWithinRatio(t *testing.T) {
	b := &Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
	now := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	type sent struct{ requests, retries int }
	var seconds []sent
	for s := range 60 {
		perSecond := 60
		if s > 30 {
			perSecond = 5
		}
		var x sent
		for range perSecond {
			b.CountRequest(now)
			x.requests++
			if takeOne(b, now) {
				x.retries++
			}
			now = now.Add(time.Second / time.Duration(perSecond))
		}
		seconds = append(seconds, x)
	}
	for s := 10; s <= len(seconds); s++ {
		var sum sent
		for _, x := range seconds[s-10 : s] {
			sum.requests += x.requests
			sum.retries += x.retries
		}
		// While the load falls, the window before has the most requests.
		before := 0
		for _, x := range seconds[max(0, s-20) : s-10] {
			before += x.requests
		}
		most := int(0.2*float64(max(sum.requests, before))) + 100
		if sum.retries > most {
			t.Errorf("second %d: %d retries in a window, want at most %d", s, sum.retries, most)
		}
		if sum.retries == 0 {
			t.Errorf("second %d: no request may be sent again", s)
		}
	}
}

// shiftTimeOfDay returns at with a shifted time of day and the same monotonic clock
// reading, as after an adjustment of the machine's clock. The standard library has no
// function for this. In a time that has both, the upper bits of the first word are the
// seconds.
func shiftTimeOfDay(t *testing.T, at time.Time, seconds int64) time.Time {
	t.Helper()
	const secondsShift = 30
	out := at
	*(*uint64)(unsafe.Pointer(&out)) += uint64(seconds) << secondsShift
	if out.Sub(at) != 0 || out.Round(0).Sub(at.Round(0)) != time.Duration(seconds)*time.Second {
		t.Fatalf("a time of another layout: %v became %v", at, out)
	}
	return out
}

// newRunningBudget returns the budget of a process that has run for longer than a
// window.
func newRunningBudget(now time.Time, window time.Duration) *Budget {
	b := &Budget{Ratio: 0.2, Slack: 100, Window: window}
	b.CountRequest(now.Add(-2 * window))
	return b
}

// takeOne takes a retry that arrives at once, and reports whether it was granted.
func takeOne(b *Budget, now time.Time) bool {
	if !b.Reserve(now) {
		return false
	}
	b.Arrived(now, 1)
	return true
}

// takeAll takes retries until none is granted, and returns how many were.
func takeAll(b *Budget, now time.Time) int {
	n := 0
	for takeOne(b, now) {
		n++
	}
	return n
}

// Guards against using the time of day, which may jump by more than a window. After a
// jump forward all used retries would be granted again at once, beyond the operator's
// limit; after one backward they would be counted for too long, and callers would get
// none.
func TestTimeOfDayDoesNotMoveTheWindow(t *testing.T) {
	const window = 10 * time.Second
	for _, seconds := range []int64{-25, 25} {
		now := time.Now()
		b := newRunningBudget(now, window)
		whole := takeAll(b, now)
		if diff := cmp.Diff(0, takeAll(b, shiftTimeOfDay(t, now, seconds))); diff != "" {
			t.Errorf("retries after a jump of %d s (-want +got):\n%s", seconds, diff)
		}
		after := shiftTimeOfDay(t, now.Add(2*window), seconds)
		if diff := cmp.Diff(whole, takeAll(b, after)); diff != "" {
			t.Errorf("retries two windows after a jump of %d s (-want +got):\n%s", seconds, diff)
		}
	}
}

// Guards against granting the slack twice within one window. An entry used its part at
// the end of one tenth of its window, and again once that tenth had left the window, a
// little less than a window later.
func TestSlackIsGrantedOnceInAnyWindow(t *testing.T) {
	const window = 10 * time.Second
	const step = 100 * time.Millisecond
	for first := time.Duration(0); first < window; first += step {
		began := time.Now()
		b := newRunningBudget(began, window)
		whole := takeAll(b, began.Add(first))
		again := 0
		for after := step; after < window; after += step {
			again += takeAll(b, began.Add(first+after))
		}
		if diff := cmp.Diff(0, again); diff != "" {
			t.Errorf("spent at %v, again within a window (-want +got):\n%s", first, diff)
		}
		if diff := cmp.Diff(whole, takeAll(b, began.Add(first+2*window))); diff != "" {
			t.Errorf("spent at %v, two windows later (-want +got):\n%s", first, diff)
		}
	}
}

// Guards against granting the slack twice when all entries restart, as after a loss of
// power: none knows what it used before. A process that has just started may use a
// small part, so that the requests of its first callers are not lost either.
func TestSlackHoldsWhenAllEntriesRestart(t *testing.T) {
	const window = 10 * time.Second
	const slack = 100
	now := time.Now()
	sum := 0
	for range minEntries {
		sum += takeAll(newRunningBudget(now, window), now)
	}
	anew := 0
	for range minEntries {
		b := &Budget{Ratio: 0.2, Slack: slack, Window: window}
		for after := window / 20; after < window; after += window / 20 {
			anew += takeAll(b, now.Add(after))
		}
	}
	if anew == 0 || sum+anew > slack {
		t.Errorf("%d retries before the loss and %d after it, want some and at most %d together", sum, anew, slack)
	}
}

// Guards against exceeding the slack several times in a large system, when each entry
// uses a twelfth of it. A higher known number of entries makes an entry's part smaller.
// A low number never makes it larger, since an entry that is cut off hears of only a
// few.
func TestSlackIsSharedByAllEntries(t *testing.T) {
	const window = 10 * time.Second
	const slack = 100
	now := time.Now()
	for _, entries := range []int{1, minEntries, 46} {
		sum := 0
		for range max(entries, minEntries) {
			b := newRunningBudget(now, window)
			b.Entries = entries
			sum += takeAll(b, now)
		}
		if sum == 0 || sum > slack {
			t.Errorf("%d entries: %d retries, want some and at most %d", entries, sum, slack)
		}
	}
}

// Guards against granting retries anew while earlier ones wait to be sent. Released ones are
// granted again at once, those that arrived after a window.
func TestOutstandingRetriesUseTheBudget(t *testing.T) {
	const window = 10 * time.Second
	began := time.Now()
	b := newRunningBudget(began, window)
	whole := 0
	for b.Reserve(began) {
		whole++
	}
	later := began.Add(3 * window)
	if diff := cmp.Diff(0, takeAll(b, later)); diff != "" {
		t.Errorf("retries while all are outstanding (-want +got):\n%s", diff)
	}
	b.Release(1)
	if diff := cmp.Diff(1, takeAll(b, later)); diff != "" {
		t.Errorf("retries after one was released (-want +got):\n%s", diff)
	}
	b.Arrived(later, whole-1)
	if diff := cmp.Diff(0, takeAll(b, later.Add(window-time.Millisecond))); diff != "" {
		t.Errorf("retries within a window after the arrival (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(whole, takeAll(b, later.Add(2*window))); diff != "" {
		t.Errorf("retries two windows after the arrival (-want +got):\n%s", diff)
	}
}

// Guards against more arrivals in a window than the operator allows, whenever retries are
// granted and however long each takes to arrive. The operator counts the requests of the
// window, of the one before it or of the one half a window before it.
func TestArrivalsStayWithinBudgetHoweverLongTheyTake(t *testing.T) {
	const (
		window  = 10 * time.Second
		step    = 50 * time.Millisecond
		steps   = 1200
		perStep = 20
		entries = 15
		slack   = 134
		ratio   = 0.2
	)
	perWindow := int(window / step)
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]Budget, entries)
		for i := range budgets {
			budgets[i] = Budget{Ratio: ratio, Slack: slack, Window: window, Entries: entries}
		}
		began := time.Now()
		arrivals := make([]int, steps+2*perWindow)
		due := make([][]int, len(arrivals))
		// Retries are wanted and held up in phases, as while targets fail or stand still.
		failing, release := false, 0
		for at := range steps {
			now := began.Add(time.Duration(at) * step)
			if r.IntN(40) == 0 {
				failing = !failing
			}
			if at >= release && r.IntN(80) == 0 {
				release = at + r.IntN(perWindow*3/5)
			}
			for _, i := range due[at] {
				budgets[i].Arrived(now, 1)
				arrivals[at]++
			}
			for range perStep {
				i := r.IntN(entries)
				budgets[i].CountRequest(now)
				if failing && budgets[i].Reserve(now) {
					arrival := max(at+1, release)
					due[arrival] = append(due[arrival], i)
				}
			}
		}
		inWindow := 0
		for at := range steps {
			inWindow += arrivals[at]
			if at >= perWindow {
				inWindow -= arrivals[at-perWindow]
			}
			// The rate of requests is constant, so that all windows but the first have as many.
			allowed := ratio*float64(perStep*min(at+1, perWindow)) + slack
			if float64(inWindow) > allowed {
				t.Fatalf("seed %d: %d retries arrive in the window before %v, want at most %v", seed, inWindow, time.Duration(at)*step, allowed)
			}
		}
	}
}
