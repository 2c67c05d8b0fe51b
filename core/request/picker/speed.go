package picker

import (
	"slices"
	"time"

	"hawthornferry/core/process/ttlmap"
)

// Parameters for detecting slow targets.
const (
	// minSampleWeight is the least weight of a new sample in the moving average.
	minSampleWeight = 0.1
	// minIntervalSamples is the fewest samples for which a target's average is used.
	minIntervalSamples = 8
	// slowFactor is the multiple of the median time between tokens above which a
	// target is slow.
	slowFactor = 2
	// probeInterval is the least time between two probes of a slow target.
	probeInterval = 10 * time.Second
)

// intervalTracker tracks the mean time between tokens of each target, to detect slow
// ones. A slow target still reports free capacity; if it weren't excluded it would
// get nearly as many calls as the others, and a share of the calls would be slow.
//
// The time to the first byte isn't suitable as a measure: it depends more on prompts,
// caches and queues than on the target, and would make busy targets look slow.
type intervalTracker struct {
	table ttlmap.Map[string, intervalStats]
}

// intervalStats holds a target's mean time between tokens: mean is the moving
// average in seconds, over the given number of samples. lastProbe is when the target
// was last let in although it is slow.
type intervalStats struct {
	mean      float64
	samples   int
	lastProbe time.Time
}

// observe adds a sample to the target's moving average. The first samples are
// averaged with equal weight.
func (s *intervalTracker) observe(now time.Time, target string, interval time.Duration) {
	v, _ := s.table.Get(now, target)
	v.samples++
	weight := max(minSampleWeight, 1/float64(v.samples))
	// A slow target gets only a few probes. A sample that is much faster than the
	// average gets a large weight, so that a recovered target is not excluded for
	// long.
	if interval.Seconds()*slowFactor < v.mean {
		weight = 1.0 / 2
	}
	v.mean += weight * (interval.Seconds() - v.mean)
	s.table.Put(now, target, v)
}

// splitSlow splits targets into those of usual speed and those that are slow compared
// with the median of all. A slow target at which this entry has no call in flight
// counts as usual once per probeInterval, so that its recovery is noticed.
func (s *intervalTracker) splitSlow(now time.Time, targets []eligibleTarget) (usual, slow []eligibleTarget) {
	known := make([]float64, 0, len(targets))
	for _, t := range targets {
		if v, ok := s.table.Get(now, t.vm.Name); ok && v.samples >= minIntervalSamples {
			known = append(known, v.mean)
		}
	}
	if len(known) < 2 {
		return targets, nil
	}
	slices.Sort(known)
	bound := slowFactor * known[(len(known)-1)/2]
	for _, t := range targets {
		v, ok := s.table.Get(now, t.vm.Name)
		if !ok || v.samples < minIntervalSamples || v.mean <= bound {
			usual = append(usual, t)
			continue
		}
		if t.inFlight == 0 && now.Sub(v.lastProbe) >= probeInterval {
			v.lastProbe = now
			s.table.Put(now, t.vm.Name, v)
			usual = append(usual, t)
			continue
		}
		slow = append(slow, t)
	}
	return usual, slow
}
