package hosted

import (
	"sync"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
)

// vmCache caches the VMs of one service for a snapshot of the platform's state: they are
// read more often than the snapshot changes. The zero value is ready to use.
type vmCache struct {
	mu    sync.Mutex
	facts *facts.Facts
	vms   []fleet.VM
}

// get returns this VM, first, and the other VMs of its service. The slice is shared and
// must not be modified.
func (c *vmCache) get(s Settings, f *facts.Facts) []fleet.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.facts != f || c.vms == nil {
		c.facts, c.vms = f, serviceVMs(s, f, s.VM.Service)
	}
	return c.vms
}
