// Package budget limits how many requests an entry (the process that accepts callers'
// requests) sends again. Package direct calls it. The limit holds over all entries of the
// system without messages between them: each entry retries only a share of its own
// requests, and together they retry the same share of all.
package budget

import (
	"math"
	"time"
)

// How an entry uses its part of the operator's limit.
const (
	// earnedShare is the share of the ratio that may be used in any span of time, of the
	// requests in it.
	earnedShare = 0.6
	// burstShare is the share of the ratio that may be used beside that, of the requests of
	// the last window. What is left is a reserve, since the operator's windows begin at
	// other times than the entry's.
	burstShare = 0.3
	// startWindows is for how many windows a process counts as just started. Until then it
	// may not use a burst, since its predecessor may have used one. Retries that the
	// predecessor has sent may arrive late, and count for a window from then.
	startWindows = 2
	// minEntries is the lowest number of entries that the slack is divided by. An entry
	// that starts does not know how many others there are, and one that is cut off
	// hears of only a few.
	minEntries = 12
	// initialShare is the share of its slack that a process that has just started may use.
	initialShare = 0.5
	// restarts is the number of starts of each process, within a window, for which slack is
	// set aside.
	restarts = 2
	// buckets is the number of parts into which a window is divided.
	buckets = 10
	// retryBuckets is for how many buckets a retry is counted. A window mostly covers
	// only parts of its first and last bucket. If retries were dropped together with
	// the requests, they would be granted again up to a bucket too soon, and the
	// operator would see both in one window.
	retryBuckets = buckets + 1
)

// Budget counts the requests and retries of one service within a sliding window. Up to
// Ratio of the requests, plus a part of Slack, may be retried. The operator counts retries
// when they arrive at targets, which may be seconds after they were granted: a retry waits
// for a place, and a stalled target reads it late. A granted retry is therefore
// outstanding, and uses the budget, from Reserve until a window after its arrival. Set the
// exported fields before the first call.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Entries is the highest number of entries known so far, 0 if none; it may grow.
	Entries int
	// StartedAt is when the process started; the time of the first call if it is not set.
	// Buckets are counted from it by the monotonic clock. If the time of day were used and
	// jumped by a window, retries would be granted again. While a machine is suspended the
	// monotonic clock stands still, which only keeps retries counted for longer.
	StartedAt time.Time

	requests [buckets]float64
	// outstanding is the number of granted retries that may not have arrived yet, and
	// retries counts those that have.
	outstanding   int
	retries       [retryBuckets]float64
	currentBucket int64
	// allRequests and allRetries count since the start of the process.
	allRequests float64
	allRetries  float64
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.currentBucket%buckets]++
	b.allRequests++
}

// Reserve reports whether a request may be retried. If so, the retry is outstanding until
// Arrived or Release is called for it.
func (b *Budget) Reserve(now time.Time) bool {
	b.advance(now)
	if b.room(now) < 1 {
		return false
	}
	b.outstanding++
	return true
}

// Arrived records that n outstanding retries have arrived at the latest now.
func (b *Budget) Arrived(now time.Time, n int) {
	b.advance(now)
	b.outstanding -= n
	b.retries[b.currentBucket%retryBuckets] += float64(n)
	b.allRetries += float64(n)
}

// Usage is what decides whether a request may be retried.
type Usage struct {
	// Requests and Arrived are the requests and the retries of the current window, and
	// Outstanding the granted retries that may not have arrived yet.
	Requests    int
	Arrived     int
	Outstanding int
	// Starting is set while the process counts as just started.
	Starting bool
	// Age is the time since the start of the process.
	Age time.Duration
}

// Usage returns what decides about retries now.
func (b *Budget) Usage(now time.Time) Usage {
	b.advance(now)
	return Usage{
		Requests: int(sum(b.requests[:])), Arrived: int(sum(b.retries[:])), Outstanding: b.outstanding,
		Starting: b.starting(now), Age: now.Sub(b.StartedAt),
	}
}

// Release gives back n outstanding retries that will never be sent.
func (b *Budget) Release(n int) { b.outstanding -= n }

// room is how many more retries may be granted.
func (b *Budget) room(now time.Time) float64 {
	room := b.windowRoom()
	if b.starting(now) {
		room = min(room, b.startRoom())
	}
	return room
}

// starting reports whether retries of an earlier process may still count for the operator.
func (b *Budget) starting(now time.Time) bool {
	return now.Sub(b.StartedAt) < startWindows*b.Window
}

// startRoom is what is left of what the process got at its start and has earned since.
// However often an entry restarts in a window, its processes together earn no more than a
// single one.
func (b *Budget) startRoom() float64 {
	earned := earnedShare*b.Ratio*b.allRequests + initialShare*b.slackShare()
	return earned - float64(b.outstanding) - b.allRetries
}

// windowRoom is what is left of the current window: in each span of time up to now, no more
// may be used than its requests have earned, and a burst.
func (b *Budget) windowRoom() float64 {
	burst := burstShare*b.Ratio*sum(b.requests[:]) + b.slackShare()
	room := math.Inf(1)
	requests, retries := 0.0, float64(b.outstanding)
	for back := range min(int64(retryBuckets), b.currentBucket+1) {
		at := b.currentBucket - back
		if back < buckets {
			requests += b.requests[at%buckets]
		}
		retries += b.retries[at%retryBuckets]
		room = min(room, earnedShare*b.Ratio*requests+burst-retries)
	}
	return room
}

// slackShare is the part of Slack that this entry may use in a window. The sum over all
// entries stays within Slack even if all of them restart in that time.
func (b *Budget) slackShare() float64 {
	return b.Slack / (float64(max(b.Entries, minEntries)) * (1 + restarts*initialShare))
}

// advance moves to the current bucket and clears those that have left the window.
func (b *Budget) advance(now time.Time) {
	width := max(b.Window/buckets, time.Millisecond)
	if b.StartedAt.IsZero() {
		b.StartedAt = now
	}
	at := int64(now.Sub(b.StartedAt) / width)
	// After a long gap, clearing each bucket once is enough.
	b.currentBucket = max(b.currentBucket, at-retryBuckets)
	for b.currentBucket < at {
		b.currentBucket++
		b.requests[b.currentBucket%buckets] = 0
		b.retries[b.currentBucket%retryBuckets] = 0
	}
}

func sum(v []float64) float64 {
	var out float64
	for _, x := range v {
		out += x
	}
	return out
}
