// Package fleet holds what the system knows of machines: VMs, availability
// zones and regions, as the platform's VM list and the peers report them.
package fleet

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// State is a VM's standing in the platform's VM list.
type State string

// The states of a VM. A leaving VM gets no new work.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Role says which process of the system runs on a VM.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// VM is one machine of the fleet. Address is where the system's process on
// that VM accepts its peers. Service names the service whose replica the
// VM's target is; it is empty for an entry.
type VM struct {
	Name    string         `json:"name" msgpack:"name"`
	Role    Role           `json:"role" msgpack:"role"`
	Zone    string         `json:"zone" msgpack:"zone"`
	Region  string         `json:"region" msgpack:"region"`
	Service string         `json:"service,omitempty" msgpack:"service,omitempty"`
	Address netip.AddrPort `json:"address" msgpack:"address"`
	State   State          `json:"state" msgpack:"state"`
}

// Check reports the first field that is out of its domain.
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
