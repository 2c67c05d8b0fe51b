// Package tree decides from whom each side reads the manifest of a version. A
// few sides of each region read it from the origin, and the others along a tree
// of their region: read by all, the manifests of a large fleet take as much of
// the origin's link as the weights do, and more connections than it accepts.
package tree

import (
	"slices"
	"strconv"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
)

// Sizes of the tree.
const (
	// Roots is how many sides of a region read from the origin at once; with one
	// alone, the region would wait for its successor when it is dead.
	Roots = 2
	// Fanout is how many sides ask one side.
	Fanout = 4
	// mostDoublings bounds the shift by which the readers become more.
	mostDoublings = 16
)

// Tries is how often a side has asked in vain. Silent counts the tries in which
// the side above it in the tree did not answer: one that answers that it lacks the
// manifest is itself waiting for it, and more readers would be of no use.
type Tries struct {
	Failed int
	Silent int
}

// Plan is whom a side asks in one try.
type Plan struct {
	// Root is set for a side that asks the origin before its peers, and Origin
	// for one that asks it at all.
	Root   bool
	Origin bool
	// Above is the side above this one in the tree, if any, and Other some side of
	// any region: the whole top of a region's tree may be dead or cut off.
	Above []fleet.VM
	Other []fleet.VM
}

// At returns the plan of self for a manifest, whose name is key. others are the
// sides that may hold it.
func At(key string, self fleet.VM, others []fleet.VM, tries Tries) Plan {
	region := []fleet.VM{self}
	for _, vm := range others {
		if vm.Region == self.Region && vm.State == fleet.StateLive {
			region = append(region, vm)
		}
	}
	region = rank.Order(key, region, name)
	place := slices.IndexFunc(region, func(vm fleet.VM) bool { return vm.Name == self.Name })
	p := Plan{Root: place < Roots, Origin: place < Roots<<min(tries.Silent, mostDoublings)}
	switch {
	case p.Root:
	case tries.Failed == 0:
		p.Above = region[(place-Roots)/Fanout:][:1]
	default:
		p.Above = region[tries.Failed%Roots:][:1]
	}
	if p.Root || tries.Failed > 0 {
		p.Other = other(key, self, others, tries.Failed)
	}
	return p
}

func name(vm fleet.VM) string { return vm.Name }

// other is a different side for each asker and try.
func other(key string, self fleet.VM, others []fleet.VM, failed int) []fleet.VM {
	own := key + "/" + self.Name + "/" + strconv.Itoa(failed)
	ordered := rank.Order(own, others, name)
	return ordered[:min(1, len(ordered))]
}
