// Package roll decides which VMs serve a service and when each of them loads a new
// version, so that a minimum number of replicas, the floor, keeps serving meanwhile.
// It needs no coordinator: the replicas are the first VMs by rendezvous hash, and a
// side (the process beside one target) asks the other replicas of its availability
// zone before it orders its target to load. io/version/order calls Machine and does
// the network work; io/process/side calls WantOf and io/version/swarm calls
// PlacedVMs.
package roll

import (
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/rank"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/chunk"
)

// Want is what the current document requires of one VM's target. Placed is
// false for a VM beyond the wanted number of replicas. Peers are the other
// placed VMs of the same service and zone. Rank is this VM's place among them
// in the order of loading, 0 being the first.
type Want struct {
	Revision uint64
	Service  envdoc.Service
	Zone     string
	Placed   bool
	Model    string
	Version  string
	Manifest chunk.Digest
	Peers    []fleet.VM
	Rank     int
}

// WantOf returns what view v requires of self. It returns false when there is
// no document yet or the document does not contain the VM's service.
func WantOf(v view.View, self fleet.VM) (Want, bool) {
	if v.Document == nil {
		return Want{}, false
	}
	svc, ok := v.Document.ServiceByName(self.Service)
	if !ok {
		return Want{}, false
	}
	w := Want{Revision: v.Document.Revision, Service: svc, Zone: self.Zone}
	placed := PlacedVMs(v, svc, self)
	for _, vm := range placed {
		if vm.Name == self.Name {
			w.Placed = true
			continue
		}
		w.Peers = append(w.Peers, vm)
	}
	if m, ok := v.Document.ModelByName(svc.Model); ok && svc.Kind == envdoc.KindEngine {
		w.Model = m.Name
		w.Version = m.Version
		w.Manifest = m.Manifest
	}
	w.Rank = loadRank(w, self.Name)
	return w, true
}

// PlacedVMs returns the VMs that serve svc in the zone of self: the first live VMs
// by rendezvous hash, as many as the document asks for. self is counted even when
// the VM list, which lags behind, does not contain it yet; otherwise a new VM would
// wait for the list before it fetches its first byte.
func PlacedVMs(v view.View, svc envdoc.Service, self fleet.VM) []fleet.VM {
	var live []fleet.VM
	seen := false
	for _, vm := range v.VMs {
		if vm.Name == self.Name {
			seen = true
		}
		if isReplica(vm, svc.Name, self.Zone) {
			live = append(live, vm)
		}
	}
	if !seen && self.Service == svc.Name {
		live = append(live, self)
	}
	ordered := rank.Order(svc.Name+"/"+self.Zone, live, vmName)
	return ordered[:min(len(ordered), wantedReplicas(svc, self.Zone))]
}

func isReplica(vm fleet.VM, service, zone string) bool {
	return vm.Role == fleet.RoleSide &&
		vm.State == fleet.StateLive &&
		vm.Service == service &&
		vm.Zone == zone
}

func wantedReplicas(svc envdoc.Service, zone string) int {
	for _, p := range svc.Replicas {
		if p.Zone == zone {
			return p.Replicas
		}
	}
	return 0
}

func loadRank(w Want, self string) int {
	names := []string{self}
	for _, p := range w.Peers {
		names = append(names, p.Name)
	}
	return rank.Position(string(w.Manifest), self, names)
}

func vmName(vm fleet.VM) string { return vm.Name }
