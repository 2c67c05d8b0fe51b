// Package tree decides from whom each side, the process beside one target, reads
// the manifest of a version; io/version/adapt calls it for each attempt. A few sides
// of each region read the manifest from the origin, and the others along a tree of
// their region. If all sides of a large fleet read manifests from the origin, these
// would take as much of its link as the weights do, and more connections than it accepts.
package tree

import (
	"slices"
	"strconv"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
)

// Sizes of the tree.
const (
	// RootsPerRegion is how many sides of a region read from the origin at once. With a
	// single one that is dead, the region would wait for the next in rank.
	RootsPerRegion = 2
	// Fanout is how many sides read from the same side.
	Fanout = 4
	// maxDoublings bounds how often the number of origin readers is doubled, so that
	// the shift does not overflow.
	maxDoublings = 16
)

// Attempts counts the failed attempts of a side. Silent counts those in which the side
// above it in the tree did not answer. A side that answers that it lacks the manifest is
// itself waiting for it, and more origin readers would not help.
type Attempts struct {
	Failed int
	Silent int
}

// Plan says whom a side asks in one attempt.
type Plan struct {
	// OriginFirst is set for a side that asks the origin before its peers, and
	// AskOrigin for one that asks it at all.
	OriginFirst bool
	AskOrigin   bool
	// Parent holds at most one side of the region: the one above this one in the tree
	// or, after a failure, one of the roots. Fallback holds at most one side of any
	// region, since all sides near the top of a region's tree may be dead or cut off.
	Parent   []fleet.VM
	Fallback []fleet.VM
}

// NewPlan returns the plan of self for the manifest named key. others are the sides
// that may hold it.
func NewPlan(key string, self fleet.VM, others []fleet.VM, attempts Attempts) Plan {
	region := []fleet.VM{self}
	for _, vm := range others {
		if vm.Region == self.Region && vm.State == fleet.StateLive {
			region = append(region, vm)
		}
	}
	region = rank.Order(key, region, vmName)
	selfRank := slices.IndexFunc(region, func(vm fleet.VM) bool { return vm.Name == self.Name })
	p := Plan{OriginFirst: selfRank < RootsPerRegion, AskOrigin: selfRank < RootsPerRegion<<min(attempts.Silent, maxDoublings)}
	switch {
	case p.OriginFirst:
	case attempts.Failed == 0:
		p.Parent = region[(selfRank-RootsPerRegion)/Fanout:][:1]
	default:
		p.Parent = region[attempts.Failed%RootsPerRegion:][:1]
	}
	if p.OriginFirst || attempts.Failed > 0 {
		p.Fallback = fallbackFor(key, self, others, attempts.Failed)
	}
	return p
}

func vmName(vm fleet.VM) string { return vm.Name }

// fallbackFor returns the side that self asks after so many failed attempts: another
// one for each asker and attempt.
func fallbackFor(key string, self fleet.VM, others []fleet.VM, failed int) []fleet.VM {
	own := key + "/" + self.Name + "/" + strconv.Itoa(failed)
	ordered := rank.Order(own, others, vmName)
	return ordered[:min(1, len(ordered))]
}
