// Package fleet defines the machines of the system, as reported by the
// platform's VM list and by peers: VMs with their role, availability zone and
// region.
package fleet

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// State is the state of a VM in the platform's VM list.
type State string

// The states of a VM. A leaving VM gets no new work.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Role is the kind of process that runs on a VM.
type Role string

// The roles of a process. An entry accepts callers' requests and chooses a target
// for each; a side runs next to one target and passes the calls on to it.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// VM is one machine of the fleet. Address is where the system's process on that
// VM accepts connections from peers. Service is the service of which the VM's
// target is a replica; it is empty for an entry.
type VM struct {
	Name    string         `json:"name" msgpack:"name"`
	Role    Role           `json:"role" msgpack:"role"`
	Zone    string         `json:"zone" msgpack:"zone"`
	Region  string         `json:"region" msgpack:"region"`
	Service string         `json:"service,omitempty" msgpack:"service,omitempty"`
	Address netip.AddrPort `json:"address" msgpack:"address"`
	State   State          `json:"state" msgpack:"state"`
}

// Check returns an error for the first field that is missing or invalid.
func (v VM) Check() error {
	if v.Name == "" {
		return errors.New("vm: name is empty")
	}
	if v.Role != RoleEntry && v.Role != RoleSide {
		return errors.Newf("vm %s: unknown role %q", v.Name, v.Role)
	}
	if v.State != StateLive && v.State != StateLeaving {
		return errors.Newf("vm %s: unknown state %q", v.Name, v.State)
	}
	if v.Zone == "" || v.Region == "" {
		return errors.Newf("vm %s: zone or region is empty", v.Name)
	}
	if !v.Address.IsValid() {
		return errors.Newf("vm %s: address is not an IP and port", v.Name)
	}
	return nil
}
