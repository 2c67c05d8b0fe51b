package place

import "time"

// The learning of a stretch.
const (
	// onTimeGoal is the part of the first answers that come within what was
	// foreseen. Those that do not are late, and earn a quarter; each place in
	// hundred kept free for it costs about a hundredth.
	onTimeGoal = 0.8
	// stretchStep is how far one answer moves the stretch.
	stretchStep = 0.05
	// leastStretch and mostStretch bound it.
	leastStretch = 0.5
	mostStretch  = 4
)

// stretch is how many times longer than worked out the passes of the engines
// take before a first answer. Under load an engine reads new prompts within
// each pass, so that a pass takes up to twice as long as its writers alone need;
// how much depends on the load, the engines and what other entries send. It is
// learnt as the quantile onTimeGoal of what was observed.
type stretch struct {
	value float64
}

func (s *stretch) observe(ratio float64) {
	if s.value == 0 {
		s.value = 1
	}
	if ratio > s.value {
		s.value += stretchStep * onTimeGoal
	} else {
		s.value -= stretchStep * (1 - onTimeGoal)
	}
	s.value = min(max(s.value, leastStretch), mostStretch)
}

func (s *service) stretched(d time.Duration) time.Duration {
	if s.stretch.value == 0 {
		return d
	}
	return time.Duration(float64(d) * s.stretch.value)
}
