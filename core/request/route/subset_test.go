package route

import (
	"fmt"
	"testing"

	"hawthornferry/core/process/fleet"
)

func zoneFleet(zones, entries, targets int) []fleet.VM {
	var vms []fleet.VM
	for z := range zones {
		zone := fmt.Sprintf("%c%d", 'a'+z/4, z)
		for i := range entries {
			vms = append(vms, fleet.VM{
				Name: fmt.Sprintf("e%d-%d", z, i), Role: fleet.RoleEntry, Zone: zone, Region: zone[:1], State: fleet.StateLive,
			})
		}
		for i := range targets {
			vms = append(vms, target(fmt.Sprintf("t%d-%d", z, i), zone).VM)
		}
	}
	return vms
}

// coverage counts how many entries keep a session to each target.
func coverage(vms []fleet.VM, size int) map[string]int {
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

// A target with which no entry keeps a session stands idle while others
// queue. Fleets of today's size and of the size to come leave none out, also
// where a zone has no entry of its own.
func TestEveryTargetIsInSomeSubset(t *testing.T) {
	tests := []struct {
		name                    string
		zones, entries, targets int
		size                    int
	}{
		{"a few entries", 3, 1, 4, 8},
		{"one zone of the size to come", 1, 22, 256, 24},
		{"zones of the size to come", 4, 22, 256, 32},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			idle, most, sum := 0, 0, 0
			got := coverage(zoneFleet(tt.zones, tt.entries, tt.targets), tt.size)
			for _, n := range got {
				most = max(most, n)
				sum += n
				if n == 0 {
					idle++
				}
			}
			t.Logf("%d targets, %d idle, %.1f entries each on average, %d at most", len(got), idle, float64(sum)/float64(len(got)), most)
			if idle > 0 {
				t.Errorf("%d of %d targets are in no subset", idle, len(got))
			}
		})
	}
	// The entries of zone 0 are gone; those of its region take its targets.
	var rest []fleet.VM
	for _, vm := range zoneFleet(2, 2, 6) {
		if vm.Role != fleet.RoleEntry || vm.Zone != "a0" {
			rest = append(rest, vm)
		}
	}
	for name, n := range coverage(rest, 12) {
		if n == 0 {
			t.Errorf("%s is in no subset after the entries of its zone went", name)
		}
	}
}
