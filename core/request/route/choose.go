package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
)

// The rules that make a choice.
const (
	ReasonPrefix Reason = "prefix"
	ReasonLoad   Reason = "lessLoadedOfTwo"
	ReasonOnly   Reason = "onlyCandidate"
)

// The reasons for leaving a candidate out; a standing other than ready is
// its own reason.
const (
	leftVersion = "otherVersion"
	leftAvoided = "failedThisCall"
	leftZone    = "otherZone"
	leftLoad    = "moreLoaded"
	leftSlow    = "slow"
	leftPrefix  = "lessOfPrefix"
	leftUndrawn = "notDrawn"
)

// Defaults of a Chooser's settings.
const (
	DefaultSubset     = 16
	DefaultLoadFactor = 1.25
	DefaultFreeShare  = 0.75
	DefaultSpill      = 1.0
	DefaultReportAge  = 5 * time.Second
	DefaultSpeedAge   = 5 * time.Minute
	DefaultPrefixAge  = 10 * time.Minute
	DefaultPrefixes   = 1 << 16
	DefaultTargets    = 1 << 12
	DefaultCapacity   = 8
)

// Chooser chooses targets for one entry. Set the exported fields before the
// first call; zero values stand for the defaults, but for Entry and Rand,
// which must be set. It is not safe for concurrent use. The same calls in the
// same order with the same source make the same choices.
type Chooser struct {
	// Entry is the VM of this entry; its zone comes first.
	Entry fleet.VM
	// Rand draws the two targets to compare.
	Rand *rand.Rand
	// LoadFactor bounds affinity: a target that holds the prefix is taken up
	// to this many times the mean load.
	LoadFactor float64
	// FreeShare is the share of a target's capacity up to which affinity
	// holds whatever the mean, for a prompt that the target holds whole. It
	// falls with the square of the part that is held.
	FreeShare float64
	// Spill is the load per capacity of a zone above which the next zone is
	// asked too.
	Spill float64
	// ReportAge is how old a load report may be and still count.
	ReportAge time.Duration
	// SpeedAge is how long a target's speed is remembered without a sample.
	SpeedAge time.Duration
	// PrefixAge is how long a prefix is remembered.
	PrefixAge time.Duration
	// Prefixes and Targets bound the tables.
	Prefixes int
	Targets  int
	// Capacity stands for a target's capacity until it reports one.
	Capacity int

	prefixes prefixes
	loads    loads
	speeds   speeds
	ready    bool
}

// Sizes are the numbers of entries in a Chooser's tables.
type Sizes struct {
	Prefixes int
	Targets  int
	Speeds   int
}

// NoTarget is the error of Choose when every candidate is left out.
type NoTarget struct {
	Service string
	Left    []trail.Left
}

// Error names the service and how many candidates were left out.
func (e *NoTarget) Error() string {
	return fmt.Sprintf("no target of service %s: %d candidates left out", e.Service, len(e.Left))
}

// Choose returns the target for r among candidates, which are those of the
// entry's subset. It takes the chosen target as holding r's prefixes from now
// on. The error is a *NoTarget when all candidates are left out.
func (c *Chooser) Choose(now time.Time, r Request, candidates []Candidate) (Choice, error) {
	c.prepare()
	s := selection{left: make([]trail.Left, 0, len(candidates))}
	eligible := c.eligible(now, r, candidates, &s)
	if len(eligible) == 0 {
		return Choice{}, &NoTarget{Service: r.Service, Left: s.left}
	}
	near := c.nearest(c.quick(now, eligible, &s), &s)
	chosen, reason := c.pick(now, r, near, &s)
	for _, prefix := range r.Prefix {
		c.prefixes.stored(now, chosen.vm.Name, prefix)
	}
	return Choice{VM: chosen.vm, Reason: reason, Left: s.left}, nil
}

// Stored takes an engine's event that target now holds prefix.
func (c *Chooser) Stored(now time.Time, target string, prefix uint64) {
	c.prepare()
	c.prefixes.stored(now, target, prefix)
}

// Evicted takes an engine's event that target no longer holds prefix.
func (c *Chooser) Evicted(now time.Time, target string, prefix uint64) {
	c.prepare()
	c.prefixes.evicted(now, target, prefix)
}

// Paced takes how long target took from token to token of one answer.
func (c *Chooser) Paced(now time.Time, target string, pace time.Duration) {
	c.prepare()
	c.speeds.observe(now, target, pace)
}

// Sizes returns the numbers of entries in the tables.
func (c *Chooser) Sizes() Sizes {
	return Sizes{Prefixes: c.prefixes.table.Len(), Targets: c.loads.table.Len(), Speeds: c.speeds.table.Len()}
}

// Tick drops what is too old; call it about once a minute.
func (c *Chooser) Tick(now time.Time) {
	c.prepare()
	c.prefixes.table.Expire(now)
	c.loads.table.Expire(now)
	c.speeds.table.Expire(now)
}

func (c *Chooser) prepare() {
	if c.ready {
		return
	}
	c.ready = true
	c.LoadFactor = orDefault(c.LoadFactor, DefaultLoadFactor)
	c.FreeShare = orDefault(c.FreeShare, DefaultFreeShare)
	c.Spill = orDefault(c.Spill, DefaultSpill)
	c.prefixes.table.Max = orDefault(c.Prefixes, DefaultPrefixes)
	c.prefixes.table.Age = orDefault(c.PrefixAge, DefaultPrefixAge)
	c.loads.table.Max = orDefault(c.Targets, DefaultTargets)
	c.loads.reportAge = orDefault(c.ReportAge, DefaultReportAge)
	c.loads.table.Age = c.loads.reportAge
	c.loads.capacity = orDefault(c.Capacity, DefaultCapacity)
	c.speeds.table.Max = c.loads.table.Max
	c.speeds.table.Age = orDefault(c.SpeedAge, DefaultSpeedAge)
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// weighed is a candidate that may be chosen.
type weighed struct {
	vm       fleet.VM
	load     load
	inFlight int
}

// selection collects the candidates left out on the way.
type selection struct {
	left []trail.Left
}

func (s *selection) leave(name, reason string) {
	s.left = append(s.left, trail.Left{Name: name, Reason: reason})
}

func (c *Chooser) eligible(now time.Time, r Request, candidates []Candidate, s *selection) []weighed {
	out := make([]weighed, 0, len(candidates))
	for _, cand := range candidates {
		if reason := barred(r, cand); reason != "" {
			s.leave(cand.VM.Name, reason)
			continue
		}
		out = append(out, weighed{vm: cand.VM, load: c.loads.estimate(now, cand), inFlight: cand.InFlight})
	}
	return out
}

// barred returns why a candidate may not have r, or "".
func barred(r Request, c Candidate) string {
	if c.VM.State == fleet.StateLeaving {
		return string(StandingLeaving)
	}
	if c.Standing != StandingReady {
		return string(c.Standing)
	}
	if r.Version != "" && c.Serving != r.Version {
		return leftVersion
	}
	if slices.Contains(r.Avoid, c.VM.Name) {
		return leftAvoided
	}
	return ""
}

// quick leaves out slow targets while the others have room.
func (c *Chooser) quick(now time.Time, all []weighed, s *selection) []weighed {
	usual, slow := c.speeds.split(now, all)
	if len(slow) == 0 || meanRatio(usual) > c.Spill {
		return all
	}
	for _, w := range slow {
		s.leave(w.vm.Name, leftSlow)
	}
	return usual
}

// nearest returns the candidates of the entry's zone, and adds those of its
// region and then all others while what it has is loaded above Spill.
func (c *Chooser) nearest(all []weighed, s *selection) []weighed {
	tiers := [...]func(fleet.VM) bool{
		func(vm fleet.VM) bool { return vm.Zone == c.Entry.Zone },
		func(vm fleet.VM) bool { return vm.Region == c.Entry.Region },
	}
	for _, within := range tiers {
		near := make([]weighed, 0, len(all))
		for _, w := range all {
			if within(w.vm) {
				near = append(near, w)
			}
		}
		if len(near) > 0 && meanRatio(near) <= c.Spill {
			s.leaveOutside(all, within)
			return near
		}
	}
	return all
}

func (s *selection) leaveOutside(all []weighed, within func(fleet.VM) bool) {
	for _, w := range all {
		if !within(w.vm) {
			s.leave(w.vm.Name, leftZone)
		}
	}
}

// meanRatio is the load per capacity over all ws if one call were added.
func meanRatio(ws []weighed) float64 {
	calls, capacity := 1, 0
	for _, w := range ws {
		calls += w.load.calls
		capacity += w.load.capacity
	}
	return float64(calls) / float64(capacity)
}

func (c *Chooser) pick(now time.Time, r Request, ws []weighed, s *selection) (weighed, Reason) {
	if len(ws) == 1 {
		return ws[0], ReasonOnly
	}
	if i := c.holding(now, r, ws); i >= 0 {
		leaveOthers(ws, s, func(int) string { return leftPrefix }, i)
		return ws[i], ReasonPrefix
	}
	i, j := c.twoOf(len(ws))
	if ws[j].load.ratio() < ws[i].load.ratio() {
		i, j = j, i
	}
	leaveOthers(ws, s, func(k int) string {
		if k == j {
			return leftLoad
		}
		return leftUndrawn
	}, i)
	return ws[i], ReasonLoad
}

// holding returns the index of the candidate that holds the longest prefix of
// r and is within the bound on load, the least loaded of equals, or -1.
//
// The bound is what keeps a popular prefix from drawing all its calls to one
// target while others idle, which shows as a first token that waits behind a
// queue: above the bound the call goes elsewhere, and that target then holds
// the prefix too. A short common beginning, such as a customer's instructions,
// weighs little: in a burst on cold caches all calls would else go where the
// first one went.
func (c *Chooser) holding(now time.Time, r Request, ws []weighed) int {
	if len(r.Prefix) == 0 {
		return -1
	}
	mean := meanRatio(ws)
	best, bestDepth := -1, 0
	for i, w := range ws {
		d := c.prefixes.depth(now, w.vm.Name, r.Prefix)
		if d == 0 || d < bestDepth {
			continue
		}
		held := float64(d) / float64(len(r.Prefix))
		if w.load.ratio() > max(c.LoadFactor*mean, c.FreeShare*held*held) {
			continue
		}
		if d == bestDepth && w.load.ratio() >= ws[best].load.ratio() {
			continue
		}
		best, bestDepth = i, d
	}
	return best
}

// twoOf draws two different indices below n, which is at least two.
func (c *Chooser) twoOf(n int) (int, int) {
	i := c.Rand.IntN(n)
	j := c.Rand.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}

func leaveOthers(ws []weighed, s *selection, reason func(int) string, chosen int) {
	for k, w := range ws {
		if k != chosen {
			s.leave(w.vm.Name, reason(k))
		}
	}
}
