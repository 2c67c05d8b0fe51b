package place

// The fairness between sizes.
const (
	// largeFactor is how many usual prompts a large one has: about the largest
	// fifth of prompts that vary as much as their mean.
	largeFactor = 1.6
	// fairShare is the part of the others' chance of a place that large work
	// is to have. Operators count it as left out below a half.
	fairShare = 0.8
	// fairMemory is how many requests the chances are measured over, weighed
	// down exponentially.
	fairMemory = 100
)

// fairness measures how often large and other work finds a place. When engines
// are full, what is small fits into every gap, and what is large would wait for
// one that never comes.
type fairness struct {
	large, other chance
}

// chance is a decaying mean of whether work found a place.
type chance struct {
	placed float64
	known  bool
}

func (c *chance) note(placed bool) {
	v := 0.0
	if placed {
		v = 1
	}
	if !c.known {
		c.placed, c.known = 1, true
	}
	c.placed += (v - c.placed) / fairMemory
}

func (f *fairness) note(large, placed bool) {
	if large {
		f.large.note(placed)
		return
	}
	f.other.note(placed)
}

// behind reports whether large work is being left out.
func (f *fairness) behind() bool {
	return f.large.known && f.other.known && f.large.placed < fairShare*f.other.placed
}

// large reports whether the work has a large prompt.
func (s *service) large(w *Work) bool {
	return s.engine != nil && s.engine.UsualPrompt > 0 && float64(w.Prompt) > largeFactor*float64(s.engine.UsualPrompt)
}

// holdsBack reports whether other work is to wait behind w, so that the gap
// that w needs can come.
func (s *service) holdsBack(w *Work) bool {
	return s.fair.behind() && s.large(w)
}

// heldBack reports whether new work is to wait behind large work.
func (s *service) heldBack(w *Work) bool {
	if w.Begun || s.large(w) || !s.fair.behind() {
		return false
	}
	for _, q := range s.waiting {
		if s.large(&q.work) {
			return true
		}
	}
	return false
}
