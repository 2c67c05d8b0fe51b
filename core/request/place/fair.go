package place

import "slices"

// The fairness between sizes.
const (
	// fairShare is the part of its kind's chance of a place that a size is to have.
	// Operators count it as left out below a half.
	fairShare = 0.8
	// kindMemory and sizeMemory are how many requests the chances of a kind and of a
	// size are measured over, weighed down exponentially: of the largest tenth an
	// entry sees one in some seconds.
	kindMemory = 100
	sizeMemory = 10
	// promptsKept is how many prompts of a kind its sizes are told by, cutsEvery
	// after how many new ones they are told anew, and leastPrompts how many there
	// must be.
	promptsKept  = 128
	cutsEvery    = 16
	leastPrompts = 32
	// largeFactor is how many usual prompts a large one has while a kind's own
	// prompts are not known: about the largest fifth of prompts that vary as much as
	// their mean.
	largeFactor = 1.6
)

// size is the place of a prompt among those of its kind.
type size int

// The sizes: the largest tenth, the fifth below it, and all others.
const (
	sizeUsual size = iota
	sizeUpper
	sizeTop
	sizes
)

// upperShare and topShare are the parts of a kind's prompts below the sizes.
const (
	upperShare = 0.7
	topShare   = 0.9
)

// kind measures how often the requests of one kind find a place, by size. When
// engines are full, what is small fits into every gap, and what is large would wait
// for one that never comes.
type kind struct {
	prompts []int
	seen    int
	// upper and top are the prompts from which a request is of those sizes.
	upper, top int
	all        chance
	bySize     [sizes]chance
}

// chance is a decaying mean of whether work found a place.
type chance struct {
	placed float64
	known  bool
}

func (c *chance) note(placed bool, memory float64) {
	v := 0.0
	if placed {
		v = 1
	}
	if !c.known {
		c.placed, c.known = 1, true
	}
	c.placed += (v - c.placed) / memory
}

// learn takes a prompt of the kind.
func (k *kind) learn(prompt int) {
	if len(k.prompts) < promptsKept {
		k.prompts = append(k.prompts, prompt)
	} else {
		k.prompts[k.seen%promptsKept] = prompt
	}
	k.seen++
	if len(k.prompts) < leastPrompts || k.seen%cutsEvery != 0 {
		return
	}
	ordered := slices.Sorted(slices.Values(k.prompts))
	k.upper = ordered[int(upperShare*float64(len(ordered)))]
	k.top = ordered[int(topShare*float64(len(ordered)))]
}

// sizeOf is the size of a prompt; usual is the service's usual one.
func (k *kind) sizeOf(prompt, usual int) size {
	switch {
	case k.top == 0 && float64(prompt) > largeFactor*float64(usual):
		return sizeTop
	case k.top == 0:
		return sizeUsual
	case prompt >= k.top:
		return sizeTop
	case prompt >= k.upper:
		return sizeUpper
	default:
		return sizeUsual
	}
}

func (k *kind) note(s size, placed bool) {
	k.all.note(placed, kindMemory)
	k.bySize[s].note(placed, sizeMemory)
}

// behind reports whether a size is being left out.
func (k *kind) behind(s size) bool {
	c := k.bySize[s]
	return s > sizeUsual && c.known && c.placed < fairShare*k.all.placed
}

// kindOf returns the kind of some work.
func (s *service) kindOf(w *Work) *kind {
	k := s.kinds[w.Kind]
	if k == nil {
		k = &kind{}
		if s.kinds == nil {
			s.kinds = map[string]*kind{}
		}
		s.kinds[w.Kind] = k
	}
	return k
}

// sized reports whether the service's work has sizes, and which the work is of.
func (s *service) sized(w *Work) (size, bool) {
	if s.engine == nil || s.engine.UsualPrompt <= 0 {
		return sizeUsual, false
	}
	return s.kindOf(w).sizeOf(w.Prompt, s.engine.UsualPrompt), true
}

// noteChance takes whether work found a place.
func (s *service) noteChance(w *Work, placed bool) {
	if z, ok := s.sized(w); ok {
		s.kindOf(w).note(z, placed)
	}
}

// behind reports whether work of this size is being left out.
func (s *service) behind(w *Work) bool {
	z, ok := s.sized(w)
	return ok && s.kindOf(w).behind(z)
}

// holdsBack reports whether other work is to wait behind w, so that the gap
// that w needs can come.
func (s *service) holdsBack(w *Work) bool { return s.behind(w) }

// heldBack reports whether new work is to wait behind work that is left out.
func (s *service) heldBack(w *Work) bool {
	if w.Begun || s.behind(w) {
		return false
	}
	return slices.ContainsFunc(s.waiting, func(q *wait) bool { return s.behind(&q.work) })
}
