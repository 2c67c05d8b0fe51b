package main

import (
	"time"

	"hawthornferry/core/process/envdoc"
)

// Sizes of the trial. The machine link carries the version in wholeTime; the
// origin's link carries two copies in that time and four in twice that time,
// in which the machine links carry two.
const (
	wholeBytes = 8 << 20
	blockSize  = 4 << 10
	wholeTime  = 6 * time.Second
	originRate = 2 // times the machine link's
)

var regionNames = []string{"ra", "rb", "rc"}

// setting is a choice of the region link, in times the machine link's rate.
type setting struct {
	name   string
	region float64
}

var settings = []setting{
	{name: "machineBinds", region: 2},
	{name: "regionBinds", region: 0.6},
}

// mode is a way of distribution.
type mode struct {
	name   string
	weigh  envdoc.Goal
	direct bool
}

var (
	modeBaseline = mode{name: "baseline", weigh: envdoc.GoalOriginBytes, direct: true}
	modeOrigin   = mode{name: "originBytes", weigh: envdoc.GoalOriginBytes}
	modeTime     = mode{name: "time", weigh: envdoc.GoalTime}
)

// trial is one run.
type trial struct {
	setting setting
	mode    mode
	sides   int
	chunks  int
	size    int // of a chunk
	faults  bool
}

func (t trial) bytes() int64 { return int64(t.chunks) * int64(t.size) }

// rates of the links in bytes a second.
type rates struct {
	machine float64
	region  float64
	origin  float64
}

func (t trial) rates() rates {
	machine := wholeBytes / wholeTime.Seconds()
	return rates{machine: machine, region: t.setting.region * machine, origin: originRate * machine}
}

// bound is the least time in which the version can reach every side, with
// what live traffic leaves of the region links.
func (t trial) bound(r rates) time.Duration {
	f, n := float64(t.bytes()), float64(t.sides)
	left := r.region - liveCrossing(t.sides)
	s := max(f/r.origin, f/r.machine, f/left, n*f/(r.origin+n*r.machine))
	return time.Duration(s * float64(time.Second))
}

// result is what one run measured.
type result struct {
	trial        trial
	bound        time.Duration
	took         time.Duration
	originCopies float64
	regionCopies float64 // over the busiest direction of a region link
	before       time.Duration
	during       time.Duration
	lost         int // sides alive that did not end whole
}

func (r result) ratio() float64 { return r.took.Seconds() / r.bound.Seconds() }

func (r result) slowdown() float64 {
	if r.before == 0 {
		return 0
	}
	return r.during.Seconds() / r.before.Seconds()
}
