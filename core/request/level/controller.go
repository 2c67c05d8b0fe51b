package level

import "time"

// Parameters of the level.
const (
	// floorRatio is the least share of a priority's work that is admitted, in relation to
	// the share of all work. Operators regard callers that get less than a quarter as
	// starved; the rest is for those who are admitted and refused nevertheless.
	floorRatio = 0.3
	// shortageShare is the share of the work with or without capacity that lacks it from
	// which there is a shortage. Short bursts lack less at nine tenths of the capacity.
	shortageShare = 0.15
	// ownShortageShare applies while an entry knows only its own demand, of which a second
	// holds few requests: at nine tenths of the capacity, three of twenty may lack it.
	ownShortageShare = 0.3
	// urgentShare is the share of the offered work that more urgent requests must have for a
	// shortage. Fewer than that find capacity by their order in entries and engines; to hold
	// back all others for them would leave more capacity unused than they need.
	urgentShare = 0.1
	// crowdedTarget is the share of the admitted work that may lack capacity. At zero, a
	// single large prompt that found no room would lower the level.
	crowdedTarget = 0.06
	// margin is how far the admitted work is lowered below what was placed while requests
	// lacked capacity. Engines that are full at every moment answer late, since entries
	// that do not know of each other fill the same gap.
	margin = 0.06
	// leastAmount bounds how far the admitted work falls, as a share of what was placed
	// when the shortage began. Without it, requests that are late for another reason than
	// the load would lower the level without end.
	leastAmount = 0.5
	// maxFall is the share that is left of the amount at least when it is lowered, and of
	// the least amount, which follows a capacity that fell below it. After a pause of all
	// engines, as for a new version, they must not be left idle.
	maxFall = 0.75
	// maxDrain bounds by which share less than the amount begins for drainTime after the
	// amount was lowered. Engines and entries have a backlog by then; while it lasts,
	// answers are late although no more begins than fits.
	maxDrain  = 0.3
	drainTime = time.Second
	// settleTime is how long after a change of the amount the rates show the time before
	// it or the drain: drainTime, their own second, and the age of the totals.
	settleTime = 2500 * time.Millisecond
	// riseRate is the share by which the amount grows in a second, for each second since
	// it was last lowered, squared: a few hundredths in the first five seconds, while the
	// capacity is most likely the same, and twofold in ten to fifteen.
	riseRate = 0.001
	// freeShare is the share of the engines' slots that are free from which capacity counts as
	// left over. While nothing lacks capacity, the amount then grows by freeRate in a second:
	// engines that were added, or that have paused, are not left idle.
	freeShare = 0.2
	freeRate  = 2.0
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
	amount float64
	// slots is the number of slots of the usable engines, 0 if unknown.
	slots int
	// free is the share of the engines' slots that are free, as far as known.
	free float64
	// least is how far the amount may fall, loweredAt when it last fell, and drain the
	// share by which less begins for a while after that.
	least     float64
	drain     float64
	loweredAt time.Time
	updatedAt time.Time
	// due holds for each priority which part of its next request has been earned.
	due [Priorities]float64
}

// Update decides the level from the demand of all entries, or from the entry's own if
// no totals are known.
func (c *Controller) Update(now time.Time, own Rates, t Totals) State {
	r, limit := &own, ownShortageShare
	if t.Entries > 0 {
		r, limit = &t.Rates, shortageShare
	}
	elapsed := min(max(now.Sub(c.updatedAt), 0), maxStep)
	c.updatedAt = now
	switch {
	case !c.state.InForce && !shortage(r, limit):
		return c.state
	case !c.state.InForce:
		c.lower(now, r)
	default:
		c.adjust(now, r, elapsed)
	}
	offered := sum(&r.Offered)
	if c.amount >= offered {
		c.state = State{}
		return c.state
	}
	c.state = State{InForce: true, Shares: allocate(c.beginning(now), offered, &r.Offered)}
	return c.state
}

// SetSlots sets how many slots the usable engines have, and how many of them are free, for the
// next Update. What may begin follows the number of slots: engines that return or are added
// would otherwise stay idle until the amount has grown.
func (c *Controller) SetSlots(slots, free int) {
	c.free = float64(free) / float64(max(slots, 1))
	if slots == 0 {
		return
	}
	if c.slots > 0 && slots != c.slots {
		ratio := float64(slots) / float64(c.slots)
		c.amount *= ratio
		c.least *= ratio
	}
	c.slots = slots
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

// adjust lowers the amount if admitted work lacked capacity lately, and raises it if not.
func (c *Controller) adjust(now time.Time, r *Rates, elapsed time.Duration) {
	placed, crowded := sum(&r.Placed), sum(&r.Crowded)
	sinceLowered := now.Sub(c.loweredAt)
	switch {
	case crowded <= crowdedTarget*(placed+crowded) && c.free >= freeShare:
		c.amount += freeRate * c.amount * elapsed.Seconds()
	case crowded <= crowdedTarget*(placed+crowded):
		c.amount += riseRate * sinceLowered.Seconds() * sinceLowered.Seconds() * c.amount * elapsed.Seconds()
	case sinceLowered >= settleTime:
		c.lower(now, r)
	}
}

// lower sets the amount a little below what was placed.
func (c *Controller) lower(now time.Time, r *Rates) {
	placed, crowded := sum(&r.Placed), sum(&r.Crowded)
	switch {
	case !c.state.InForce:
		c.least, c.amount = leastAmount*placed, 0
	case placed < maxFall*c.least:
		c.least *= maxFall
	}
	c.amount = max(c.least, maxFall*c.amount, (1-margin)*placed)
	c.drain = min(maxDrain, crowded/max(placed+crowded, minWork))
	c.loweredAt = now
}

// beginning returns the work that may begin now, in engine seconds per second.
func (c *Controller) beginning(now time.Time) float64 {
	if now.Sub(c.loweredAt) < drainTime {
		return max(c.least, (1-c.drain)*c.amount)
	}
	return c.amount
}

// minWork is a rate too low to matter, which keeps quotients defined.
const minWork = 1e-9

// shortage reports whether requests are refused for lack of capacity while less urgent
// ones, beyond their floor, are placed. limit is the share that may lack capacity. A few more
// urgent requests are no reason to hold back all others.
func shortage(r *Rates, limit float64) bool {
	placed, crowded := sum(&r.Placed), sum(&r.Crowded)
	if crowded <= limit*(placed+crowded) {
		return false
	}
	floor := floorRatio * placed / max(sum(&r.Offered), minWork)
	refused, urgent := 0.0, 0.0
	for p := range Priorities {
		if refused > minWork && urgent >= urgentShare*sum(&r.Offered) && r.Placed[p] > floor*r.Offered[p] {
			return true
		}
		refused += r.Crowded[p]
		urgent += r.Offered[p]
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
