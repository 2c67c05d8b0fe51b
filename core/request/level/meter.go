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
	// begin is the time of the first slice. Indexes are counted from there, since the time
	// of day may be set back.
	begin  time.Time
	slices [slices]slice
}

// slice is the work counted in the index-th sliceLength, counted from 1.
type slice struct {
	index int64
	work  Rates
}

// Add counts work of a priority, in engine seconds.
func (m *Meter) Add(now time.Time, k Kind, priority int, work float64) {
	if m.begin.IsZero() {
		m.begin = now
	}
	i := m.index(now)
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

func (m *Meter) index(now time.Time) int64 {
	return max(int64(now.Sub(m.begin)/sliceLength), 0) + 1
}

// Rates returns the work of the last second.
func (m *Meter) Rates(now time.Time) Rates {
	i := m.index(now)
	var sum Rates
	for k := range m.slices {
		if s := &m.slices[k]; s.index > max(i-slices, 0) && s.index <= i {
			sum.Add(&s.work)
		}
	}
	return sum
}

// Clamp returns the valid priority that is nearest to the given one.
func Clamp(priority int) int { return min(max(priority, 0), Priorities-1) }
