package admit

import (
	"math"
	"time"
)

// LimitSettings configure the adaptive limit of calls in flight. Zero values stand for
// the defaults.
type LimitSettings struct {
	// Initial is the limit at the start.
	Initial int
	// Min is the lowest limit.
	Min int
	// Interval is the time between two adjustments.
	Interval time.Duration
	// QueuedShare is the share of the targets' capacity that is to be queued at the
	// targets, so that a slot that becomes free is used at once.
	QueuedShare float64
	// Gain is the share of the missing or excess load that one adjustment corrects.
	// Reports lag by about Interval, so that at a gain near one each excess would be
	// corrected twice.
	Gain float64
	// SlowFactor is how many times its usual value the time to the first byte may reach
	// at targets that send no reports.
	SlowFactor float64
	// DecreaseFactor is the factor by which the limit is reduced when answers start
	// late.
	DecreaseFactor float64
}

func (l LimitSettings) withDefaults() LimitSettings {
	l.Initial = orDefault(l.Initial, 16)
	l.Min = orDefault(l.Min, 2)
	l.Interval = orDefault(l.Interval, 500*time.Millisecond)
	l.QueuedShare = orDefault(l.QueuedShare, 0.1)
	l.Gain = orDefault(l.Gain, 0.3)
	l.SlowFactor = orDefault(l.SlowFactor, 3)
	l.DecreaseFactor = orDefault(l.DecreaseFactor, 0.9)
	return l
}

// usualDrift is the factor by which the usual time to the first byte rises in each
// adjustment whose median is not below it. At 1, targets that have become slower for
// good by more than SlowFactor would be taken for overloaded for ever.
const usualDrift = 1.002

// minUseToGrow is the share of the limit that must be in use for the limit to grow.
const minUseToGrow = 0.8

// Parameters for learning the entry's share of the targets' calls: the weight of a new
// sample, and the fewest calls that give one.
const (
	entryShareSmoothing = 0.1
	minShareCalls       = 4
)

// maxStep bounds the proportional part of an adjustment by reports, as a share of the
// limit. The constant step and the raise to the entry's share of the capacity are not
// bounded by it.
const maxStep = 0.3

// limit is the adaptive limit of the calls that an entry has in flight at a service.
//
// For targets that report, each entry adjusts its limit by a part of the targets'
// missing or excess load, as a share of their capacity. All entries see the same sum
// and adjust by the same share, so that together they correct it once, not once each. A
// constant step is added while there is room, which brings different limits closer
// together.
//
// For targets that do not report, the limit grows by a step while it is used, and is
// reduced by a factor when answers start late.
type limit struct {
	settings       LimitSettings
	value          float64
	adjusted       time.Time
	peakInFlight   int
	inFlight       int
	entryShare     float64
	firstBytes     window
	usualFirstByte time.Duration
}

// targetLoad is the sum of the targets' load reports.
type targetLoad struct {
	capacity int
	calls    int
}

func newLimit(settings LimitSettings) limit {
	return limit{settings: settings, value: float64(settings.Initial)}
}

func (l *limit) calls() int { return int(l.value) }

// recordInFlight records the number of calls in flight, and the highest since the last
// adjustment.
func (l *limit) recordInFlight(inFlight int) {
	l.peakInFlight = max(l.peakInFlight, inFlight)
	l.inFlight = inFlight
}

// due reports whether the next adjustment is due.
func (l *limit) due(now time.Time) bool { return now.Sub(l.adjusted) >= l.settings.Interval }

func (l *limit) adjust(now time.Time, load targetLoad) {
	l.adjusted = now
	used := float64(l.peakInFlight) >= minUseToGrow*l.value
	l.peakInFlight = 0
	if load.capacity > 0 {
		l.adjustByReports(load, used)
	} else {
		l.adjustByLatency(used)
	}
	l.value = math.Max(l.value, float64(l.settings.Min))
}

func (l *limit) adjustByReports(load targetLoad, used bool) {
	full := float64(load.capacity) * (1 + l.settings.QueuedShare)
	room := (full - float64(load.calls)) / float64(load.capacity)
	if room > 0 {
		l.learnEntryShare(load)
		l.value = math.Max(l.value, l.entryShare*full)
	}
	if room > 0 && !used {
		return
	}
	l.value *= 1 + math.Max(-maxStep, math.Min(maxStep, l.settings.Gain*room))
	if room > 0 {
		l.value++
	}
	l.value = math.Min(l.value, full)
}

func (l *limit) adjustByLatency(used bool) {
	if l.isSlow() {
		l.value *= l.settings.DecreaseFactor
		return
	}
	if used {
		l.value += math.Max(1, math.Sqrt(l.value)/2)
	}
}

// learnEntryShare estimates which share of the targets' calls is this entry's. The
// entry may use that share of their capacity at once. A limit that had to grow step by
// step after a quiet period would delay the first seconds of each burst.
func (l *limit) learnEntryShare(load targetLoad) {
	if load.calls < minShareCalls {
		return
	}
	entryShare := math.Min(1, float64(l.inFlight)/float64(load.calls))
	l.entryShare += entryShareSmoothing * (entryShare - l.entryShare)
}

// isSlow compares the window's median time to the first byte with the usual one, which
// is the lowest median so far, and begins a new window.
func (l *limit) isSlow() bool {
	m, ok := l.firstBytes.median()
	if !ok {
		return false
	}
	l.firstBytes.reset()
	if l.usualFirstByte == 0 || m < l.usualFirstByte {
		l.usualFirstByte = m
		return false
	}
	l.usualFirstByte = time.Duration(float64(l.usualFirstByte) * usualDrift)
	return float64(m) > l.settings.SlowFactor*float64(l.usualFirstByte)
}
