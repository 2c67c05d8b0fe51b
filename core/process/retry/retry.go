// Package retry spaces repeated attempts.
package retry

import "time"

// Backoff is an exponential backoff with a bound and with full jitter: the
// pause is drawn between half of the current bound and the bound, so that
// processes that failed together do not come back together. Set Base and Max
// before the first use.
type Backoff struct {
	Base time.Duration
	Max  time.Duration

	failures int
}

// Next counts a failure and returns the pause before the next attempt.
// random is from 0 up to 1.
func (b *Backoff) Next(random float64) time.Duration {
	bound := b.Max
	// Max is shifted and not Base, which would overflow for a long base.
	if b.Base < b.Max>>b.failures {
		bound = b.Base << b.failures
	}
	b.failures++
	half := bound / 2
	return half + time.Duration(random*float64(bound-half))
}

// Reset counts a success: the next pause is short again.
func (b *Backoff) Reset() { b.failures = 0 }
