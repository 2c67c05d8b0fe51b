package route

import (
	"slices"
	"time"

	"hawthornferry/core/process/aged"
)

// How the speed of targets is learnt: the weight of a new sample, the fewest
// samples that count, how many times the usual time between tokens a target
// must take to count as slow, and how often a slow one is tried.
const (
	speedSmoothing = 0.1
	speedLeast     = 8
	slowFrom       = 2
	probeEvery     = 10 * time.Second
)

// speeds remembers how long targets take from token to token. The time to the
// first byte would not do: it tells of prompts, caches and queues more than of
// the target, and busy targets were taken for slow ones. A target that is slow still reports free places; without this it gets nearly as many calls as
// the others, and one call in so many waits long.
type speeds struct {
	table aged.Table[string, speed]
}

type speed struct {
	pace   float64
	n      int
	probed time.Time
}

func (s *speeds) observe(now time.Time, target string, pace time.Duration) {
	v, _ := s.table.Get(now, target)
	v.n++
	weight := max(speedSmoothing, 1/float64(v.n))
	// A target that has become quick again must not be kept out by what it
	// was: a few probes are all that it gets.
	if pace.Seconds()*slowFrom < v.pace {
		weight = 1.0 / 2
	}
	v.pace += weight * (pace.Seconds() - v.pace)
	s.table.Put(now, target, v)
}

// split parts ws into targets of usual speed and those that are slow beside
// the median of all. A slow one without a call of this entry is let in now
// and then, for one call, so that its recovery is seen.
func (s *speeds) split(now time.Time, ws []weighed) (usual, slow []weighed) {
	known := make([]float64, 0, len(ws))
	for _, w := range ws {
		if v, ok := s.table.Get(now, w.vm.Name); ok && v.n >= speedLeast {
			known = append(known, v.pace)
		}
	}
	if len(known) < 2 {
		return ws, nil
	}
	slices.Sort(known)
	bound := slowFrom * known[(len(known)-1)/2]
	for _, w := range ws {
		v, ok := s.table.Get(now, w.vm.Name)
		if !ok || v.n < speedLeast || v.pace <= bound {
			usual = append(usual, w)
			continue
		}
		if w.inFlight == 0 && now.Sub(v.probed) >= probeEvery {
			v.probed = now
			s.table.Put(now, w.vm.Name, v)
			usual = append(usual, w)
			continue
		}
		slow = append(slow, w)
	}
	return usual, slow
}
