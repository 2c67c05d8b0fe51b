package lease

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minRate is the rate, in requests a second, that is granted for a lower limit: only
	// the response to a request tells that the target has lifted it.
	minRate = 0.1
	// burstTime is the time whose requests may be granted at once if none were before.
	burstTime = time.Second
)

// RateLimit is how many requests a second a target takes from all entries together, for as
// long as it says so in its responses. The zero value is no limit.
type RateLimit struct {
	Limited   bool    `msgpack:"limited"`
	PerSecond float64 `msgpack:"perSecond"`
}

// RateReport is what a side knows of the limit that its engine names. Known is false while no
// entry has told the side.
type RateReport struct {
	Known bool      `msgpack:"known"`
	Limit RateLimit `msgpack:"limit"`
}

// Check returns an error if the rate is out of range.
func (l RateLimit) Check() error {
	if math.IsNaN(l.PerSecond) || l.PerSecond < 0 {
		return errors.Newf("rate limit of %g requests a second: want none below 0", l.PerSecond)
	}
	return nil
}

// Stricter returns the stricter of two limits.
func (l RateLimit) Stricter(other RateLimit) RateLimit {
	if !other.Limited || l.Limited && l.PerSecond <= other.PerSecond {
		return l
	}
	return other
}

// rate is the number of requests a second that are granted.
func (l RateLimit) rate() float64 { return max(l.PerSecond, minRate) }

// Interval returns the time between two requests of an entry that keeps to an equal share
// among the given number of entries.
func (l RateLimit) Interval(entries int) time.Duration {
	return time.Duration(float64(max(entries, 1)) / l.rate() * float64(time.Second))
}

// Bucket is a token bucket from which a side grants permits for a target with a RateLimit.
// The zero value is ready and empty: entries may just have sent requests without permits,
// or have used those of an earlier run of the side. It is not safe for concurrent use.
type Bucket struct {
	started bool
	tokens  float64
	takenAt time.Duration
}

// Take takes up to want permits and returns how many. now is a clock that keeps counting
// while the machine is suspended.
func (b *Bucket) Take(now time.Duration, want int, l RateLimit) int {
	if !l.Limited {
		return want
	}
	if !b.started {
		b.started, b.takenAt = true, now
	}
	size := max(1, l.rate()*burstTime.Seconds())
	b.tokens = min(size, b.tokens+l.rate()*(now-b.takenAt).Seconds())
	b.takenAt = now
	n := max(0, min(want, int(b.tokens)))
	b.tokens -= float64(n)
	return n
}

// NextIn returns how long after the last call of Take the bucket has a permit, 0 if it has
// one already.
func (b *Bucket) NextIn(l RateLimit) time.Duration {
	if !l.Limited || b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / l.rate() * float64(time.Second))
}

// Pacer spaces the requests of one entry to a target that has no side to grant permits. The
// zero value is ready.
type Pacer struct {
	next time.Time
}

// Allows reports whether a request may be sent now, given the interval between two of them.
// The first one waits for a random part of the interval, since entries learn of a limit at
// about the same time; draw returns a random number below 1.
func (p *Pacer) Allows(now time.Time, interval time.Duration, draw func() float64) bool {
	if p.next.IsZero() {
		p.next = now.Add(time.Duration(draw() * float64(interval)))
	}
	if latest := now.Add(interval); p.next.After(latest) {
		p.next = latest
	}
	return !now.Before(p.next)
}

// Use counts a request that is sent now.
func (p *Pacer) Use(now time.Time, interval time.Duration) { p.next = now.Add(interval) }
