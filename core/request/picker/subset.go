package picker

import (
	"cmp"
	"slices"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
)

// spareDivisor sets the share of a subset, 1/spareDivisor, that is reserved for
// targets whose home entries do not include this entry.
const spareDivisor = 4

// Subset returns the targets of service to which the entry keeps sessions, at most
// size of them, so that an entry's cost does not grow with the fleet. vms lists both
// targets and entries.
//
// The home entries of a target are the entries of its zone; if there are none, those
// of its region; if there are none either, all entries. Each target ranks its home
// entries, and an entry takes first the targets that rank it highest. If each entry
// ranked the targets instead, some targets could be in no subset and stay idle, such
// as 24 of 256 with 22 entries and subsets of 24. With subsets that add up to twice
// the number of targets, the ranking by targets leaves none out.
//
// A quarter of the subset is reserved for targets that have other home entries, if
// there are any. Without these an entry whose zone fails would have to open all of
// its sessions at the moment of the failure.
func Subset(entry fleet.VM, service string, vms []fleet.VM, size int) []fleet.VM {
	h := newHomeEntries(entry, vms)
	var home, region, far []fleet.VM
	for _, vm := range vms {
		switch {
		case vm.Role != fleet.RoleSide || vm.Service != service:
		case h.isHome(vm):
			home = append(home, vm)
		case vm.Region == entry.Region:
			region = append(region, vm)
		default:
			far = append(far, vm)
		}
	}
	key := service + "/" + entry.Name
	spares := append(sortByHash(key, region), sortByHash(key, far)...)
	near := min(len(home), size-min(size/spareDivisor, len(spares)))
	out := h.sortByRank(home)[:near]
	return append(out, spares[:min(len(spares), size-near)]...)
}

// sortByHash orders VMs by their rendezvous hash for key.
func sortByHash(key string, vms []fleet.VM) []fleet.VM {
	return rank.Order(key, vms, func(vm fleet.VM) string { return vm.Name })
}

// homeEntries determines the home entries of targets and whether entry is
// among them.
type homeEntries struct {
	entry    fleet.VM
	names    []string
	byZone   map[string][]string
	byRegion map[string][]string
}

func newHomeEntries(entry fleet.VM, vms []fleet.VM) homeEntries {
	h := homeEntries{entry: entry, byZone: map[string][]string{}, byRegion: map[string][]string{}}
	known := false
	for _, vm := range vms {
		if vm.Role == fleet.RoleEntry && vm.State == fleet.StateLive {
			h.add(vm)
			known = known || vm.Name == entry.Name
		}
	}
	// The VM list lags behind: add this entry if it is not listed yet.
	if !known {
		h.add(entry)
	}
	return h
}

func (h *homeEntries) add(entry fleet.VM) {
	h.names = append(h.names, entry.Name)
	h.byZone[entry.Zone] = append(h.byZone[entry.Zone], entry.Name)
	h.byRegion[entry.Region] = append(h.byRegion[entry.Region], entry.Name)
}

// of returns the names of the target's home entries.
func (h *homeEntries) of(target fleet.VM) []string {
	if in := h.byZone[target.Zone]; len(in) > 0 {
		return in
	}
	if in := h.byRegion[target.Region]; len(in) > 0 {
		return in
	}
	return h.names
}

func (h *homeEntries) isHome(target fleet.VM) bool {
	return slices.Contains(h.of(target), h.entry.Name)
}

// sortByRank orders targets by the rank that each gives to this entry. Among equal
// ranks, targets of the entry's own zone come first.
func (h *homeEntries) sortByRank(targets []fleet.VM) []fleet.VM {
	type rankedTarget struct {
		vm        fleet.VM
		position  int
		otherZone int
		score     uint64
	}
	ranked := make([]rankedTarget, 0, len(targets))
	for _, vm := range targets {
		position := rank.Position(vm.Name, h.entry.Name, h.of(vm))
		p := rankedTarget{vm: vm, position: position, score: rank.Score(vm.Name, h.entry.Name)}
		if vm.Zone != h.entry.Zone {
			p.otherZone = 1
		}
		ranked = append(ranked, p)
	}
	slices.SortFunc(ranked, func(a, b rankedTarget) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.otherZone, b.otherZone), cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	out := make([]fleet.VM, 0, len(ranked))
	for _, p := range ranked {
		out = append(out, p.vm)
	}
	return out
}
