// Package route chooses the target for a call.
package route

import (
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

// Priority is the class of a call; batch calls give way to interactive ones.
type Priority string

// The classes of call.
const (
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// Request is what is known of a call before a target is chosen. Prefix holds
// hashes of the prompt's leading blocks, the shortest prefix first. Version
// is set for a call that may only run on that version, such as a resumed
// stream. Avoid names targets that already failed this call.
type Request struct {
	ID       string
	Customer string
	Service  string
	Prefix   []uint64
	Priority Priority
	Deadline time.Time
	Once     bool
	Version  chunk.Digest
	Avoid    []string
}

// Report is a target's own account of its load. It arrives with a lag; At is
// the entry's clock when it came in.
type Report struct {
	At       time.Time
	Running  int
	Queued   int
	Capacity int
}

// Standing says whether a target may get new work.
type Standing string

// The standings of a target.
const (
	StandingReady    Standing = "ready"
	StandingLeaving  Standing = "leaving"
	StandingSilent   Standing = "silent"
	StandingUnserved Standing = "unserved"
)

// Candidate is one target as the entry sees it. InFlight counts this entry's
// own calls outstanding at the target.
type Candidate struct {
	VM       fleet.VM
	Standing Standing
	InFlight int
	Report   Report
	Serving  chunk.Digest
}

// Reason says which rule made the choice.
type Reason string

// Choice is the chosen target, the rule that chose it, and the candidates
// that were left out with the reason for each.
type Choice struct {
	VM     fleet.VM
	Reason Reason
	Left   []trail.Left
}
