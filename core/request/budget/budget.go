// Package budget limits how many requests an entry (the process that accepts callers'
// requests) repeats. Package direct calls it. The limit holds over all entries of the
// system without messages between them: each entry repeats only a share of its own
// requests, and together they repeat the same share of all.
package budget

import "time"

// How an entry uses its part of the operator's limit.
const (
	// ratioShare is the share of the ratio that is used. The rest is a reserve, since
	// the operator's windows begin at other times than the entry's.
	ratioShare = 0.8
	// minEntries is the lowest number of entries that the slack is divided by. An entry
	// that starts does not know how many others there are, and one that is cut off
	// hears of only a few.
	minEntries = 12
	// initialShare is the share of its slack that a process may use at its start. What
	// its predecessor used is not known and still counts.
	initialShare = 0.25
	// buckets is the number of parts into which a window is divided.
	buckets = 10
	// repeatBuckets is for how many buckets a repeat is counted. A window mostly covers
	// only parts of its first and last bucket. If repeats were dropped together with
	// the requests, they would be granted again up to a bucket too soon, and the
	// operator would see both in one window.
	repeatBuckets = buckets + 1
)

// Budget counts the requests and repeats of one service within a sliding window. Up to
// Ratio of the requests, plus a part of Slack, may be repeated. The operator counts repeats
// when they arrive at targets, which may be seconds after they were granted: a repeat waits
// for a place, and a target that stands still reads it late. A granted repeat is therefore
// outstanding, and uses the budget, from Reserve until a window after its arrival. Set the
// exported fields before the first call.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Entries is the highest number of entries known so far, 0 if none; it may grow.
	Entries int

	// started is the time of the first call. Buckets are counted from it by the
	// monotonic clock. If the time of day were used and jumped by a window, repeats
	// would be granted again. While a machine is suspended the monotonic clock stands
	// still, which only keeps repeats counted for longer.
	started  time.Time
	requests [buckets]float64
	// outstanding is the number of granted repeats that may not have arrived yet, and
	// repeats counts those that have.
	outstanding   int
	repeats       [repeatBuckets]float64
	currentBucket int64
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.currentBucket%buckets]++
}

// Reserve reports whether a request may be repeated. If so, the repeat is outstanding until
// Arrived or Release is called for it.
func (b *Budget) Reserve(now time.Time) bool {
	b.advance(now)
	if float64(b.outstanding)+sum(b.repeats[:])+1 > b.allowed() {
		return false
	}
	b.outstanding++
	return true
}

// Arrived records that n outstanding repeats have arrived at the latest now.
func (b *Budget) Arrived(now time.Time, n int) {
	b.advance(now)
	b.outstanding -= n
	b.repeats[b.currentBucket%repeatBuckets] += float64(n)
}

// Usage is what decides whether a request may be repeated.
type Usage struct {
	// Requests and Arrived are the requests and the repeats of the current window, and
	// Outstanding the granted repeats that may not have arrived yet.
	Requests    int
	Arrived     int
	Outstanding int
	// Allowed is how many repeats may be outstanding or have arrived in the window.
	Allowed int
	// Age is the time since the first call.
	Age time.Duration
}

// Usage returns what decides about repeats now.
func (b *Budget) Usage(now time.Time) Usage {
	b.advance(now)
	return Usage{
		Requests: int(sum(b.requests[:])), Arrived: int(sum(b.repeats[:])), Outstanding: b.outstanding,
		Allowed: int(b.allowed()), Age: now.Sub(b.started),
	}
}

// Release gives back n outstanding repeats that will never be sent.
func (b *Budget) Release(n int) { b.outstanding -= n }

// allowed is how many repeats may be outstanding or have arrived in the current window.
func (b *Budget) allowed() float64 {
	return ratioShare*b.Ratio*sum(b.requests[:]) + b.slackShare()
}

// slackShare is the part of Slack that this entry may use in a window. The sum over all
// entries stays within Slack even if every entry restarts once in that time.
func (b *Budget) slackShare() float64 {
	return b.Slack / (float64(max(b.Entries, minEntries)) * (1 + initialShare))
}

// advance moves to the current bucket and clears those that have left the window.
func (b *Budget) advance(now time.Time) {
	width := max(b.Window/buckets, time.Millisecond)
	if b.started.IsZero() {
		b.started = now
		b.repeats[0] = (1 - initialShare) * b.slackShare()
	}
	at := int64(now.Sub(b.started) / width)
	// After a long gap, clearing each bucket once is enough.
	b.currentBucket = max(b.currentBucket, at-repeatBuckets)
	for b.currentBucket < at {
		b.currentBucket++
		b.requests[b.currentBucket%buckets] = 0
		b.repeats[b.currentBucket%repeatBuckets] = 0
	}
}

func sum(v []float64) float64 {
	var out float64
	for _, x := range v {
		out += x
	}
	return out
}
