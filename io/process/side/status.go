package side

import (
	"hawthornferry/core/version/roll"
	"hawthornferry/io/process/admin"
)

// addStatus adds the rollout and the target of this side to a status.
func (s *Side) addStatus(st *admin.Status) {
	st.Targets = []admin.Target{s.target()}
	if s.node != nil {
		st.Rollouts = s.rollouts()
	}
}

func (s *Side) target() admin.Target {
	vm := s.Process.Self.VM
	return admin.Target{
		Name:     vm.Name,
		Service:  vm.Service,
		Zone:     vm.Zone,
		State:    string(vm.State),
		Serving:  s.gate.ServedVersion(),
		InFlight: s.gate.InFlight(),
	}
}

func (s *Side) rollouts() []admin.Rollout {
	want, ok := roll.WantOf(s.Process.Watcher.Current(), s.Process.Self.VM)
	if !ok || !want.Placed {
		return nil
	}
	var out []admin.Rollout
	for _, p := range s.node.Progress() {
		z := admin.Progress{Zone: want.Zone, Wanted: 1, ChunksHeld: p.Held, ChunksTotal: p.Total}
		if p.Verified {
			z.Staged = 1
		}
		if s.gate.ServedVersion() == p.Wanted.Manifest {
			z.Serving = 1
		}
		out = append(out, admin.Rollout{
			Service:  want.Service.Name,
			Model:    p.Wanted.Model,
			Version:  p.Wanted.Version,
			Manifest: p.Wanted.Manifest,
			Zones:    []admin.Progress{z},
		})
	}
	return out
}
