package level

import "time"

// Parameters of the level.
const (
	// floorRatio is the least share of a priority's work that is admitted, in relation to
	// the share of all work. Operators regard callers that get less than a quarter as
	// starved; the rest is for those who are admitted and refused nevertheless.
	floorRatio = 0.3
	// shortageShare is the share of the work with capacity or in need of it that is
	// refused for lack of capacity from which there is a shortage. Bursts of some tenths
	// of a second have less than this at nine tenths of the capacity.
	shortageShare = 0.05
	// crowdedTarget is the share of the admitted work that is still refused for lack of
	// capacity where the level neither rises nor falls. At zero, capacity would be left
	// unused whenever demand varies.
	crowdedTarget = 0.02
	// fallRate is how much of the work that is refused beyond crowdedTarget is taken off
	// the admitted work in a second. The rates are a second's mean and up to half a
	// second old; a higher rate would oscillate.
	fallRate = 0.8
	// riseRate is the share by which the admitted work grows in a second while nothing
	// is refused.
	riseRate = 0.05
	// maxStep bounds the time for which one update changes the amount, as when a process
	// was stopped.
	maxStep = 500 * time.Millisecond
)

// Controller decides the admission level of one service. The zero value admits
// everything. It is not safe for concurrent use.
type Controller struct {
	state State
	// amount is the work that may begin, in engine seconds per second, while the level is
	// in force.
	amount    float64
	updatedAt time.Time
	// due holds for each priority which part of its next request has been earned.
	due [Priorities]float64
}

// Update decides the level from the demand of all entries, or from the entry's own if
// no totals are known.
func (c *Controller) Update(now time.Time, own Rates, t Totals) State {
	r := &own
	if t.Entries > 0 {
		r = &t.Rates
	}
	elapsed := min(max(now.Sub(c.updatedAt), 0), maxStep)
	c.updatedAt = now
	switch {
	case !c.state.InForce && !shortage(r):
		return c.state
	case !c.state.InForce:
		c.amount = sum(&r.Placed)
	default:
		c.adjust(r, elapsed)
	}
	offered := sum(&r.Offered)
	if c.amount >= offered {
		c.state = State{}
		return c.state
	}
	c.state = State{InForce: true, Shares: allocate(c.amount, offered, &r.Offered)}
	return c.state
}

// State returns the level as last updated.
func (c *Controller) State() State { return c.state }

// Admit reports whether a new request of the priority may begin. The admitted ones are
// spaced evenly among all, which keeps the work of each short span of time near its
// share.
func (c *Controller) Admit(priority int) bool {
	if !c.state.InForce {
		return true
	}
	due := &c.due[Clamp(priority)]
	*due += c.state.Shares[Clamp(priority)]
	if *due < 1 {
		return false
	}
	*due--
	return true
}

// adjust changes the admitted work by what was refused lately.
func (c *Controller) adjust(r *Rates, elapsed time.Duration) {
	placed, crowded := sum(&r.Placed), sum(&r.Crowded)
	over := crowded - crowdedTarget*(placed+crowded)
	if over > 0 {
		c.amount -= fallRate * over * elapsed.Seconds()
		return
	}
	spare := 1 - crowded/(crowdedTarget*(placed+crowded)+minWork)
	c.amount += riseRate * c.amount * spare * elapsed.Seconds()
}

// minWork is a rate too low to matter, which keeps quotients defined.
const minWork = 1e-9

// shortage reports whether requests are refused for lack of capacity while less urgent
// ones, beyond their floor, are placed.
func shortage(r *Rates) bool {
	placed, crowded := sum(&r.Placed), sum(&r.Crowded)
	if crowded <= shortageShare*(placed+crowded) {
		return false
	}
	floor := floorRatio * placed / max(sum(&r.Offered), minWork)
	refused := 0.0
	for p := range Priorities {
		if refused > minWork && r.Placed[p] > floor*r.Offered[p] {
			return true
		}
		refused += r.Crowded[p]
	}
	return false
}

// allocate returns the share of each priority's work that may begin: the floor for each,
// and the rest of the amount from the most urgent priority on. All are in engine seconds
// per second.
func allocate(amount, total float64, offered *[Priorities]float64) [Priorities]float64 {
	floor := floorRatio * amount / total
	rest := amount - floor*total
	var shares [Priorities]float64
	for p, o := range offered {
		beyond := (1 - floor) * o
		switch {
		case beyond <= rest:
			shares[p] = 1
		default:
			shares[p] = floor + rest/o
		}
		rest = max(0, rest-beyond)
	}
	return shares
}

func sum(rates *[Priorities]float64) float64 {
	total := 0.0
	for _, v := range rates {
		total += v
	}
	return total
}
