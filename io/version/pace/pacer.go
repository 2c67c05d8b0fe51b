package pace

import (
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// DefaultFloor is the share of each link that transfers get at least.
const DefaultFloor = 0.1

// Config gives the rates of a side's links in bytes a second; zero leaves a
// link unpaced. Region is the rate of the whole region link each way, which
// all sides of the region share. Origin bounds what this side draws from the
// origin.
type Config struct {
	Up     int64
	Down   int64
	Region int64
	Origin int64
	Floor  float64
}

// Pacer holds the lines of one side. Live traffic is reported to it by the
// process's call path.
type Pacer struct {
	Up     *Line
	Down   *Line
	Origin *Line
	// Cross meters this side's live traffic over the region link; it paces
	// nothing itself, see RegionLeft.
	Cross  *Line
	Floor  float64
	region atomic.Int64
}

// New returns the lines for cfg.
func New(cfg Config, clock clockwork.Clock) *Pacer {
	floor := cfg.Floor
	if floor <= 0 {
		floor = DefaultFloor
	}
	line := func(rate int64) *Line { return &Line{Clock: clock, Rate: rate, Floor: floor} }
	p := &Pacer{
		Up:     line(cfg.Up),
		Down:   line(cfg.Down),
		Origin: line(cfg.Origin),
		Cross:  line(max(cfg.Region, 1)),
		Floor:  floor,
	}
	p.region.Store(cfg.Region)
	return p
}

// SetRegion changes the rate of the whole region link in bytes a second.
func (p *Pacer) SetRegion(rate int64) { p.region.Store(rate) }

// RegionBinds reports whether the region link carries less than this side's
// own link downwards.
func (p *Pacer) RegionBinds() bool {
	rate := p.region.Load()
	return rate > 0 && (p.Down.Rate <= 0 || rate < p.Down.Rate)
}

// RegionLeft estimates the bytes a second that live traffic leaves of the
// region link, zero for an unpaced link. The link is shared and no process
// sees all of it: calls spread evenly over the sides of a region, so the
// side's own live rate times the number of sides stands for the whole. It is
// never less than the floor.
func (p *Pacer) RegionLeft(sides int) float64 {
	rate := float64(p.region.Load())
	if rate <= 0 {
		return 0
	}
	left := rate - p.Cross.LiveRate()*float64(max(sides, 1))
	return max(left, p.Floor*rate)
}
