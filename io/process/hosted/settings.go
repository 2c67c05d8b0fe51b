// Package hosted runs the two kinds of processes, entries and sides, on a platform that
// lists targets and configuration in a store of its own, which the system only reads.
// An entry accepts callers' requests and forwards each to a target; a side runs next to
// one engine, brings it new model versions and reports its load to entries. Package
// platform reads the settings and calls Entry.Run or Side.Run.
package hosted

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/lease"
)

// Settings are the settings of one process, read at its start. Of changes to them, only
// Seeds takes effect while the process runs.
type Settings struct {
	// VM describes this process to its peers. They identify each other by address, so
	// its name is the address; NodeName is the operators' name of the machine.
	VM       fleet.VM
	NodeName string
	// Regions maps each zone to its region.
	Regions map[string]string
	// Seeds are entries that read the store and are asked for its state by the other
	// processes. Some of them may be down.
	Seeds []netip.AddrPort
	// CallersAddr, ReadyAddr and ControlAddr are the addresses on which an entry listens for
	// callers, for the load balancer's readiness checks, and for peers.
	CallersAddr netip.AddrPort
	ReadyAddr   netip.AddrPort
	ControlAddr netip.AddrPort
	MetricsAddr netip.AddrPort
	StoreAddr   netip.AddrPort
	// EngineAddr is the address of the engine next to a side.
	EngineAddr netip.AddrPort
	// SidePort is the port on which every side listens for peers.
	SidePort uint16
	// MemoryLimit is the memory limit of the process in bytes, and LinkRate the
	// bandwidth of the VM's link in bytes per second.
	MemoryLimit int64
	LinkRate    int64
	Bounds      Bounds
}

// Bounds are the guarantees that the operator requires of the system.
type Bounds struct {
	// MinUndisturbed is how long a machine must have run undisturbed for the other bounds to
	// apply to it.
	MinUndisturbed time.Duration
	// DrainTime is how long a target may still get requests after it started leaving.
	DrainTime time.Duration
	// GracePeriod is the time between the platform's request to stop and the kill.
	GracePeriod time.Duration
	// ConfigDelay is the maximum time until a new configuration takes effect.
	ConfigDelay time.Duration
	// RevocationDelay is the maximum time for which a revoked key may still be accepted by any
	// process, also by one that is disconnected. It applies if StrictKeys is set.
	StrictKeys      bool
	RevocationDelay time.Duration
	// RetryRatio and RetrySlack limit the retries within any RetryWindow, over all
	// entries: RetryRatio relative to the requests, RetrySlack as a fixed allowance.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// OldVersionPeriod is the maximum time after the announcement of a version during which
	// requests may still start on an older one.
	OldVersionPeriod time.Duration
	// ColdRate says how far above its declared rate a cold target tolerates requests.
	ColdRate lease.Bound
	// Fencing is set if targets reject an order with an outdated number.
	Fencing bool
}

// Check returns an error for the first setting that is missing or invalid.
func (s Settings) Check() error {
	if err := s.VM.Check(); err != nil {
		return err
	}
	if !s.StoreAddr.IsValid() {
		return errors.New("address of the platform's store is missing")
	}
	if s.VM.Role == fleet.RoleEntry && (!s.CallersAddr.IsValid() || !s.ReadyAddr.IsValid()) {
		return errors.New("addresses for callers and for readiness are missing")
	}
	if s.VM.Role == fleet.RoleSide && (!s.EngineAddr.IsValid() || s.VM.Service == "") {
		return errors.New("the side's target or its service is missing")
	}
	if s.Bounds.GracePeriod <= 0 || s.Bounds.DrainTime <= 0 {
		return errors.New("bound on draining or grace period is missing or not positive")
	}
	return nil
}
