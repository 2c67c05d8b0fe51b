package tree

import (
	"fmt"
	"testing"

	"hawthornferry/core/process/fleet"
)

const regions = 5

func newSides(n int) []fleet.VM {
	var out []fleet.VM
	for i := range n {
		out = append(out, fleet.VM{Name: fmt.Sprintf("side%03d", i), Region: fmt.Sprintf("r%d", i%regions), State: fleet.StateLive})
	}
	return out
}

func without(all []fleet.VM, name string) []fleet.VM {
	var out []fleet.VM
	for _, vm := range all {
		if vm.Name != name {
			out = append(out, vm)
		}
	}
	return out
}

// Guards against a fleet whose sides all read a manifest from the origin, or from one
// side: the load of both must stay the same as the fleet grows.
func TestOriginReadersDoNotGrowWithFleet(t *testing.T) {
	for _, n := range []int{1, 5, 20, 204} {
		all := newSides(n)
		readers := 0
		asked := map[string]int{}
		for _, self := range all {
			p := NewPlan("m/2", self, without(all, self.Name), Attempts{})
			if p.AskOrigin {
				readers++
				continue
			}
			asked[p.Parent[0].Name]++
		}
		if most := min(n, regions*RootsPerRegion); readers != most {
			t.Errorf("%d sides: %d read from the origin, want %d", n, readers, most)
		}
		for who, k := range asked {
			if k > Fanout {
				t.Errorf("%d sides: %d ask %s, want %d at most", n, k, who, Fanout)
			}
		}
	}
}

// Guards against sides that never get a manifest because those above them in the tree
// are dead: every live side must get it within a few rounds.
func TestManifestReachesSidesBelowDeadOnes(t *testing.T) {
	const rounds = 6
	all := newSides(120)
	for _, dead := range []int{0, 2, 4, 10} {
		w := &fleetState{t: t, dead: dead, have: map[string]bool{}, tries: map[string]Attempts{}}
		for range rounds {
			w.round(all)
		}
		for _, vm := range all {
			if w.alive(vm) && !w.have[vm.Name] {
				t.Errorf("%d of %d sides dead: %s has no manifest after %d rounds", dead, deadOf, vm.Name, rounds)
			}
		}
	}
}

const deadOf = 11

// depth is the greatest number of sides that a manifest passes in one round.
const depth = 8

// fleetState is a simulated fleet: of each deadOf sides the first dead ones do not answer.
type fleetState struct {
	t     *testing.T
	dead  int
	have  map[string]bool
	tries map[string]Attempts
}

func (w *fleetState) alive(vm fleet.VM) bool {
	var i int
	if _, err := fmt.Sscanf(vm.Name, "side%d", &i); err != nil {
		w.t.Fatal(err)
	}
	return i%deadOf >= w.dead
}

// round lets each side ask once; a manifest that a side got is passed down the tree.
func (w *fleetState) round(all []fleet.VM) {
	plans := map[string]Plan{}
	for _, self := range all {
		plans[self.Name] = NewPlan("m/2", self, without(all, self.Name), w.tries[self.Name])
	}
	for range depth {
		for _, self := range all {
			p := plans[self.Name]
			if w.alive(self) && (p.AskOrigin || w.anyHas(append(p.Parent, p.Fallback...))) {
				w.have[self.Name] = true
			}
		}
	}
	for _, self := range all {
		tries := w.tries[self.Name]
		tries.Failed++
		for _, vm := range plans[self.Name].Parent {
			if !w.alive(vm) {
				tries.Silent++
			}
		}
		w.tries[self.Name] = tries
	}
}

func (w *fleetState) anyHas(vms []fleet.VM) bool {
	for _, vm := range vms {
		if w.alive(vm) && w.have[vm.Name] {
			return true
		}
	}
	return false
}
