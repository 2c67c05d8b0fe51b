package drift

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Settings of the latency histograms. They count in microseconds, that is
// latencyUnitsPerMS to a millisecond; longer latencies than maxLatency count as
// maxLatency.
const (
	latencyUnitsPerMS        = 1000
	maxLatency               = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits = 2
	latencyPercentile        = 95
)

// trendParts says how many windows the trend compares: one in trendParts of the kept
// windows at each end.
const trendParts = 4

// series is one measure with its windows on all scales.
type series struct {
	histories []*windowHistory
}

func newSeries(k Kind, scales []Scale, now time.Time) *series {
	s := &series{}
	for _, sc := range scales {
		s.histories = append(s.histories, &windowHistory{scale: sc, start: now, current: newAccumulator(k)})
	}
	return s
}

func (s *series) add(now time.Time, v float64) {
	for _, w := range s.histories {
		w.closeEnded(now)
		w.current.add(v)
	}
}

// windowHistory holds the values of the finished windows of one scale, oldest first,
// and the current window.
type windowHistory struct {
	scale    Scale
	start    time.Time
	current  accumulator
	finished []float64
}

// closeEnded finishes the current window if it has ended. A window without samples,
// such as one during which the process was paused, is left out, since it says
// nothing about the measure.
func (w *windowHistory) closeEnded(now time.Time) {
	passed := now.Sub(w.start) / w.scale.Window
	if passed <= 0 {
		return
	}
	w.start = w.start.Add(passed * w.scale.Window)
	v, ok := w.current.finish()
	if !ok {
		return
	}
	w.finished = append(w.finished, v)
	if len(w.finished) > w.scale.Keep {
		w.finished = slices.Delete(w.finished, 0, len(w.finished)-w.scale.Keep)
	}
}

// result returns the result for the scale, or false with fewer than two finished
// windows.
func (w *windowHistory) result(n Name, factor, trend float64) (Result, bool) {
	last := len(w.finished) - 1
	if last < 1 {
		return Result{}, false
	}
	r := Result{Name: n, Window: w.scale.Window, Windows: len(w.finished), Value: w.finished[last]}
	r.Median = median(w.finished[:last])
	oldest, newest := w.trendEnds()
	r.Trend = ratio(newest, oldest)
	r.Declined = hasRisen(r.Value, r.Median, factor) || hasRisen(newest, oldest, trend)
	return r, true
}

// minRise is the smallest rise, in the unit of the measure, that counts as a decline.
// Without it, a table that grows from no entry to one would be reported, since any
// value exceeds a multiple of 0.
const minRise = 2

func hasRisen(v, from, factor float64) bool { return v > factor*from && v-from >= minRise }

// ratio returns v divided by from. If from is 0, it returns 1 + v, so that the result
// is 1 if both are 0 and above 1 otherwise.
func ratio(v, from float64) float64 {
	if from == 0 {
		return 1 + v
	}
	return v / from
}

// trendEnds returns the averages of the oldest and of the newest quarter of the kept
// windows, or zeros if there are too few windows. Comparing them reveals a rise that
// is too small to notice from one window to the next.
func (w *windowHistory) trendEnds() (oldest, newest float64) {
	n := len(w.finished) / trendParts
	if n == 0 {
		return 0, 0
	}
	return average(w.finished[:n]), average(w.finished[len(w.finished)-n:])
}

// average is used for the trend instead of the median. Each end has only a few
// windows; if one has more windows of the night and the other more of the day, their
// medians would differ by the daily variation and it would be taken for a decline.
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

// accumulator aggregates the samples of the current window of a measure.
type accumulator interface {
	add(v float64)
	// finish returns the value of the window, if it has one, and resets the
	// accumulator for the next window.
	finish() (float64, bool)
}

func newAccumulator(k Kind) accumulator {
	switch k {
	case KindLatency:
		return &percentileAccumulator{h: hdrhistogram.New(1, maxLatency, latencySignificantDigits)}
	case KindCount:
		return &sumAccumulator{}
	default:
		return &maxAccumulator{}
	}
}

type percentileAccumulator struct {
	h *hdrhistogram.Histogram
}

func (l *percentileAccumulator) add(v float64) {
	_ = l.h.RecordValue(min(int64(v*latencyUnitsPerMS), maxLatency))
}

func (l *percentileAccumulator) finish() (float64, bool) {
	if l.h.TotalCount() == 0 {
		return 0, false
	}
	v := float64(l.h.ValueAtQuantile(latencyPercentile)) / latencyUnitsPerMS
	l.h.Reset()
	return v, true
}

// sumAccumulator adds up increments. A window without increments has the value 0,
// unlike with the other accumulators, where it has none.
type sumAccumulator struct {
	n float64
}

func (t *sumAccumulator) add(v float64) { t.n += v }

func (t *sumAccumulator) finish() (float64, bool) {
	n := t.n
	t.n = 0
	return n, true
}

type maxAccumulator struct {
	v         float64
	hasSample bool
}

func (l *maxAccumulator) add(v float64) {
	l.v = max(l.v, v)
	l.hasSample = true
}

func (l *maxAccumulator) finish() (float64, bool) {
	v, ok := l.v, l.hasSample
	*l = maxAccumulator{}
	return v, ok
}
