// Package calls decides what becomes of calls that must run at most once. It
// holds the state machines of both ends: the side's ledger of calls and the
// entry's view of one attempt. It has no socket, goroutine or clock of its
// own.
package calls

import "github.com/cockroachdb/errors"

// ID names one attempt to run a call. It is unique over all entries and
// sides; a repeat of the same ticket or idempotency key has the same ID.
type ID string

// Outcome is what a caller is told of its call. The set is closed.
type Outcome string

// The outcomes. Done means that the call ran and was answered. NotRun means
// that it did not run and never will under its ID. Unknown means that it may
// or may not have run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Check reports whether o is one of the outcomes.
func (o Outcome) Check() error {
	switch o {
	case Done, NotRun, Unknown:
		return nil
	}
	return errors.Newf("unknown outcome %q", string(o))
}

// State is what a side knows of a call.
type State string

// The states. Absent is a call of which the side holds no record; Gone is a
// call whose record may have been lost, because it belongs to another boot or
// its record has passed its age. Broken is a call that reached the target and
// whose answer did not come back whole.
const (
	StateAbsent  State = "absent"
	StateRunning State = "running"
	StateDone    State = "done"
	StateNever   State = "never"
	StateBroken  State = "broken"
	StateGone    State = "gone"
)

// Check reports whether s is one of the states.
func (s State) Check() error {
	switch s {
	case StateAbsent, StateRunning, StateDone, StateNever, StateBroken, StateGone:
		return nil
	}
	return errors.Newf("unknown call state %q", string(s))
}

// Reason says which rule refused a call.
type Reason string

// The reasons for which a side refuses a call.
const (
	ReasonStale    Reason = "staleReading"
	ReasonBoot     Reason = "otherBoot"
	ReasonExpired  Reason = "ticketExpired"
	ReasonNever    Reason = "markedNever"
	ReasonBroken   Reason = "targetBroke"
	ReasonFull     Reason = "ledgerFull"
	ReasonMismatch Reason = "otherRequest"
	ReasonYoung    Reason = "ownerChanged"
	ReasonLeaving  Reason = "leaving"
	ReasonUnserved Reason = "unserved"
	ReasonVersion  Reason = "otherVersion"
	ReasonBusy     Reason = "busy"
	ReasonTarget   Reason = "targetUnreachable"
	ReasonTooLarge Reason = "tooLarge"
	ReasonCancel   Reason = "cancelled"
	ReasonTimeout  Reason = "timeout"
)
