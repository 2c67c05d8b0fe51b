// Package calls implements at-most-once execution of calls (once-calls), such as
// payments. It holds the state machines of both ends: Ledger is the record of calls
// that a side (the process next to a target) keeps, and Attempt is an entry's view of
// one attempt to run a call at a side.
//
// Package gate drives the Ledger of a side, package front the Attempts of an entry.
// The package has no I/O, goroutines or clock of its own; package proof explores the
// same code exhaustively.
package calls

import "github.com/cockroachdb/errors"

// ID identifies a call. IDs are unique over all entries and sides. A call without a
// ticket or key gets a new ID for each attempt; all repeats of a ticket or of an
// idempotency key have the same ID.
type ID string

// Outcome is what a caller is told about its call. No other values exist. It is not
// resend.Outcome, which is how one attempt of package direct ended.
type Outcome string

// The outcomes. Done: the call ran and was answered. NotRun: the call has not run and
// never will under its ID. Unknown: the call may or may not have run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "notRun"
	OutcomeUnknown Outcome = "unknown"
)

// Check returns an error unless o is one of the outcomes.
func (o Outcome) Check() error {
	switch o {
	case OutcomeDone, OutcomeNotRun, OutcomeUnknown:
		return nil
	}
	return errors.Newf("unknown outcome %q", string(o))
}

// State is what a side knows about a call.
type State string

// The states of a call.
//
// Absent: the side has no record of the call. Never: the call has not run and is
// marked so that it never will. Broken: the call reached the target, but the whole
// answer did not come back. Gone: the side can't tell, as its record may be lost: the
// call belongs to another boot, its record may have expired, or another side may have
// run it.
const (
	StateAbsent  State = "absent"
	StateRunning State = "running"
	StateDone    State = "done"
	StateNever   State = "never"
	StateBroken  State = "broken"
	StateGone    State = "gone"
)

// Check returns an error unless s is one of the states.
func (s State) Check() error {
	switch s {
	case StateAbsent, StateRunning, StateDone, StateNever, StateBroken, StateGone:
		return nil
	}
	return errors.Newf("unknown call state %q", string(s))
}

// Reason names the rule by which a side refused a call.
type Reason string

// The reasons for which a side refuses a call. Unserved: the target is not ready or
// answered 503. Busy: the side has as many calls as it may, or the target answered
// 429. OtherVersion: the target serves another version than the call requires.
// TargetBroke: the call reached the target and its answer did not come back whole.
// OtherRequest: the ticket or key was used for another request before.
const (
	ReasonStaleReading      Reason = "staleReading"
	ReasonOtherBoot         Reason = "otherBoot"
	ReasonTicketExpired     Reason = "ticketExpired"
	ReasonMarkedNever       Reason = "markedNever"
	ReasonTargetBroke       Reason = "targetBroke"
	ReasonLedgerFull        Reason = "ledgerFull"
	ReasonOtherRequest      Reason = "otherRequest"
	ReasonOwnerChanged      Reason = "ownerChanged"
	ReasonLeaving           Reason = "leaving"
	ReasonUnserved          Reason = "unserved"
	ReasonOtherVersion      Reason = "otherVersion"
	ReasonBusy              Reason = "busy"
	ReasonTargetUnreachable Reason = "targetUnreachable"
	ReasonTooLarge          Reason = "tooLarge"
	ReasonCancelled         Reason = "cancelled"
	ReasonTimeout           Reason = "timeout"
)
