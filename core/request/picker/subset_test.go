package picker

import (
	"fmt"
	"testing"

	"hawthornferry/core/process/fleet"
)

// newFleet returns a fleet with the given numbers of entries and targets in each
// zone. Four zones make a region.
func newFleet(zones, entries, targets int) []fleet.VM {
	var vms []fleet.VM
	for z := range zones {
		zone := fmt.Sprintf("%c%d", 'a'+z/4, z)
		for i := range entries {
			vms = append(vms, fleet.VM{
				Name: fmt.Sprintf("e%d-%d", z, i), Role: fleet.RoleEntry, Zone: zone, Region: zone[:1], State: fleet.StateLive,
			})
		}
		for i := range targets {
			vms = append(vms, newCandidate(fmt.Sprintf("t%d-%d", z, i), zone).VM)
		}
	}
	return vms
}

// entriesPerTarget counts, for each target, the entries that have it in their subset.
func entriesPerTarget(vms []fleet.VM, size int) map[string]int {
	out := map[string]int{}
	for _, vm := range vms {
		if vm.Role == fleet.RoleSide {
			out[vm.Name] += 0
			continue
		}
		for _, t := range Subset(vm, "helper", vms, size) {
			out[t.Name]++
		}
	}
	return out
}

// Guards against targets that are in no entry's subset: they would be idle while
// calls wait at others. Covers small and large fleets, and a zone without entries.
func TestEveryTargetIsInSomeSubset(t *testing.T) {
	tests := []struct {
		name                    string
		zones, entries, targets int
		size                    int
	}{
		{"a few entries", 3, 1, 4, 8},
		{"one large zone", 1, 22, 256, 24},
		{"several large zones", 4, 22, 256, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			idle, most, sum := 0, 0, 0
			got := entriesPerTarget(newFleet(tt.zones, tt.entries, tt.targets), tt.size)
			for _, n := range got {
				most = max(most, n)
				sum += n
				if n == 0 {
					idle++
				}
			}
			t.Logf("%d targets, %d idle, mean entries per target %.1f, max %d", len(got), idle, float64(sum)/float64(len(got)), most)
			if idle > 0 {
				t.Errorf("%d of %d targets are in no subset", idle, len(got))
			}
		})
	}
	// Zone a0 has no entries: those of its region must take its targets.
	var rest []fleet.VM
	for _, vm := range newFleet(2, 2, 6) {
		if vm.Role != fleet.RoleEntry || vm.Zone != "a0" {
			rest = append(rest, vm)
		}
	}
	for name, n := range entriesPerTarget(rest, 12) {
		if n == 0 {
			t.Errorf("%s is in no subset after the entries of its zone were removed", name)
		}
	}
}
