package route

import (
	"cmp"
	"slices"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
)

// spareShare is the part of a subset, one in spareShare, that is kept for
// targets of which other entries are the home.
const spareShare = 4

// Subset returns the targets of service to which entry keeps sessions, at
// most size of them. An entry's cost thus does not grow with the fleet. vms
// holds targets and entries.
//
// A target's home entries are those of its zone; where there are none, those
// of its region, and else all. Each target ranks its home entries, and an
// entry takes the targets first that rank it highest. Were each entry to pick
// by itself, some targets would be picked by none and stand idle: 24 of 256
// with 22 entries of 24 places each. Twice as many places in all as there are
// targets leave none out.
//
// One place in four is kept for other targets when there are any. Without it
// an entry whose zone fails would have to open all its sessions anew in the
// moment of the failure.
func Subset(entry fleet.VM, service string, vms []fleet.VM, size int) []fleet.VM {
	h := newHomes(entry, vms)
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
	spares := append(ordered(key, region), ordered(key, far)...)
	near := min(len(home), size-min(size/spareShare, len(spares)))
	out := h.ordered(home)[:near]
	return append(out, spares[:min(len(spares), size-near)]...)
}

func ordered(key string, vms []fleet.VM) []fleet.VM {
	return rank.Order(key, vms, func(vm fleet.VM) string { return vm.Name })
}

// homes tells which entries are the home of a target, seen from one entry.
type homes struct {
	entry  fleet.VM
	all    []string
	zone   map[string][]string
	region map[string][]string
}

func newHomes(entry fleet.VM, vms []fleet.VM) homes {
	h := homes{entry: entry, zone: map[string][]string{}, region: map[string][]string{}}
	known := false
	for _, vm := range vms {
		if vm.Role == fleet.RoleEntry && vm.State == fleet.StateLive {
			h.add(vm)
			known = known || vm.Name == entry.Name
		}
	}
	// The list lags; an entry that it does not show yet counts itself.
	if !known {
		h.add(entry)
	}
	return h
}

func (h *homes) add(entry fleet.VM) {
	h.all = append(h.all, entry.Name)
	h.zone[entry.Zone] = append(h.zone[entry.Zone], entry.Name)
	h.region[entry.Region] = append(h.region[entry.Region], entry.Name)
}

func (h *homes) of(target fleet.VM) []string {
	if in := h.zone[target.Zone]; len(in) > 0 {
		return in
	}
	if in := h.region[target.Region]; len(in) > 0 {
		return in
	}
	return h.all
}

func (h *homes) isHome(target fleet.VM) bool {
	return slices.Contains(h.of(target), h.entry.Name)
}

// ordered sorts targets by the place that each gives to the entry.
func (h *homes) ordered(targets []fleet.VM) []fleet.VM {
	type placed struct {
		vm    fleet.VM
		place int
		far   int
		score uint64
	}
	ps := make([]placed, 0, len(targets))
	for _, vm := range targets {
		place := rank.Position(vm.Name, h.entry.Name, h.of(vm))
		p := placed{vm: vm, place: place, score: rank.Score(vm.Name, h.entry.Name)}
		if vm.Zone != h.entry.Zone {
			p.far = 1
		}
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.far, b.far), cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	out := make([]fleet.VM, 0, len(ps))
	for _, p := range ps {
		out = append(out, p.vm)
	}
	return out
}
