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
	// Queued is the share of the targets' capacity that is to wait at the
	// targets, so that a place that comes free is taken at once.
	Queued float64
	// Gain is the part of the missing or surplus load that one adjustment
	// takes up. Reports lag by about Every, and at a gain near one each
	// surplus would be corrected twice.
	Gain float64
	// Slower is how many times its usual value the time to the first byte
	// may reach at targets that send no reports.
	Slower float64
	// Cut is the factor of a cut for answers that start late.
	Cut float64
}

func (l LimitSettings) withDefaults() LimitSettings {
	l.Initial = orDefault(l.Initial, 16)
	l.Least = orDefault(l.Least, 2)
	l.Every = orDefault(l.Every, 500*time.Millisecond)
	l.Queued = orDefault(l.Queued, 0.1)
	l.Gain = orDefault(l.Gain, 0.3)
	l.Slower = orDefault(l.Slower, 3)
	l.Cut = orDefault(l.Cut, 0.9)
	return l
}

// usualDrift is how much the usual time to the first byte rises in one
// adjustment, so that a target which became slower for good is not held to
// a value it will not reach again.
const usualDrift = 1.002

// nearLimit is the use of the limit, as a share, that lets it grow.
const nearLimit = 0.8

// How an entry's part of the targets' calls is learnt: the weight of a new
// sample, and the fewest calls that give one.
const (
	partSmoothing = 0.1
	leastCalls    = 4
)

// maxStep bounds the change of one adjustment, as a share of the limit.
const maxStep = 0.3

// limit is the number of calls that an entry keeps in flight at a service.
//
// For targets that report, each entry moves its limit by a part of what the
// targets have too much or too little, as a share of their capacity. All
// entries see the same sum and move by the same share, so that together they
// make up for it once, not once each. The step that is added while there is room
// brings limits that differ closer together.
//
// For targets that do not report, it grows by a step while it is used, and is
// cut by a factor when answers start late.
type limit struct {
	set      LimitSettings
	value    float64
	adjusted time.Time
	peak     int
	inFlight int
	part     float64
	first    window
	usual    time.Duration
}

// pressure is what the targets' reports say in sum.
type pressure struct {
	capacity int
	calls    int
}

func newLimit(set LimitSettings) limit {
	return limit{set: set, value: float64(set.Initial)}
}

func (l *limit) calls() int { return int(l.value) }

// use notes the calls in flight.
func (l *limit) use(inFlight int) {
	l.peak = max(l.peak, inFlight)
	l.inFlight = inFlight
}

// due reports whether the next adjustment is due.
func (l *limit) due(now time.Time) bool { return now.Sub(l.adjusted) >= l.set.Every }

func (l *limit) adjust(now time.Time, p pressure) {
	l.adjusted = now
	used := float64(l.peak) >= nearLimit*l.value
	l.peak = 0
	if p.capacity > 0 {
		l.byReports(p, used)
	} else {
		l.byLatency(used)
	}
	l.value = math.Max(l.value, float64(l.set.Least))
}

func (l *limit) byReports(p pressure, used bool) {
	full := float64(p.capacity) * (1 + l.set.Queued)
	room := (full - float64(p.calls)) / float64(p.capacity)
	if room > 0 {
		l.learnPart(p)
		l.value = math.Max(l.value, l.part*full)
	}
	if room > 0 && !used {
		return
	}
	l.value *= 1 + math.Max(-maxStep, math.Min(maxStep, l.set.Gain*room))
	if room > 0 {
		l.value++
	}
	l.value = math.Min(l.value, full)
}

func (l *limit) byLatency(used bool) {
	if l.slow() {
		l.value *= l.set.Cut
		return
	}
	if used {
		l.value += math.Max(1, math.Sqrt(l.value)/2)
	}
}

// learnPart estimates which part of the targets' calls is this entry's. The
// entry may fill that part of their capacity at once: a limit that had to
// grow step by step from what quiet hours left would hold up the first
// seconds of each burst.
func (l *limit) learnPart(p pressure) {
	if p.calls < leastCalls {
		return
	}
	part := math.Min(1, float64(l.inFlight)/float64(p.calls))
	l.part += partSmoothing * (part - l.part)
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
