package admit

import (
	"math"
	"time"
)

// LimitSettings say how the number of calls in flight is learnt. Zero values
// stand for the defaults.
type LimitSettings struct {
	// Initial is the limit before anything is learnt.
	Initial int
	// Least is the limit that is always allowed.
	Least int
	// Every is the time between two adjustments.
	Every time.Duration
	// Queued is the share of the targets' capacity that may wait at the
	// targets; above it the limit is cut.
	Queued float64
	// Slower is how many times its usual value the time to the first byte
	// may reach before the limit is cut.
	Slower float64
	// Cut is the factor of one cut.
	Cut float64
}

func (l LimitSettings) withDefaults() LimitSettings {
	l.Initial = orDefault(l.Initial, 16)
	l.Least = orDefault(l.Least, 2)
	l.Every = orDefault(l.Every, 500*time.Millisecond)
	l.Queued = orDefault(l.Queued, 0.1)
	l.Slower = orDefault(l.Slower, 3)
	l.Cut = orDefault(l.Cut, 0.9)
	return l
}

// usualDrift is how much the usual time to the first byte rises in one
// adjustment, so that a target which became slower for good is not held to
// a value it will not reach again.
const usualDrift = 1.002

// quickGrowth is the factor of growth before the first cut.
const quickGrowth = 1.5

// nearLimit is the use of the limit, as a share, that lets it grow.
const nearLimit = 0.8

// limit is the number of calls that an entry keeps in flight at a service. It
// grows a step at a time while it is used and the targets keep up, and is cut
// by a factor when calls wait at the targets or answers start late. Entries
// that share targets thereby come to similar limits without speaking to each
// other.
type limit struct {
	set      LimitSettings
	value    float64
	cutOnce  bool
	adjusted time.Time
	peak     int
	first    window
	usual    time.Duration
}

// pressure is what the targets' reports say in sum.
type pressure struct {
	capacity int
	queued   int
}

func newLimit(set LimitSettings) limit {
	return limit{set: set, value: float64(set.Initial)}
}

func (l *limit) calls() int { return int(l.value) }

// use notes the calls in flight.
func (l *limit) use(inFlight int) { l.peak = max(l.peak, inFlight) }

// due reports whether the next adjustment is due.
func (l *limit) due(now time.Time) bool { return now.Sub(l.adjusted) >= l.set.Every }

func (l *limit) adjust(now time.Time, p pressure) {
	l.adjusted = now
	slow := l.slow()
	used := float64(l.peak) >= nearLimit*l.value
	l.peak = 0
	switch {
	case slow || float64(p.queued) > l.set.Queued*float64(p.capacity):
		l.value *= l.set.Cut
		l.cutOnce = true
	case used && !l.cutOnce:
		l.value *= quickGrowth
	case used:
		l.value += math.Max(1, math.Sqrt(l.value)/2)
	}
	if p.capacity > 0 {
		l.value = math.Min(l.value, float64(p.capacity)*(1+l.set.Queued))
	}
	l.value = math.Max(l.value, float64(l.set.Least))
}

// slow compares the window's median time to the first byte with the usual
// one, the least of medians so far, and begins a new window.
func (l *limit) slow() bool {
	m, ok := l.first.median()
	if !ok {
		return false
	}
	l.first.reset()
	if l.usual == 0 || m < l.usual {
		l.usual = m
		return false
	}
	l.usual = time.Duration(float64(l.usual) * usualDrift)
	return float64(m) > l.set.Slower*float64(l.usual)
}
