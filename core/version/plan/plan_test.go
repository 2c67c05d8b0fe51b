package plan

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// A version takes 4 s on the link and may be used for 13 s after a newer one. Version 2 is
// announced at 0 and version 3 at 2 s.
const (
	testRate  = 1000
	testSize  = 4000
	testBound = 13 * time.Second
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// testInput is what a side knows at a time at which its region lacks some bytes of each version.
func testInput(now time.Duration, newestMissing, olderMissing int64) Input {
	return Input{
		Now: at(now), LinkRate: testRate, Newest: Version{3, testSize, newestMissing}, Older: &Version{2, testSize, olderMissing},
		ServedUntil: at(testBound), OlderUntil: at(2*time.Second + testBound),
	}
}

// Guards against two versions that share the link until neither can be complete in time, and
// against a second load of each engine that gains nothing.
func TestNext(t *testing.T) {
	single := testInput(0, testSize, 0)
	single.Older = nil
	unavailable := testInput(9*time.Second, 4000, 1600)
	unavailable.OriginUnavailable = true
	noHope := testInput(8*time.Second, 1000, 0)
	noHope.OriginUnavailable = true
	idle := testInput(9*time.Second, 0, 400)
	idle.OriginUnavailable = true
	older := Plan{Newest: 3, Older: 2, Order: OrderOlderFirst}
	newest := Plan{Newest: 3, Older: 2, Order: OrderNewestOnly}
	other := Plan{Newest: 2, Older: 1, Order: OrderOlderFirst}
	loading := Plan{Newest: 3, Older: 2, Order: OrderNewestOnly, LoadOlder: true}
	probing := Plan{Newest: 3, Older: 2, Order: OrderNewestOnly, ProbeOlder: true, NewestMissing: 4000}
	ms := time.Millisecond
	tests := []struct {
		name     string
		in       Input
		previous Plan
		want     Plan
	}{
		{"one version", single, older, Plan{Newest: 3, Order: OrderNewestOnly, Reason: ReasonSingle, NewestIn: 4000 * ms}},
		{"the newest is in time", testInput(2*time.Second, 4000, 2200), other, Plan{3, 2, OrderNewestOnly, ReasonNewestInTime, false, false, 0, 4000 * ms, 0, 0}},
		{"nearly complete", testInput(2*time.Second, 4000, 500), newest, Plan{3, 2, OrderOlderFirst, ReasonNearlyComplete, false, false, 0, 4500 * ms, 500 * ms, 0}},
		{"the older one bridges little", testInput(8500*ms, 4000, 1900), older, Plan{3, 2, OrderNewestOnly, ReasonLeastGap, false, false, 0, 4000 * ms, 0, 2500 * ms}},
		{"the older one bridges enough", testInput(8500*ms, 4000, 600), newest, Plan{3, 2, OrderOlderFirst, ReasonLeastGap, true, false, 0, 4600 * ms, 600 * ms, 1100 * ms}},
		{"not much better", testInput(9*time.Second, 4000, 1100), newest, Plan{3, 2, OrderNewestOnly, ReasonKept, false, false, 0, 4000 * ms, 0, 3000 * ms}},
		{"not much worse", testInput(9*time.Second, 4000, 1100), older, Plan{3, 2, OrderOlderFirst, ReasonKept, true, false, 0, 5100 * ms, 1100 * ms, 2200 * ms}},
		{"nothing is fetched, so that a change costs nothing", unavailable, older, Plan{3, 2, OrderNewestOnly, ReasonLeastGap, false, true, 0, 4000 * ms, 0, 3000 * ms}},
		{"the region holds the newest", idle, probing, Plan{3, 2, OrderNewestOnly, ReasonNewestHeld, false, false, 0, 0, 0, 0}},
		{"the newest makes no progress", testInput(9*time.Second, 4000, 1600), probing, Plan{3, 2, OrderNewestOnly, ReasonLeastGap, false, true, 0, 4000 * ms, 0, 3000 * ms}},
		{"the newest makes progress", testInput(9*time.Second, 3900, 1600), probing, Plan{3, 2, OrderNewestOnly, ReasonLeastGap, false, false, 0, 3900 * ms, 0, 2900 * ms}},
		{"the older one is too late", testInput(11500*ms, 4000, 600), older, Plan{3, 2, OrderNewestOnly, ReasonOlderTooLate, false, false, 0, 4000 * ms, 0, 5500 * ms}},
		{"engines load the older one already", testInput(8*time.Second, 1000, 0), loading, Plan{3, 2, OrderOlderFirst, ReasonNearlyComplete, true, false, 0, 1000 * ms, 0, 0}},
		{"complete, and the origin is unavailable", noHope, older, Plan{3, 2, OrderOlderFirst, ReasonNearlyComplete, true, false, 0, 1000 * ms, 0, 0}},
		{"complete, but the newest is in time", testInput(8*time.Second, 1000, 0), older, Plan{3, 2, OrderOlderFirst, ReasonNearlyComplete, false, false, 0, 1000 * ms, 0, 0}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, Next(tc.in, tc.previous), cmpopts.IgnoreFields(Plan{}, "NewestMissing")); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against plans where the operator has declared no link or no bound, or where the link
// carries two versions in time.
func TestActive(t *testing.T) {
	tests := []struct {
		name       string
		rate, size int64
		bound      time.Duration
		want       bool
	}{
		{"a third of the bound", 547500, 96 * 24576, 13400 * time.Millisecond, true},
		{"a fifth", 1000, 2000, 10 * time.Second, true},
		{"less than a fifth", 1000, 1999, 10 * time.Second, false},
		{"no declared link", 0, 2000, 10 * time.Second, false},
		{"no bound", 1000, 2000, 0, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if got := Active(tc.rate, tc.size, tc.bound); got != tc.want {
				t.Errorf("active: %v, want %v", got, tc.want)
			}
		})
	}
}
