package admit

import (
	"slices"
	"time"
)

// Bounds of a window: the most samples kept, and the fewest that give a median.
const (
	maxWindowSamples = 256
	minMedianSamples = 8
)

// window holds the samples since the last adjustment, the latest maxWindowSamples of
// them.
type window struct {
	samples []time.Duration
	next    int
}

func (w *window) add(d time.Duration) {
	if len(w.samples) < maxWindowSamples {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % maxWindowSamples
}

func (w *window) median() (time.Duration, bool) {
	if len(w.samples) < minMedianSamples {
		return 0, false
	}
	sorted := slices.Clone(w.samples)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], true
}

func (w *window) reset() {
	w.samples = w.samples[:0]
	w.next = 0
}
