package spend

import (
	"testing"
	"time"
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
