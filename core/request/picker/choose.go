package picker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
)

// The rules by which a target is chosen.
const (
	ReasonPrefix        Reason = "prefix"
	ReasonLessLoaded    Reason = "lessLoadedOfTwo"
	ReasonOnlyCandidate Reason = "onlyCandidate"
)

// The reasons for excluding a candidate. A candidate whose availability isn't ready
// is excluded with its availability as the reason.
const (
	excludedVersion    = "otherVersion"
	excludedFailed     = "failedThisCall"
	excludedZone       = "otherZone"
	excludedLoad       = "moreLoaded"
	excludedSlow       = "slow"
	excludedPrefix     = "lessOfPrefix"
	excludedNotSampled = "notDrawn"
)

// Default settings of a Chooser.
const (
	DefaultSubsetSize          = 16
	DefaultLoadFactor          = 1.25
	DefaultMinAffinityLoad     = 0.75
	DefaultSpillThreshold      = 1.0
	DefaultReportMaxAge        = 5 * time.Second
	DefaultTokenIntervalMaxAge = 5 * time.Minute
	DefaultPrefixMaxAge        = 10 * time.Minute
	DefaultMaxPrefixes         = 1 << 16
	DefaultMaxTargets          = 1 << 12
	DefaultAssumedCapacity     = 8
)

// Chooser chooses targets for the calls of one entry. Set the exported fields before
// the first call. Entry and Rand are required; a zero value in any other field
// selects its default.
//
// A Chooser isn't safe for concurrent use. It is deterministic: the same sequence of
// calls with the same random source makes the same choices.
type Chooser struct {
	// Entry is the VM of this entry. Targets of its zone are preferred.
	Entry fleet.VM
	// Rand samples the two targets whose load is compared.
	Rand *rand.Rand
	// LoadFactor bounds prefix affinity: a target that holds the prefix is chosen
	// while its load is at most this multiple of the mean load. A lower one spreads a
	// popular prefix over more targets, a higher one lets calls queue behind it.
	LoadFactor float64
	// MinAffinityLoad is the load, as a share of the target's capacity, up to which
	// affinity applies whatever the mean load, for a target that holds the whole
	// prompt. It is scaled by the square of the share of the prompt that the target
	// holds.
	MinAffinityLoad float64
	// SpillThreshold is the load, as a share of a zone's capacity, above which
	// targets of the next larger area (region, then all) are considered too.
	SpillThreshold float64
	// ReportMaxAge is the age up to which a load report is used.
	ReportMaxAge time.Duration
	// TokenIntervalMaxAge is how long a target's time between tokens is remembered
	// without a new sample.
	TokenIntervalMaxAge time.Duration
	// PrefixMaxAge is how long a target is assumed to hold a prefix after it was last
	// stored there.
	PrefixMaxAge time.Duration
	// MaxPrefixes and MaxTargets bound the number of rows in the tables.
	MaxPrefixes int
	MaxTargets  int
	// AssumedCapacity is the capacity assumed for a target that has not reported one.
	// Too high a value makes a target that reports nothing look idle.
	AssumedCapacity int

	prefixes       prefixTable
	loadEstimates  loadEstimator
	tokenIntervals intervalTracker
	initialized    bool
}

// TableSizes holds the number of rows in each of a Chooser's tables.
type TableSizes struct {
	Prefixes       int
	Targets        int
	TokenIntervals int
}

// NoTargetError is the error of Choose when every candidate is excluded. Excluded holds
// the reason for each.
type NoTargetError struct {
	Service  string
	Excluded []trail.Exclusion
}

// Error names the service and the number of excluded candidates.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target of service %s: %d candidates left out", e.Service, len(e.Excluded))
}

// Choose returns the target for r among the candidates, which are the targets of the
// entry's subset. From then on it assumes that the chosen target holds r's prefixes.
// If all candidates are excluded, the error is a *NoTargetError.
func (c *Chooser) Choose(now time.Time, r Request, candidates []Candidate) (Choice, error) {
	c.init()
	ex := exclusions{list: make([]trail.Exclusion, 0, len(candidates))}
	eligible := c.eligible(now, r, candidates, &ex)
	if len(eligible) == 0 {
		return Choice{}, &NoTargetError{Service: r.Service, Excluded: ex.list}
	}
	near := c.excludeDistant(c.excludeSlow(now, eligible, &ex), &ex)
	chosen, reason := c.pick(now, r, near, &ex)
	for _, prefix := range r.PrefixHashes {
		c.prefixes.stored(now, chosen.vm.Name, prefix)
	}
	return Choice{VM: chosen.vm, Reason: reason, Excluded: ex.list}, nil
}

// PrefixStored records an engine's event that target has prefix in its cache.
func (c *Chooser) PrefixStored(now time.Time, target string, prefix uint64) {
	c.init()
	c.prefixes.stored(now, target, prefix)
}

// PrefixEvicted records an engine's event that target has dropped prefix from its
// cache.
func (c *Chooser) PrefixEvicted(now time.Time, target string, prefix uint64) {
	c.init()
	c.prefixes.evicted(now, target, prefix)
}

// ObserveTokenInterval records a sample of a target's time between tokens, measured
// over one answer.
func (c *Chooser) ObserveTokenInterval(now time.Time, target string, interval time.Duration) {
	c.init()
	c.tokenIntervals.observe(now, target, interval)
}

// Sizes returns the number of rows in each table.
func (c *Chooser) Sizes() TableSizes {
	return TableSizes{Prefixes: c.prefixes.table.Len(), Targets: c.loadEstimates.table.Len(), TokenIntervals: c.tokenIntervals.table.Len()}
}

// Expire drops expired rows from the tables. Call it about once a minute.
func (c *Chooser) Expire(now time.Time) {
	c.init()
	c.prefixes.table.Expire(now)
	c.loadEstimates.table.Expire(now)
	c.tokenIntervals.table.Expire(now)
}

func (c *Chooser) init() {
	if c.initialized {
		return
	}
	c.initialized = true
	c.LoadFactor = orDefault(c.LoadFactor, DefaultLoadFactor)
	c.MinAffinityLoad = orDefault(c.MinAffinityLoad, DefaultMinAffinityLoad)
	c.SpillThreshold = orDefault(c.SpillThreshold, DefaultSpillThreshold)
	c.prefixes.table.MaxEntries = orDefault(c.MaxPrefixes, DefaultMaxPrefixes)
	c.prefixes.table.TTL = orDefault(c.PrefixMaxAge, DefaultPrefixMaxAge)
	c.loadEstimates.table.MaxEntries = orDefault(c.MaxTargets, DefaultMaxTargets)
	c.loadEstimates.reportMaxAge = orDefault(c.ReportMaxAge, DefaultReportMaxAge)
	c.loadEstimates.table.TTL = c.loadEstimates.reportMaxAge
	c.loadEstimates.capacity = orDefault(c.AssumedCapacity, DefaultAssumedCapacity)
	c.tokenIntervals.table.MaxEntries = c.loadEstimates.table.MaxEntries
	c.tokenIntervals.table.TTL = orDefault(c.TokenIntervalMaxAge, DefaultTokenIntervalMaxAge)
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// eligibleTarget is a candidate that isn't excluded, with its estimated load.
type eligibleTarget struct {
	vm       fleet.VM
	load     load
	inFlight int
}

// exclusions collects the candidates that were excluded, with the reason for each.
type exclusions struct {
	list []trail.Exclusion
}

func (ex *exclusions) add(name, reason string) {
	ex.list = append(ex.list, trail.Exclusion{Name: name, Reason: reason})
}

// eligible returns the candidates that may run r, with their estimated loads, and
// adds the others to ex.
func (c *Chooser) eligible(now time.Time, r Request, candidates []Candidate, ex *exclusions) []eligibleTarget {
	out := make([]eligibleTarget, 0, len(candidates))
	for _, cand := range candidates {
		if reason := exclusionReason(r, cand); reason != "" {
			ex.add(cand.VM.Name, reason)
			continue
		}
		out = append(out, eligibleTarget{vm: cand.VM, load: c.loadEstimates.estimate(now, cand), inFlight: cand.InFlight})
	}
	return out
}

// exclusionReason returns why the candidate may not run r, or an empty string if it
// may.
func exclusionReason(r Request, c Candidate) string {
	if c.VM.State == fleet.StateLeaving {
		return string(AvailabilityLeaving)
	}
	if c.Availability != AvailabilityReady {
		return string(c.Availability)
	}
	if r.Version != "" && c.ServedVersion != r.Version {
		return excludedVersion
	}
	if slices.Contains(r.FailedTargets, c.VM.Name) {
		return excludedFailed
	}
	return ""
}

// excludeSlow excludes slow targets, unless the load of the others is above
// SpillThreshold.
func (c *Chooser) excludeSlow(now time.Time, all []eligibleTarget, ex *exclusions) []eligibleTarget {
	usual, slow := c.tokenIntervals.splitSlow(now, all)
	if len(slow) == 0 || meanUtilization(usual) > c.SpillThreshold {
		return all
	}
	for _, t := range slow {
		ex.add(t.vm.Name, excludedSlow)
	}
	return usual
}

// excludeDistant returns the targets of the entry's zone. While the mean load of the
// targets considered so far is above SpillThreshold, it widens the area to the
// entry's region and then to all targets.
func (c *Chooser) excludeDistant(all []eligibleTarget, ex *exclusions) []eligibleTarget {
	tiers := [...]func(fleet.VM) bool{
		func(vm fleet.VM) bool { return vm.Zone == c.Entry.Zone },
		func(vm fleet.VM) bool { return vm.Region == c.Entry.Region },
	}
	for _, within := range tiers {
		near := make([]eligibleTarget, 0, len(all))
		for _, t := range all {
			if within(t.vm) {
				near = append(near, t)
			}
		}
		if len(near) > 0 && meanUtilization(near) <= c.SpillThreshold {
			ex.addOutside(all, within)
			return near
		}
	}
	return all
}

func (ex *exclusions) addOutside(all []eligibleTarget, within func(fleet.VM) bool) {
	for _, t := range all {
		if !within(t.vm) {
			ex.add(t.vm.Name, excludedZone)
		}
	}
}

// meanUtilization is the load of all targets divided by their capacity, if one more call
// were added.
func meanUtilization(targets []eligibleTarget) float64 {
	calls, capacity := 1, 0
	for _, t := range targets {
		calls += t.load.calls
		capacity += t.load.capacity
	}
	return float64(calls) / float64(capacity)
}

// pick chooses the target that holds the longest prefix of r within the load bound.
// Without one, it samples two targets at random and chooses the less loaded one (power
// of two choices).
func (c *Chooser) pick(now time.Time, r Request, targets []eligibleTarget, ex *exclusions) (eligibleTarget, Reason) {
	if len(targets) == 1 {
		return targets[0], ReasonOnlyCandidate
	}
	if i := c.bestPrefixHolder(now, r, targets); i >= 0 {
		excludeOthers(targets, ex, func(int) string { return excludedPrefix }, i)
		return targets[i], ReasonPrefix
	}
	i, j := c.sampleTwo(len(targets))
	if targets[j].load.utilization() < targets[i].load.utilization() {
		i, j = j, i
	}
	excludeOthers(targets, ex, func(k int) string {
		if k == j {
			return excludedLoad
		}
		return excludedNotSampled
	}, i)
	return targets[i], ReasonLessLoaded
}

// bestPrefixHolder returns the index of the target that holds the longest prefix of r
// within the load bound, the least loaded one of several with the same length, or -1.
//
// Without the load bound, all calls with a popular prefix go to one target and wait
// in its queue for their first token while other targets are idle. Above the bound a
// call goes to another target, which then holds the prefix too.
//
// MinAffinityLoad is scaled down for a short common prefix, such as a customer's
// instructions. Otherwise, in a burst on cold caches, all calls would follow the
// first one to the same target.
func (c *Chooser) bestPrefixHolder(now time.Time, r Request, targets []eligibleTarget) int {
	if len(r.PrefixHashes) == 0 {
		return -1
	}
	mean := meanUtilization(targets)
	best, bestDepth := -1, 0
	for i, t := range targets {
		d := c.prefixes.depth(now, t.vm.Name, r.PrefixHashes)
		if d == 0 || d < bestDepth {
			continue
		}
		held := float64(d) / float64(len(r.PrefixHashes))
		if t.load.utilization() > max(c.LoadFactor*mean, c.MinAffinityLoad*held*held) {
			continue
		}
		if d == bestDepth && t.load.utilization() >= targets[best].load.utilization() {
			continue
		}
		best, bestDepth = i, d
	}
	return best
}

// sampleTwo returns two different random indices below n, which must be at least two.
func (c *Chooser) sampleTwo(n int) (int, int) {
	i := c.Rand.IntN(n)
	j := c.Rand.IntN(n - 1)
	if j >= i {
		j++
	}
	return i, j
}

// excludeOthers excludes all targets but the one with index chosen. The function
// reason is called with the index of each.
func excludeOthers(targets []eligibleTarget, ex *exclusions, reason func(int) string, chosen int) {
	for k, t := range targets {
		if k != chosen {
			ex.add(t.vm.Name, reason(k))
		}
	}
}
