// Package spend bounds how many requests an entry sends once more. The bound
// holds over all entries of the system: each keeps to a part of its own
// requests, so that the sum keeps to that part of all of them without any
// message between them.
package spend

import "time"

// The entry's part of what the operator allows.
const (
	// ratioShare is the part of the ratio that is used: the windows in which
	// the operator counts are not those of the entry.
	ratioShare = 0.8
	// leastEntries is how many entries the slack is shared out to at the least:
	// one that starts does not know how many others there are, and one that is
	// cut off hears of a few.
	leastEntries = 12
	// startShare is how much of its part of the slack a process has as it begins.
	// What the one before it spent is not known, and still counts.
	startShare = 0.25
	// buckets is how many parts a window is counted in.
	buckets = 10
	// spentBuckets is for how many of them a repeat is kept. The first and the
	// last of a window are mostly cut: dropped with the requests, a repeat would
	// be granted again up to a bucket too soon, and the operator sees both.
	spentBuckets = buckets + 1
)

// Budget counts the requests and repeats of one service within a sliding
// window. Set the exported fields before the first call.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Entries is the most entries that were heard of, 0 if none; it may grow.
	Entries int

	// began is the first call. Buckets are counted from it by the steady clock:
	// the time of day may jump by a window, and what was spent would be granted
	// again. While a machine is suspended that clock stands still, which only
	// keeps what was spent for longer.
	began    time.Time
	requests [buckets]float64
	repeats  [spentBuckets]float64
	last     int64
}

// Earn counts a request of a caller.
func (b *Budget) Earn(now time.Time) {
	b.turn(now)
	b.requests[b.last%buckets]++
}

// Take reports whether a request may be sent once more, and counts it.
func (b *Budget) Take(now time.Time) bool {
	b.turn(now)
	allowed := ratioShare*b.Ratio*sum(b.requests[:]) + b.slack()
	if sum(b.repeats[:])+1 > allowed {
		return false
	}
	b.repeats[b.last%spentBuckets]++
	return true
}

// slack is the part of the slack that this entry uses in a window. All parts
// are within the slack also when every entry starts anew once in that time.
func (b *Budget) slack() float64 {
	return b.Slack / (float64(max(b.Entries, leastEntries)) * (1 + startShare))
}

// turn clears the buckets that have left the window.
func (b *Budget) turn(now time.Time) {
	width := max(b.Window/buckets, time.Millisecond)
	if b.began.IsZero() {
		b.began = now
		b.repeats[0] = (1 - startShare) * b.slack()
	}
	at := int64(now.Sub(b.began) / width)
	// All are cleared by one round.
	b.last = max(b.last, at-spentBuckets)
	for b.last < at {
		b.last++
		b.requests[b.last%buckets] = 0
		b.repeats[b.last%spentBuckets] = 0
	}
}

func sum(v []float64) float64 {
	var out float64
	for _, x := range v {
		out += x
	}
	return out
}
