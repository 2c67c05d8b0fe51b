// Package hosted runs the entry and the side on a platform that lists targets
// and configuration in a store of its own, which the system only reads.
package hosted

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
)

// Settings is what a process is told at its start.
type Settings struct {
	// VM is this process for its peers. They know each other by address, so
	// that is its name; Node is what operators call the machine.
	VM   fleet.VM
	Node string
	// Regions maps each zone to its region.
	Regions map[string]string
	// Seeds are processes to ask about the others; some may be gone.
	Seeds []netip.AddrPort
	// Callers, Ready and Control are an entry's addresses for callers, for
	// the balancer's question whether it is ready, and for peers.
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Control netip.AddrPort
	Metrics netip.AddrPort
	Store   netip.AddrPort
	// Target is the engine beside a side.
	Target netip.AddrPort
	// SidePort is where every side takes its peers.
	SidePort uint16
	// Memory is the limit of the process and Link the rate of the machine's
	// link, in bytes and bytes a second.
	Memory int64
	Link   int64
	Bounds Bounds
}

// Bounds are the promises that the operator has the system keep.
type Bounds struct {
	// Contact is how long a machine must have been undisturbed for the
	// others to hold for it.
	Contact time.Duration
	// Drain is how long after a target's leaving it may still get requests.
	Drain time.Duration
	// Grace is the time from the request to stop to the kill.
	Grace time.Duration
	// Apply is how long a configuration may take to be in force.
	Apply time.Duration
	// StrictKeys and Revoke bound how long a revoked key may be honoured,
	// by every machine, also by one that is cut off.
	StrictKeys bool
	Revoke     time.Duration
	// RetryRatio and RetrySlack bound the requests sent once more within any
	// RetryWindow, over all entries.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// Version is how long after its naming a version may take until no
	// request begins on an older one.
	Version time.Duration
	// Fencing is set where targets refuse an order with an old number.
	Fencing bool
}

// Check reports the first setting that is missing or out of its domain.
func (s Settings) Check() error {
	if err := s.VM.Check(); err != nil {
		return err
	}
	if !s.Store.IsValid() {
		return errors.New("address of the platform's store is missing")
	}
	if s.VM.Role == fleet.RoleEntry && (!s.Callers.IsValid() || !s.Ready.IsValid()) {
		return errors.New("addresses for callers and for readiness are missing")
	}
	if s.VM.Role == fleet.RoleSide && (!s.Target.IsValid() || s.VM.Service == "") {
		return errors.New("the side's target or its service is missing")
	}
	if s.Bounds.Grace <= 0 || s.Bounds.Drain <= 0 {
		return errors.New("bounds of draining are missing")
	}
	return nil
}
