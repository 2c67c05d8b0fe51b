package drift

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of a latency window in its unit, which is a thousandth of a
// millisecond.
const (
	latencyUnit   = 1000
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 2
	percentile    = 95
)

// trendParts is the part of the kept windows, one in trendParts, that is
// taken from each end for the trend.
const trendParts = 4

// series is one measure on all scales.
type series struct {
	scales []*windows
}

func newSeries(k Kind, scales []Scale, now time.Time) *series {
	s := &series{}
	for _, sc := range scales {
		s.scales = append(s.scales, &windows{scale: sc, begun: now, current: newSum(k)})
	}
	return s
}

func (s *series) add(now time.Time, v float64) {
	for _, w := range s.scales {
		w.roll(now)
		w.current.add(v)
	}
}

// windows are the finished windows of one scale, the oldest first, and the
// current one.
type windows struct {
	scale    Scale
	begun    time.Time
	current  sum
	finished []float64
}

// roll finishes windows that have ended. A window without samples, as a
// process that was paused leaves it, is left out: it is no sign of health.
func (w *windows) roll(now time.Time) {
	passed := now.Sub(w.begun) / w.scale.Window
	if passed <= 0 {
		return
	}
	w.begun = w.begun.Add(passed * w.scale.Window)
	v, ok := w.current.finish()
	if !ok {
		return
	}
	w.finished = append(w.finished, v)
	if len(w.finished) > w.scale.Keep {
		w.finished = slices.Delete(w.finished, 0, len(w.finished)-w.scale.Keep)
	}
}

func (w *windows) line(n Name, factor, trend float64) (Line, bool) {
	last := len(w.finished) - 1
	if last < 1 {
		return Line{}, false
	}
	l := Line{Name: n, Window: w.scale.Window, Windows: len(w.finished), Value: w.finished[last]}
	l.Usual = median(w.finished[:last])
	oldest, newest := w.ends()
	l.Trend = ratio(newest, oldest)
	l.Declined = rose(l.Value, l.Usual, factor) || rose(newest, oldest, trend)
	return l, true
}

// leastRise is the rise, in a measure's own unit, below which nothing counts
// as declined: a table that holds one entry where it held none is not twice
// as large in any sense that matters.
const leastRise = 2

func rose(v, from, factor float64) bool { return v > factor*from && v-from >= leastRise }

// ratio is v over from, and 1 where there is nothing to compare.
func ratio(v, from float64) float64 {
	if from == 0 {
		return 1 + v
	}
	return v / from
}

// ends returns the averages of the oldest and of the newest quarter of what is
// kept. Compared, they show a rise too small to show from one window to the
// next.
func (w *windows) ends() (oldest, newest float64) {
	n := len(w.finished) / trendParts
	if n == 0 {
		return 0, 0
	}
	return average(w.finished[:n]), average(w.finished[len(w.finished)-n:])
}

// average is used for the ends of the trend, since the median of a few
// windows that hold more nights than days would take a day for a decline.
func average(vs []float64) float64 {
	sum := 0.0
	for _, v := range vs {
		sum += v
	}
	return sum / float64(len(vs))
}

func median(vs []float64) float64 {
	sorted := slices.Sorted(slices.Values(vs))
	return sorted[len(sorted)/2]
}

// sum is the current window of a measure.
type sum interface {
	add(v float64)
	// finish returns the window's value, if it has one, and begins anew.
	finish() (float64, bool)
}

func newSum(k Kind) sum {
	switch k {
	case KindLatency:
		return &latencies{h: hdrhistogram.New(1, latencyMax, latencyDigits)}
	case KindCount:
		return &total{}
	default:
		return &largest{}
	}
}

type latencies struct {
	h *hdrhistogram.Histogram
}

func (l *latencies) add(v float64) {
	_ = l.h.RecordValue(min(int64(v*latencyUnit), latencyMax))
}

func (l *latencies) finish() (float64, bool) {
	if l.h.TotalCount() == 0 {
		return 0, false
	}
	v := float64(l.h.ValueAtQuantile(percentile)) / latencyUnit
	l.h.Reset()
	return v, true
}

// total counts; no increment in a window is a count of zero.
type total struct {
	n float64
}

func (t *total) add(v float64) { t.n += v }

func (t *total) finish() (float64, bool) {
	n := t.n
	t.n = 0
	return n, true
}

type largest struct {
	v    float64
	some bool
}

func (l *largest) add(v float64) {
	l.v = max(l.v, v)
	l.some = true
}

func (l *largest) finish() (float64, bool) {
	v, ok := l.v, l.some
	*l = largest{}
	return v, ok
}
