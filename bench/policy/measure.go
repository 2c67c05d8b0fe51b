package main

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornferry/core/request/picker"
)

// Lengths of a run: what arrives before warm has passed is not counted.
const (
	warm     = 30 * time.Second
	measured = 90 * time.Second
	settle   = 30 * time.Second
)

// Bounds of the histogram of times to the first byte.
const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// result is what one run gave. Goodput counts calls that ended whole and had
// their first byte within their deadline.
type result struct {
	policy  string
	load    float64
	slow    bool
	burst   bool
	offered float64
	goodput float64
	refused float64
	late    float64
	p50     time.Duration
	p99     time.Duration
	hits    float64
	// small is the share of the small customers' calls that were good.
	small float64
}

// scenario is one run.
type scenario struct {
	policy named
	rate   float64
	load   float64
	slow   bool
	burst  bool
	seed   uint64
}

// A burst run has burstFrom of the load until warm has passed, and counts
// burstMeasured from there.
const (
	burstFrom     = 0.1
	burstMeasured = 5 * time.Second
)

// until is the length of what is counted.
func (sc scenario) until() time.Duration {
	if sc.burst {
		return warm + burstMeasured
	}
	return warm + measured
}

// gap is the mean time between arrivals at a time since the start.
func (sc scenario) gap(at time.Duration) float64 {
	if sc.burst && at < warm {
		return 1 / (burstFrom * sc.rate)
	}
	return 1 / sc.rate
}

// slowFactor is how many times longer the steps of the slow engine take.
const slowFactor = 4

func (sc scenario) run() result {
	s := newSimulation(sc.seed, sc.policy.make)
	if sc.slow {
		s.engines[0].slow = slowFactor
	}
	w := newWork(sc.seed)
	gaps := rand.New(rand.NewPCG(sc.seed, 2))
	var calls []*call
	var arrive func()
	arrive = func() {
		c := &call{arrival: w.next(s.now.Sub(epoch)), s: s, entry: s.entries[gaps.IntN(zones)]}
		calls = append(calls, c)
		c.entry.arrive(c)
		if c.at < sc.until() {
			s.after(time.Duration(gaps.ExpFloat64()*sc.gap(c.at)*float64(time.Second)), arrive)
		}
	}
	s.after(0, arrive)
	s.run(epoch.Add(sc.until() + settle))
	return sc.sum(calls)
}

func (sc scenario) sum(calls []*call) result {
	r := result{policy: sc.policy.name, load: sc.load, slow: sc.slow, burst: sc.burst}
	first := hdrhistogram.New(1, histogramMax, histogramDigits)
	var counted, good, refused, late, blocks, hit, small, smallGood int
	for _, c := range calls {
		if c.at < warm || c.at >= sc.until() {
			continue
		}
		counted++
		ok := !c.ended.IsZero() && c.first.Sub(c.begun) <= c.due
		isSmall := share(customerNumber(c)) < share(0)
		if isSmall {
			small++
		}
		switch {
		case ok:
			good++
			if isSmall {
				smallGood++
			}
		case c.refused:
			refused++
		default:
			late++
		}
		if c.first.IsZero() {
			continue
		}
		blocks += len(c.request.PrefixHashes)
		hit += c.hitBlocks
		if c.request.Priority == picker.PriorityInteractive {
			_ = first.RecordValue(c.first.Sub(c.begun).Microseconds())
		}
	}
	r.offered = float64(counted) / (sc.until() - warm).Seconds()
	r.goodput = float64(good) / (sc.until() - warm).Seconds()
	r.refused = float64(refused) / float64(counted)
	r.late = float64(late) / float64(counted)
	r.hits = float64(hit) / float64(blocks)
	r.small = float64(smallGood) / float64(small)
	r.p50 = time.Duration(first.ValueAtQuantile(50)) * time.Microsecond
	r.p99 = time.Duration(first.ValueAtQuantile(99)) * time.Microsecond
	return r
}

func customerNumber(c *call) int {
	for i := range customers {
		if customerName(i) == c.request.Customer {
			return i
		}
	}
	return 0
}
