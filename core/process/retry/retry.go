// Package retry computes the pauses between repeated attempts. The watcher of the
// configuration service and its peers (io/process/watch) uses it.
package retry

import "time"

// Backoff is a bounded exponential backoff with jitter. Each pause is drawn between
// half of the current limit and the limit, so that processes that failed at the same
// time do not retry at the same time. Set Base and Max before the first use.
type Backoff struct {
	// Base is the limit of the first pause. It doubles with each failure.
	Base time.Duration
	// Max is the maximum of the limit.
	Max time.Duration

	failures int
}

// Next counts a failure and returns the pause before the next attempt. random is a
// random number from 0 up to, but not including, 1.
func (b *Backoff) Next(random float64) time.Duration {
	limit := b.Max
	// The comparison shifts Max to the right instead of Base to the left, because
	// that could overflow.
	if b.Base < b.Max>>b.failures {
		limit = b.Base << b.failures
	}
	b.failures++
	half := limit / 2
	return half + time.Duration(random*float64(limit-half))
}

// Reset is called after a success. The next pause has the limit Base again.
func (b *Backoff) Reset() { b.failures = 0 }
