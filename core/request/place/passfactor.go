package place

import "time"

// Parameters of the learnt pass factor.
const (
	// passQuantile is the share of first answers that should come within the estimated
	// time. The tests count a late answer as a quarter of one on time
	// (simulation_test.go). A higher share makes fewer answers late, but leaves more
	// slots unused, and each hundredth of the slots that is unused costs about a
	// hundredth of the answers.
	passQuantile = 0.8
	// passFactorStep scales the change of the factor for one answer.
	passFactorStep = 0.05
	// minPassFactor and maxPassFactor bound the factor.
	minPassFactor = 0.5
	maxPassFactor = 4
)

// passFactor is the ratio of the observed to the computed pass delay before a first
// answer. Under load an engine reads new prompts within each pass, so that a pass takes
// up to twice as long as its answers alone need. How much depends on the load, the
// engines and what other entries send. The factor is learnt as the passQuantile
// quantile of the observed ratios.
type passFactor struct {
	value float64
}

func (s *passFactor) observe(ratio float64) {
	if s.value == 0 {
		s.value = 1
	}
	if ratio > s.value {
		s.value += passFactorStep * passQuantile
	} else {
		s.value -= passFactorStep * (1 - passQuantile)
	}
	s.value = min(max(s.value, minPassFactor), maxPassFactor)
}

func (s *service) scalePassDelay(d time.Duration) time.Duration {
	if s.passFactor.value == 0 {
		return d
	}
	return time.Duration(float64(d) * s.passFactor.value)
}
