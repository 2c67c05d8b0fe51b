// Package picker is the load balancer of an entry that sends calls to the sides of
// targets: it chooses the target of each call, by prompt prefix affinity, load, speed
// and zone, and the subset of targets to which an entry keeps sessions.
//
// Package front calls it with what it knows of its targets. Package place is the
// counterpart for the entries of package hosted. The package does no I/O and reads no
// clock; callers pass the time in.
package picker

import (
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

// Priority is the class of a call. Batch calls yield to interactive ones.
type Priority string

// The priorities of a call.
const (
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// Request describes a call before a target is chosen.
//
// PrefixHashes holds hashes of the prompt's leading blocks, the shortest prefix
// first. Version, if set, is the only version that may run the call, such as for a
// resumed stream. FailedTargets lists targets that have already failed this call.
// Choose reads Service, PrefixHashes, Version and FailedTargets only; package front
// passes ID, Customer, Service, Priority and Deadline to package admit. Nothing
// reads AtMostOnce.
type Request struct {
	ID            string
	Customer      string
	Service       string
	PrefixHashes  []uint64
	Priority      Priority
	Deadline      time.Time
	Version       chunk.Digest
	FailedTargets []string
}

// LoadReport is the load that a target has reported. Reports lag behind the actual
// load; ReceivedAt is the entry's time at which the report arrived.
type LoadReport struct {
	ReceivedAt time.Time
	Running    int
	Queued     int
	Capacity   int
}

// Availability says whether a target may get new calls.
type Availability string

// The values of Availability. Any other than ready excludes the target, and its value
// is logged as the reason. Leaving: the target gets no new work. Silent: there is no
// session to its side. Unserved: its side reports that the target is not ready.
const (
	AvailabilityReady    Availability = "ready"
	AvailabilityLeaving  Availability = "leaving"
	AvailabilitySilent   Availability = "silent"
	AvailabilityUnserved Availability = "unserved"
)

// Candidate is a target as the entry sees it. InFlight counts this entry's own
// outstanding calls at the target.
type Candidate struct {
	VM            fleet.VM
	Availability  Availability
	InFlight      int
	Report        LoadReport
	ServedVersion chunk.Digest
}

// Reason names the rule by which a target was chosen. It is written to the decision
// log.
type Reason string

// Choice is the chosen target, the rule that chose it, and each excluded candidate
// with the reason for its exclusion.
type Choice struct {
	VM       fleet.VM
	Reason   Reason
	Excluded []trail.Exclusion
}
