package drift

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1_000_000, 0)

// recordWeek records one sample a minute for a week and returns the results. value
// gives the sample at a time since the start.
func recordWeek(record func(*Tracker, time.Time, float64), value func(time.Duration) float64) []Result {
	t := &Tracker{}
	const week = 7 * 24 * time.Hour
	for d := time.Duration(0); d <= week; d += time.Minute {
		record(t, start.Add(d), value(d))
	}
	return t.Results(start.Add(week))
}

func latency(t *Tracker, now time.Time, v float64) {
	t.AddLatency(now, "firstByte", time.Duration(v*float64(time.Millisecond)))
}

func size(t *Tracker, now time.Time, v float64) { t.AddSize(now, "table", int(v)) }

func count(t *Tracker, now time.Time, v float64) { t.AddCount(now, "repeats", int(v)) }

// A degradation that no single window shows must be reported: 5 % a day in one
// case, a few entries an hour in another. A measure that rises and falls with the
// time of day must not be reported.
func TestDeclineIsDetected(t *testing.T) {
	days := func(d time.Duration) float64 { return d.Hours() / 24 }
	tests := []struct {
		name  string
		add   func(*Tracker, time.Time, float64)
		value func(time.Duration) float64
		want  []bool
	}{
		{"steady latency", latency, func(time.Duration) float64 { return 100 }, []bool{false, false}},
		{"later each day", latency, func(d time.Duration) float64 { return 100 * (1 + 0.05*days(d)) }, []bool{false, true}},
		{"sudden", latency, func(d time.Duration) float64 {
			if d > 7*24*time.Hour-10*time.Minute {
				return 300
			}
			return 100
		}, []bool{true, false}},
		{"by day", latency, func(d time.Duration) float64 {
			if int(d.Hours())%24 < 12 {
				return 100
			}
			return 130
		}, []bool{false, false}},
		{"table that leaks", size, func(d time.Duration) float64 { return 100 + 3*d.Hours() }, []bool{false, true}},
		{"repeats begin", count, func(d time.Duration) float64 {
			if days(d) > 6 {
				return 1
			}
			return 0
		}, []bool{false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []bool
			for _, l := range recordWeek(tt.add, tt.value) {
				got = append(got, l.Declined)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("declined on the scales (-want +got):\n%s", diff)
			}
		})
	}
}

// A process that was paused for hours has windows without samples. They must be
// left out: counted as zero they would make the next window look slow.
func TestPauseAddsNoWindows(t *testing.T) {
	tr := &Tracker{Scales: []Scale{{Window: time.Minute, Keep: 10}}}
	now := start
	for range 20 {
		now = now.Add(30 * time.Second)
		tr.AddLatency(now, "x", time.Second)
	}
	now = now.Add(5 * time.Hour)
	for range 4 {
		now = now.Add(30 * time.Second)
		tr.AddLatency(now, "x", time.Second)
	}
	for _, l := range tr.Results(now) {
		if l.Declined || l.Median < 900 {
			t.Errorf("line after a pause: %+v", l)
		}
	}
}

// Measures of services that no longer exist must not accumulate.
func TestSeriesAreBounded(t *testing.T) {
	tr := &Tracker{MaxSeries: 16}
	now := start
	for i := range 1000 {
		now = now.Add(time.Minute)
		tr.AddCount(now, string(rune('a'+i)), 1)
	}
	if tr.Len() > 16 {
		t.Errorf("%d series, want at most 16", tr.Len())
	}
}
