package main

import (
	"time"

	"hawthornferry/core/process/envdoc"
)

// Sizes and rates of a trial. A machine's link carries the version in
// machineLinkTime. The origin's link carries two copies in that time, and four in
// twice that time, in which a machine's link carries two.
const (
	versionBytes    = 8 << 20
	blockSize       = 4 << 10
	machineLinkTime = 6 * time.Second
	originFactor    = 2 // times the machine link's
)

var regionNames = []string{"ra", "rb", "rc"}

// setting is a rate of the region links, as a multiple of the machine links' rate.
type setting struct {
	name         string
	regionFactor float64
}

var settings = []setting{
	{name: "machineBinds", regionFactor: 2},
	{name: "regionBinds", regionFactor: 0.6},
}

// mode is a way to distribute a version. goal is the goal in the environment
// document; with originOnly each side downloads from the origin alone.
type mode struct {
	name       string
	goal       envdoc.Goal
	originOnly bool
}

var (
	modeBaseline = mode{name: "baseline", goal: envdoc.GoalOriginBytes, originOnly: true}
	modeOrigin   = mode{name: "originBytes", goal: envdoc.GoalOriginBytes}
	modeTime     = mode{name: "time", goal: envdoc.GoalTime}
)

// trial describes one run.
type trial struct {
	setting   setting
	mode      mode
	sides     int
	chunks    int
	chunkSize int // in bytes
	faults    bool
}

func (t trial) bytes() int64 { return int64(t.chunks) * int64(t.chunkSize) }

// rates holds the rates of the links in bytes per second.
type rates struct {
	machine float64
	region  float64
	origin  float64
}

func (t trial) rates() rates {
	machine := versionBytes / machineLinkTime.Seconds()
	return rates{machine: machine, region: t.setting.regionFactor * machine, origin: originFactor * machine}
}

// bound returns a lower bound of the time in which the version can reach every side.
// Live traffic takes its part of the region links. The last term holds because all n
// copies have to leave the link of the origin or of a machine.
func (t trial) bound(r rates) time.Duration {
	f, n := float64(t.bytes()), float64(t.sides)
	left := r.region - liveCrossRegionRate(t.sides)
	s := max(f/r.origin, f/r.machine, f/left, n*f/(r.origin+n*r.machine))
	return time.Duration(s * float64(time.Second))
}

// result holds the measurements of one trial. originCopies and regionCopies are the
// bytes of transfers as multiples of the version's size. p99Before and p99During are
// latencies of live requests before and while the version is spread.
type result struct {
	trial        trial
	bound        time.Duration
	duration     time.Duration
	originCopies float64
	regionCopies float64 // over the busiest direction of a region link
	p99Before    time.Duration
	p99During    time.Duration
	incomplete   int // living sides without the whole version
}

func (r result) ratio() float64 { return r.duration.Seconds() / r.bound.Seconds() }

func (r result) slowdown() float64 {
	if r.p99Before == 0 {
		return 0
	}
	return r.p99During.Seconds() / r.p99Before.Seconds()
}
