package pace

import (
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// DefaultMinShare is the minimum fraction of each link that transfers get if
// Config sets none.
const DefaultMinShare = 0.1

// Config sets the rates of a side's links in bytes per second; zero means no
// limit. Region is the rate in each direction of the link between this side's
// region and the others, which all sides of the region share. Origin limits
// what this side reads from the origin. MinShare is the fraction of each link
// that transfers always get, DefaultMinShare if zero.
type Config struct {
	Up       int64
	Down     int64
	Region   int64
	Origin   int64
	MinShare float64
}

// Pacer holds the limiters of one side: for the machine's own link, Up and
// Down, and for reads from the origin. The process that serves calls reports
// live traffic to it with Limiter.CountLive.
type Pacer struct {
	Up     *Limiter
	Down   *Limiter
	Origin *Limiter
	// RegionMeter measures this side's live traffic on the region link. It is not
	// used to limit; see RegionAvailable.
	RegionMeter *Limiter
	MinShare    float64
	regionRate  atomic.Int64
}

// New returns a Pacer for cfg.
func New(cfg Config, clock clockwork.Clock) *Pacer {
	minShare := cfg.MinShare
	if minShare <= 0 {
		minShare = DefaultMinShare
	}
	limiter := func(rate int64) *Limiter { return &Limiter{Clock: clock, Rate: rate, MinShare: minShare} }
	p := &Pacer{
		Up:          limiter(cfg.Up),
		Down:        limiter(cfg.Down),
		Origin:      limiter(cfg.Origin),
		RegionMeter: limiter(max(cfg.Region, 1)),
		MinShare:    minShare,
	}
	p.regionRate.Store(cfg.Region)
	return p
}

// SetRegionRate changes the rate of the region link, in bytes per second.
func (p *Pacer) SetRegionRate(rate int64) { p.regionRate.Store(rate) }

// RegionIsBottleneck reports whether the region link is slower than the
// downlink of this side's machine.
func (p *Pacer) RegionIsBottleneck() bool {
	rate := p.regionRate.Load()
	return rate > 0 && (p.Down.Rate <= 0 || rate < p.Down.Rate)
}

// RegionAvailable estimates how many bytes per second live traffic leaves of
// the region link, zero if the link has no limit. No process sees all traffic
// on the shared link. Since calls spread evenly over the sides of a region,
// the estimate multiplies the live rate of this side by the number of sides.
// The result is at least MinShare of the rate.
func (p *Pacer) RegionAvailable(sides int) float64 {
	rate := float64(p.regionRate.Load())
	if rate <= 0 {
		return 0
	}
	available := rate - p.RegionMeter.LiveRate()*float64(max(sides, 1))
	return max(available, p.MinShare*rate)
}
