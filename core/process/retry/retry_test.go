package retry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestBackoffGrowsUpToMax(t *testing.T) {
	b := Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	var got []time.Duration
	for range 6 {
		got = append(got, b.Next(0))
	}
	b.Reset()
	got = append(got, b.Next(0))
	ms := time.Millisecond
	want := []time.Duration{50 * ms, 100 * ms, 200 * ms, 400 * ms, 500 * ms, 500 * ms, 50 * ms}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("least pauses (-want +got):\n%s", diff)
	}
}

func TestBackoffStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Backoff{
			Base: time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "base")),
			Max:  time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "max")),
		}
		for range rapid.IntRange(1, 80).Draw(t, "failures") {
			d := b.Next(rapid.Float64Range(0, 0.999).Draw(t, "random"))
			if d < 0 || d > b.Max {
				t.Fatalf("pause %v, want 0 to %v", d, b.Max)
			}
		}
	})
}
