package level

import "time"

// The sliding second over which a Meter measures is kept as slices, so that its state
// does not grow with the load.
const (
	sliceLength = 50 * time.Millisecond
	slices      = int64(time.Second / sliceLength)
)

// Kind says what happened to the work that a Meter counts.
type Kind string

// The kinds of work, as in Rates.
const (
	Offered Kind = "offered"
	Placed  Kind = "placed"
	Crowded Kind = "crowded"
)

// Meter measures the Rates of one entry and service. The zero value is ready. It is not
// safe for concurrent use.
type Meter struct {
	slices [slices]slice
}

// slice is the work counted in the index-th sliceLength since the Unix epoch.
type slice struct {
	index int64
	work  Rates
}

// Add counts work of a priority, in engine seconds.
func (m *Meter) Add(now time.Time, k Kind, priority int, work float64) {
	i := now.UnixNano() / int64(sliceLength)
	s := &m.slices[i%slices]
	if s.index != i {
		*s = slice{index: i}
	}
	switch k {
	case Offered:
		s.work.Offered[Clamp(priority)] += work
	case Placed:
		s.work.Placed[Clamp(priority)] += work
	case Crowded:
		s.work.Crowded[Clamp(priority)] += work
	}
}

// Rates returns the work of the last second.
func (m *Meter) Rates(now time.Time) Rates {
	i := now.UnixNano() / int64(sliceLength)
	var sum Rates
	for k := range m.slices {
		if s := &m.slices[k]; s.index > i-slices && s.index <= i {
			sum.Add(&s.work)
		}
	}
	return sum
}

// Clamp returns the valid priority that is nearest to the given one.
func Clamp(priority int) int { return min(max(priority, 0), Priorities-1) }
