package admit

import (
	"slices"
	"time"
)

// Bounds of a window: the samples kept, and the fewest that give a median.
const (
	windowMax   = 256
	windowLeast = 8
)

// window holds the samples since the last adjustment.
type window struct {
	samples []time.Duration
	next    int
}

func (w *window) add(d time.Duration) {
	if len(w.samples) < windowMax {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % windowMax
}

func (w *window) median() (time.Duration, bool) {
	if len(w.samples) < windowLeast {
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
