// Package drift detects slow degradation of a process. A sudden fault is visible in
// any graph, but responses that get 1 % slower each day, or a table that grows by a
// few entries an hour, go unnoticed until something fails.
//
// The samples of each measure are aggregated over windows of time. The last finished
// window is compared with the ones before it, for more than one window length, so
// that a degradation is detected whether it takes an hour or a week. Package
// io/process/trends feeds a Tracker and exports its results.
package drift

import (
	"cmp"
	"slices"
	"time"

	"hawthornferry/core/process/ttlmap"
)

// Kind says how the samples of a measure are aggregated over a window.
type Kind string

// The kinds of measure.
const (
	// KindLatency is for durations. The value of a window is their 95th percentile
	// in milliseconds.
	KindLatency Kind = "latency"
	// KindCount is for increments. The value of a window is their sum.
	KindCount Kind = "count"
	// KindSize is for the size of something. The value of a window is the maximum.
	KindSize Kind = "size"
)

// Defaults of a Tracker's fields.
const (
	DefaultMaxSeries = 256
	DefaultMaxAge    = 14 * 24 * time.Hour
	DefaultMaxFactor = 1.5
	DefaultMaxTrend  = 1.2
)

// Scale is a window length and the number of finished windows to keep.
type Scale struct {
	Window time.Duration
	Keep   int
}

// DefaultScales returns scales that detect a degradation within an hour and within
// a week.
func DefaultScales() []Scale {
	return []Scale{{Window: 5 * time.Minute, Keep: 12}, {Window: 6 * time.Hour, Keep: 28}}
}

// Tracker aggregates the measures of a process. Set the exported fields before the
// first call; zero values stand for the defaults. It is not safe for concurrent
// use.
type Tracker struct {
	Scales []Scale
	// MaxSeries limits the number of measures. A measure without samples for
	// MaxAge is forgotten.
	MaxSeries int
	MaxAge    time.Duration
	// A measure counts as declined if its last window is above MaxFactor times
	// its usual value, or its trend is above MaxTrend. MaxTrend can be the lower
	// of the two, because the trend averages many windows.
	MaxFactor float64
	MaxTrend  float64

	series ttlmap.Map[Name, *series]
	ready  bool
}

// Name identifies a measure.
type Name struct {
	Kind Kind
	Name string
}

// Result is the result for one measure on one scale. Value is the value of the last
// finished window, Median the median of the windows before it, and Trend the average
// of the newest quarter of the windows divided by that of the oldest quarter, so 1
// means no change. Declined is set if Value or Trend is above the tracker's limit.
type Result struct {
	Name     Name
	Window   time.Duration
	Windows  int
	Value    float64
	Median   float64
	Trend    float64
	Declined bool
}

// AddLatency adds a sample to a measure of KindLatency.
func (t *Tracker) AddLatency(now time.Time, name string, d time.Duration) {
	t.seriesFor(now, Name{KindLatency, name}).add(now, float64(d)/float64(time.Millisecond))
}

// AddCount adds n to a measure of KindCount.
func (t *Tracker) AddCount(now time.Time, name string, n int) {
	t.seriesFor(now, Name{KindCount, name}).add(now, float64(n))
}

// AddSize adds a sample to a measure of KindSize.
func (t *Tracker) AddSize(now time.Time, name string, n int) {
	t.seriesFor(now, Name{KindSize, name}).add(now, float64(n))
}

// Results returns a result for each measure and scale with at least two finished
// windows, sorted by kind, name and window length.
func (t *Tracker) Results(now time.Time) []Result {
	t.prepare()
	t.series.Expire(now)
	var out []Result
	for name, s := range t.series.All(now) {
		for _, w := range s.histories {
			w.closeEnded(now)
			if r, ok := w.result(name, t.MaxFactor, t.MaxTrend); ok {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, compareResults)
	return out
}

// Len returns the number of measures.
func (t *Tracker) Len() int { return t.series.Len() }

func compareResults(a, b Result) int {
	return cmp.Or(
		cmp.Compare(a.Name.Kind, b.Name.Kind),
		cmp.Compare(a.Name.Name, b.Name.Name),
		cmp.Compare(a.Window, b.Window),
	)
}

func (t *Tracker) seriesFor(now time.Time, n Name) *series {
	t.prepare()
	s, ok := t.series.Get(now, n)
	if !ok {
		s = newSeries(n.Kind, t.Scales, now)
	}
	t.series.Put(now, n, s)
	return s
}

func (t *Tracker) prepare() {
	if t.ready {
		return
	}
	t.ready = true
	if len(t.Scales) == 0 {
		t.Scales = DefaultScales()
	}
	t.series.MaxEntries = cmp.Or(t.MaxSeries, DefaultMaxSeries)
	t.series.TTL = cmp.Or(t.MaxAge, DefaultMaxAge)
	t.MaxFactor = cmp.Or(t.MaxFactor, DefaultMaxFactor)
	t.MaxTrend = cmp.Or(t.MaxTrend, DefaultMaxTrend)
}
