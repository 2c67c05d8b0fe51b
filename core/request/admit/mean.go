package admit

// minSampleWeight is the weight of a new sample once there are many. A larger one
// follows single calls, a smaller one notices a change later.
const minSampleWeight = 0.05

// mean is a moving average. It weights all samples equally while they are few, so that
// the first one does not dominate for long, and then decays exponentially.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(sample float64) {
	m.n++
	m.value += max(minSampleWeight, 1/float64(m.n)) * (sample - m.value)
}
