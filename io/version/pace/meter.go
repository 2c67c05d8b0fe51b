package pace

import (
	"math"
	"time"
)

// meterSpan is the time constant of a meter.
const meterSpan = 2 * time.Second

// meter is a decaying mean rate.
type meter struct {
	at    time.Time
	value float64 // bytes a second at time at
}

func (m *meter) add(now time.Time, n int) {
	m.value = m.rate(now) + float64(n)/meterSpan.Seconds()
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	age := now.Sub(m.at).Seconds() / meterSpan.Seconds()
	return m.value * math.Exp(-max(age, 0))
}
