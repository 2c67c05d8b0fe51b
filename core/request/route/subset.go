package route

import (
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
)

// spareShare is the part of a subset, one in spareShare, that is kept outside
// the entry's zone.
const spareShare = 4

// Subset returns the targets of service to which entry keeps sessions, at
// most size of them: its own zone's first, then its region's, then the rest,
// each in rendezvous order. An entry's cost thus does not grow with the
// fleet, and a target that comes or goes changes one place of few subsets.
//
// One place in four stays outside the zone when there are targets outside.
// Without it an entry whose zone fails would have to open all its sessions
// anew in the moment of the failure.
func Subset(entry fleet.VM, service string, vms []fleet.VM, size int) []fleet.VM {
	var zone, region, far []fleet.VM
	for _, vm := range vms {
		switch {
		case vm.Role != fleet.RoleSide || vm.Service != service:
		case vm.Zone == entry.Zone:
			zone = append(zone, vm)
		case vm.Region == entry.Region:
			region = append(region, vm)
		default:
			far = append(far, vm)
		}
	}
	key := service + "/" + entry.Name
	spares := append(ordered(key, region), ordered(key, far)...)
	near := min(len(zone), size-min(size/spareShare, len(spares)))
	out := ordered(key, zone)[:near]
	return append(out, spares[:min(len(spares), size-near)]...)
}

func ordered(key string, vms []fleet.VM) []fleet.VM {
	return rank.Order(key, vms, func(vm fleet.VM) string { return vm.Name })
}
