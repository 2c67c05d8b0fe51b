package hosted

import (
	"sync"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
)

// roster keeps the VMs of one service as they follow from the facts in force: they
// are asked for more often than those change. The zero value is ready.
type roster struct {
	mu    sync.Mutex
	facts *facts.Facts
	vms   []fleet.VM
}

// of returns this VM and the others of its service. The list is shared and must not
// be changed.
func (r *roster) of(s Settings, f *facts.Facts) []fleet.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.facts != f || r.vms == nil {
		r.facts, r.vms = f, vmsOf(s, f, s.VM.Service)
	}
	return r.vms
}
