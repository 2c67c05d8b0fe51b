// Package drift measures slow decline. A sudden fault shows in any graph; an
// answer that comes one part in a hundred later each day, or a table that
// grows by a few entries an hour, shows in none of them until it fails.
//
// Each measure is summed up over windows of time. A finished window is
// compared with those before it on more than one scale, so that a decline is
// seen whether it takes an hour or a week.
package drift

import (
	"cmp"
	"slices"
	"time"

	"hawthornferry/core/process/aged"
)

// Kind says how the samples of a measure are summed up over a window.
type Kind string

// The kinds of measure.
const (
	// KindLatency takes durations; a window's value is their 95th percentile
	// in milliseconds.
	KindLatency Kind = "latency"
	// KindCount takes increments; a window's value is their sum.
	KindCount Kind = "count"
	// KindSize takes the size of something; a window's value is the largest.
	KindSize Kind = "size"
)

// Defaults of a Tracker's settings.
const (
	DefaultSeries = 256
	DefaultAge    = 14 * 24 * time.Hour
	DefaultFactor = 1.5
	DefaultTrend  = 1.2
)

// Scale is a length of window and how many finished ones are kept.
type Scale struct {
	Window time.Duration
	Keep   int
}

// DefaultScales show a decline within an hour and one within a week.
func DefaultScales() []Scale {
	return []Scale{{Window: 5 * time.Minute, Keep: 12}, {Window: 6 * time.Hour, Keep: 28}}
}

// Tracker holds the windows of a process's measures. Set the exported fields
// before the first call; zero values stand for the defaults. It is not safe
// for concurrent use.
type Tracker struct {
	Scales []Scale
	// Series bounds the measures; Age is how long one without samples is
	// remembered.
	Series int
	Age    time.Duration
	// Factor is how many times its usual value a window may reach, and Trend
	// how high the trend may be, before a measure counts as declined. The
	// trend is over many windows, so it may be held tighter.
	Factor float64
	Trend  float64

	series aged.Table[Name, *series]
	ready  bool
}

// Name names a measure.
type Name struct {
	Kind Kind
	Name string
}

// Line is how one measure stands on one scale. Value is the last finished
// window's, Usual the median of those before it, Trend the newest quarter of
// the windows over the oldest quarter, 1 for no change. Declined is set when
// Value or Trend is above what the tracker allows.
type Line struct {
	Name     Name
	Window   time.Duration
	Windows  int
	Value    float64
	Usual    float64
	Trend    float64
	Declined bool
}

// Latency adds a duration.
func (t *Tracker) Latency(now time.Time, name string, d time.Duration) {
	t.of(now, Name{KindLatency, name}).add(now, float64(d)/float64(time.Millisecond))
}

// Count adds n to a count.
func (t *Tracker) Count(now time.Time, name string, n int) {
	t.of(now, Name{KindCount, name}).add(now, float64(n))
}

// Size notes a size.
func (t *Tracker) Size(now time.Time, name string, n int) {
	t.of(now, Name{KindSize, name}).add(now, float64(n))
}

// Lines returns a line for each measure and scale that has a finished window
// with one before it, sorted by name.
func (t *Tracker) Lines(now time.Time) []Line {
	t.prepare()
	t.series.Expire(now)
	var out []Line
	for name, s := range t.series.All(now) {
		for _, w := range s.scales {
			w.roll(now)
			if l, ok := w.line(name, t.Factor, t.Trend); ok {
				out = append(out, l)
			}
		}
	}
	slices.SortFunc(out, compareLines)
	return out
}

// Len returns the number of measures.
func (t *Tracker) Len() int { return t.series.Len() }

func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(a.Name.Kind, b.Name.Kind),
		cmp.Compare(a.Name.Name, b.Name.Name),
		cmp.Compare(a.Window, b.Window),
	)
}

func (t *Tracker) of(now time.Time, n Name) *series {
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
	t.series.Max = cmp.Or(t.Series, DefaultSeries)
	t.series.Age = cmp.Or(t.Age, DefaultAge)
	t.Factor = cmp.Or(t.Factor, DefaultFactor)
	t.Trend = cmp.Or(t.Trend, DefaultTrend)
}
