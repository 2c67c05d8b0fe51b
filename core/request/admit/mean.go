package admit

// smoothing is the weight of a new sample once a mean has many.
const smoothing = 0.05

// mean is a moving mean: of all samples while they are few, so that the first
// one does not count for long, and then of the later ones mostly.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(sample float64) {
	m.n++
	m.value += max(smoothing, 1/float64(m.n)) * (sample - m.value)
}
