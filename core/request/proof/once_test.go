//go:build !race

package proof

import (
	"testing"
	"time"

	"hawthornferry/core/request/calls"
)

func limits() calls.Limits {
	return calls.Limits{MaxAge: tick, Keep: 2 * tick, KeyWindow: 3 * tick, Records: 16}
}

// free is a call that its entry may try at the other side once the first has
// marked it.
func free() bounds {
	return bounds{
		binding: calls.BindFree, ticks: 3, crashes: 1, posts: 1, attempts: 2, asks: 2,
		postUntil: 3, limits: limits(),
	}
}

// again is a call that its caller posts anew once it hears "not run".
func again() bounds {
	return bounds{
		binding: calls.BindFree, ticks: 3, crashes: 1, posts: 2, attempts: 1, asks: 1,
		postUntil: 3, limits: limits(),
	}
}

func ticket() bounds {
	return bounds{
		binding: calls.BindTicket, ticks: 4, crashes: 1, posts: 2, attempts: 1, asks: 1,
		postUntil: 4, limits: limits(),
	}
}

// key is a caller's own key: it is posted again for no longer than the
// window and the records last.
func key() bounds {
	return bounds{
		binding: calls.BindKey, ticks: 4, crashes: 1, posts: 2, attempts: 1, asks: 1,
		postUntil: 1, limits: limits(),
	}
}

// owner is a key whose owner changes, known to all within the tick. The
// window is over the lag, the caller's span and the age of a reading together;
// the exploration begins when that of the sides' boots has passed.
func owner() bounds {
	return bounds{
		binding: calls.BindKey, ticks: 6, posts: 2, attempts: 1, asks: 0,
		postUntil: 6, postSpan: 1, owner: true, lag: 0, begin: 3, limits: ownerLimits(),
	}
}

func ownerLimits() calls.Limits {
	l := limits()
	l.Keep = 8 * tick
	return l
}

// unbounded is the same where processes may never learn of the change.
func unbounded() bounds {
	b := owner()
	b.lag = noBound
	b.begin, b.ticks, b.postUntil = 2, 4, 4
	b.limits.KeyWindow = 2 * tick
	return b
}

// A caller's payment meets every order of crash, restart, silent and lost
// connection, late arrival, pause and second posting through the other entry
// that the bounds allow. It runs at most once, and "not run" is true
// whenever it is said.
func TestOnceCallRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		bounds bounds
	}{
		{"free, tried at the other side", free()},
		{"free, posted again", again()},
		{"ticket", ticket()},
		{"key", key()},
		{"key, its owner changes", owner()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			got := explorer{bounds: tt.bounds}.run()
			t.Logf("%v in %v", got, time.Since(begun).Round(time.Millisecond))
			if !got.Whole {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is left out once. The checker must then find how the
// payment runs twice, or runs after "not run" was said: otherwise it would
// pass whatever the code did.
func TestEachSafeguardIsNeeded(t *testing.T) {
	t.Parallel()
	tests := []struct {
		removed removed
		bounds  bounds
	}{
		{theMark, free()},
		{theQuery, free()},
		{theAge, free()},
		{theRecord, ticket()},
		{theBoot, ticket()},
		{theExpiry, ticket()},
		{theBound, ticket()},
		{theWindow, key()},
		{theFellow, owner()},
	}
	for _, tt := range tests {
		t.Run(string(tt.removed), func(t *testing.T) {
			t.Parallel()
			got := explorer{bounds: tt.bounds, removed: tt.removed}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without %s: %v", tt.removed, got)
			}
			t.Log(got)
		})
	}
}

// Half of the fleet never learns that a key has another owner, and the caller
// posts to both halves. Each half's side runs the payment. Nothing in the code
// prevents this: what does is that views differ for less than the window, and
// the checker shows that this is needed.
func TestKeyNeedsViewsThatAgreeInTime(t *testing.T) {
	t.Parallel()
	got := explorer{bounds: unbounded()}.run()
	if got.Err == nil {
		t.Fatalf("no rule was broken: %v", got)
	}
	t.Log(got)
}
