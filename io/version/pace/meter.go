package pace

import (
	"math"
	"time"
)

// meterTimeConstant is the time in which the weight of older traffic falls by
// a factor of e.
const meterTimeConstant = 2 * time.Second

// rateMeter measures a rate as an exponentially decaying average.
type rateMeter struct {
	updatedAt time.Time
	rateThen  float64 // bytes per second at updatedAt
}

func (m *rateMeter) add(now time.Time, n int) {
	m.rateThen = m.rate(now) + float64(n)/meterTimeConstant.Seconds()
	m.updatedAt = now
}

func (m *rateMeter) rate(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	age := now.Sub(m.updatedAt).Seconds() / meterTimeConstant.Seconds()
	return m.rateThen * math.Exp(-max(age, 0))
}
