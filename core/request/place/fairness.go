package place

import "slices"

// Parameters of fairness between sizes of prompts.
const (
	// minPlacementRatio is the lowest placement rate of a size class, as a share of the
	// rate of its whole kind, that does not count as underserved. Operators regard a
	// class as left out below a half.
	minPlacementRatio = 0.8
	// kindWindow and sizeWindow are the numbers of requests over which the placement
	// rates of a kind and of a size class are averaged, with exponential decay.
	// sizeWindow is small because an entry sees a request of the largest tenth only
	// every few seconds.
	kindWindow = 100
	sizeWindow = 10
	// maxPromptSamples is how many recent prompt lengths of a kind are kept to derive
	// the bounds of its size classes, thresholdInterval after how many new ones the
	// bounds are computed again, and minPromptSamples how many are needed at least.
	maxPromptSamples  = 128
	thresholdInterval = 16
	minPromptSamples  = 32
	// largestFactor is the multiple of the usual prompt length above which a prompt
	// counts as sizeLargest until a kind has enough samples. For prompts whose standard
	// deviation equals their mean, about a fifth are above it.
	largestFactor = 1.6
)

// sizeClass ranks a prompt's length among the prompts of its kind.
type sizeClass int

// The size classes: sizeLargest is the largest tenth of a kind's prompts, sizeLarge the
// fifth below it, sizeUsual all others. sizeClasses is their number.
const (
	sizeUsual sizeClass = iota
	sizeLarge
	sizeLargest
	sizeClasses
)

// largeQuantile and largestQuantile are the quantiles of a kind's prompt lengths at
// which sizeLarge and sizeLargest begin.
const (
	largeQuantile   = 0.7
	largestQuantile = 0.9
)

// kind measures how often the requests of one kind are placed, by size class. When
// engines are full, a small request fits into any gap, while a large one would wait for
// a gap that never comes.
type kind struct {
	prompts []int
	seen    int
	// largeFrom and largestFrom are the prompt lengths at which these classes begin, 0
	// until there are enough samples.
	largeFrom, largestFrom int
	rate                   placementRate
	rateBySize             [sizeClasses]placementRate
}

// placementRate is an exponentially decaying mean of whether requests were placed.
type placementRate struct {
	placed     float64
	hasSamples bool
}

// observe adds a sample. The rate starts at 1, so that a class is not underserved
// before its first refusals.
func (c *placementRate) observe(placed bool, window float64) {
	v := 0.0
	if placed {
		v = 1
	}
	if !c.hasSamples {
		c.placed, c.hasSamples = 1, true
	}
	c.placed += (v - c.placed) / window
}

// addPrompt records a prompt length and updates the bounds of the size classes at
// intervals.
func (k *kind) addPrompt(prompt int) {
	if len(k.prompts) < maxPromptSamples {
		k.prompts = append(k.prompts, prompt)
	} else {
		k.prompts[k.seen%maxPromptSamples] = prompt
	}
	k.seen++
	if len(k.prompts) < minPromptSamples || k.seen%thresholdInterval != 0 {
		return
	}
	ordered := slices.Sorted(slices.Values(k.prompts))
	k.largeFrom = ordered[int(largeQuantile*float64(len(ordered)))]
	k.largestFrom = ordered[int(largestQuantile*float64(len(ordered)))]
}

// classify returns the size class of a prompt. usual is the service's usual prompt
// length.
func (k *kind) classify(prompt, usual int) sizeClass {
	switch {
	case k.largestFrom == 0 && float64(prompt) > largestFactor*float64(usual):
		return sizeLargest
	case k.largestFrom == 0:
		return sizeUsual
	case prompt >= k.largestFrom:
		return sizeLargest
	case prompt >= k.largeFrom:
		return sizeLarge
	default:
		return sizeUsual
	}
}

func (k *kind) observe(s sizeClass, placed bool) {
	k.rate.observe(placed, kindWindow)
	k.rateBySize[s].observe(placed, sizeWindow)
}

// underserved reports whether a size class is placed clearly less often than its kind.
func (k *kind) underserved(s sizeClass) bool {
	c := k.rateBySize[s]
	return s > sizeUsual && c.hasSamples && c.placed < minPlacementRatio*k.rate.placed
}

// kindOf returns the state of the request's kind, created on first use.
func (s *service) kindOf(w *Request) *kind {
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

// sizeClassOf returns the request's size class, and false if the service declares no
// usual prompt to derive it from.
func (s *service) sizeClassOf(w *Request) (sizeClass, bool) {
	if s.engine == nil || s.engine.MeanPromptTokens <= 0 {
		return sizeUsual, false
	}
	return s.kindOf(w).classify(w.PromptTokens, s.engine.MeanPromptTokens), true
}

// recordPlacement updates the placement rates with whether the request was placed.
func (s *service) recordPlacement(w *Request, placed bool) {
	if z, ok := s.sizeClassOf(w); ok {
		s.kindOf(w).observe(z, placed)
	}
}

// underserved reports whether the request's size class is underserved.
func (s *service) underserved(w *Request) bool {
	z, ok := s.sizeClassOf(w)
	return ok && s.kindOf(w).underserved(z)
}

// holdsBackOthers reports whether other requests wait behind w, so that a gap large
// enough for w can form.
func (s *service) holdsBackOthers(w *Request) bool { return s.underserved(w) }

// isHeldBack reports whether a new request must wait because an underserved one waits.
func (s *service) isHeldBack(w *Request) bool {
	if w.Resumed || s.underserved(w) {
		return false
	}
	return slices.ContainsFunc(s.waiting, func(q *waitingRequest) bool { return s.underserved(&q.request) })
}
