package main

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornferry/core/request/picker"
)

// Phases of a run. Calls that arrive during warmUp are not counted. After the last
// arrival the run goes on for drainTime, so that calls can end.
const (
	warmUp       = 30 * time.Second
	measuredTime = 90 * time.Second
	drainTime    = 30 * time.Second
)

// Bounds of the histogram of times to the first byte.
const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// result holds the measurements of one run. offered and goodput are calls per
// second; goodput counts calls that ended and had their first byte within their
// deadline. refused and late are shares of the counted calls, where late are all
// that were neither good nor refused. p50 and p99 are times to the first byte of
// interactive calls. cacheHitShare is the share of prompt blocks that were cached.
type result struct {
	policy        string
	load          float64
	slow          bool
	burst         bool
	offered       float64
	goodput       float64
	refused       float64
	late          float64
	p50           time.Duration
	p99           time.Duration
	cacheHitShare float64
	// small is the share of the small customers' calls that were good.
	small float64
}

// scenario describes one run: the policy, the offered load in calls per second
// (rate) and as a fraction of the capacity (load), and whether one engine is slow or
// the load jumps after warmUp (burst).
type scenario struct {
	policy namedPolicy
	rate   float64
	load   float64
	slow   bool
	burst  bool
	seed   uint64
}

// A burst run offers burstInitialShare of its load during warmUp and all of it
// afterwards. The calls that arrive in the burstMeasuredTime after warmUp are
// counted.
const (
	burstInitialShare = 0.1
	burstMeasuredTime = 5 * time.Second
)

// measuredUntil returns the time since the start at which calls stop being counted.
func (sc scenario) measuredUntil() time.Duration {
	if sc.burst {
		return warmUp + burstMeasuredTime
	}
	return warmUp + measuredTime
}

// meanGap returns the mean time between arrivals in seconds, at a time since the
// start.
func (sc scenario) meanGap(at time.Duration) float64 {
	if sc.burst && at < warmUp {
		return 1 / (burstInitialShare * sc.rate)
	}
	return 1 / sc.rate
}

// slowFactor is how many times longer the steps of the slow engine take.
const slowFactor = 4

// run simulates the scenario.
func (sc scenario) run() result {
	s := newSimulation(sc.seed, sc.policy.make)
	if sc.slow {
		s.engines[0].stepFactor = slowFactor
	}
	w := newWorkload(sc.seed)
	gaps := rand.New(rand.NewPCG(sc.seed, 2))
	var calls []*call
	var arrive func()
	arrive = func() {
		c := &call{arrival: w.nextCall(s.now.Sub(epoch)), s: s, entry: s.entries[gaps.IntN(zones)]}
		calls = append(calls, c)
		c.entry.arrive(c)
		if c.at < sc.measuredUntil() {
			s.after(time.Duration(gaps.ExpFloat64()*sc.meanGap(c.at)*float64(time.Second)), arrive)
		}
	}
	s.after(0, arrive)
	s.run(epoch.Add(sc.measuredUntil() + drainTime))
	return sc.summarize(calls)
}

// summarize computes the result from all calls of the run.
func (sc scenario) summarize(calls []*call) result {
	r := result{policy: sc.policy.name, load: sc.load, slow: sc.slow, burst: sc.burst}
	first := hdrhistogram.New(1, histogramMax, histogramDigits)
	var counted, good, refused, late, blocks, hit, small, smallGood int
	for _, c := range calls {
		if c.at < warmUp || c.at >= sc.measuredUntil() {
			continue
		}
		counted++
		ok := !c.ended.IsZero() && c.first.Sub(c.arrivedAt) <= c.deadline
		isSmall := share(customerIndex(c)) < share(0)
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
		hit += c.cachedBlocks
		if c.request.Priority == picker.PriorityInteractive {
			_ = first.RecordValue(c.first.Sub(c.arrivedAt).Microseconds())
		}
	}
	r.offered = float64(counted) / (sc.measuredUntil() - warmUp).Seconds()
	r.goodput = float64(good) / (sc.measuredUntil() - warmUp).Seconds()
	r.refused = float64(refused) / float64(counted)
	r.late = float64(late) / float64(counted)
	r.cacheHitShare = float64(hit) / float64(blocks)
	r.small = float64(smallGood) / float64(small)
	r.p50 = time.Duration(first.ValueAtQuantile(50)) * time.Microsecond
	r.p99 = time.Duration(first.ValueAtQuantile(99)) * time.Microsecond
	return r
}

func customerIndex(c *call) int {
	for i := range customers {
		if customerName(i) == c.request.Customer {
			return i
		}
	}
	return 0
}
