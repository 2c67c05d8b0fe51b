package calls

// Phase is the progress of an attempt at the entry.
type Phase string

// The phases. Querying: the connection failed before the answer arrived, and the
// entry asks the side over a new connection what became of the call.
const (
	PhaseNew      Phase = "new"
	PhaseSent     Phase = "sent"
	PhaseQuerying Phase = "asking"
	PhaseSettled  Phase = "settled"
)

// Event is an input to an attempt's state machine.
type Event string

// The events.
//
// Sent: the call may have left the entry. Unsent: it certainly has not. Answered: the
// whole answer arrived. ConnectionLost: the connection failed or went silent.
// SideGone: the side no longer exists or has restarted. GiveUp: the caller's deadline
// passed or the caller disconnected.
const (
	EventSent           Event = "sent"
	EventUnsent         Event = "unsent"
	EventAnswered       Event = "answered"
	EventConnectionLost Event = "lost"
	EventSideGone       Event = "gone"
	EventGiveUp         Event = "giveUp"
)

// Step is the next action of the entry.
type Step string

// The steps. Wait: keep waiting. Query: send the side a query with MarkNever set over
// a new connection. Settle: report the outcome.
const (
	StepWait   Step = "wait"
	StepQuery  Step = "ask"
	StepSettle Step = "settle"
)

// Attempt is an entry's view of one attempt to run a once-call at one side. Values
// are comparable. Outcome is set once Phase is settled. If it is then OutcomeNotRun
// and the call is free, the call may be sent to another replica under a new ID.
type Attempt struct {
	Phase   Phase
	Outcome Outcome
	// Bound is set for a call with a ticket or an idempotency key. The same call may
	// reach the side through another entry too.
	Bound bool
}

// NewAttempt returns an attempt for a call that has not been sent.
func NewAttempt(b Binding) Attempt {
	return Attempt{Phase: PhaseNew, Bound: b != BindFree}
}

// Apply applies an event and returns the next step.
//
// After a lost connection it isn't known whether the call ran. The attempt therefore
// queries the side, and its outcome is notRun only if the side has marked the call as
// never to run.
func (a *Attempt) Apply(e Event) Step {
	if a.Phase == PhaseSettled {
		return StepSettle
	}
	switch e {
	case EventSent:
		a.Phase = PhaseSent
		return StepWait
	case EventUnsent:
		return a.onUnsent()
	case EventAnswered:
		return a.settle(OutcomeDone)
	case EventConnectionLost:
		a.Phase = PhaseQuerying
		return StepQuery
	}
	if a.Phase == PhaseNew && !a.Bound {
		return a.settle(OutcomeNotRun)
	}
	return a.settle(OutcomeUnknown)
}

// onUnsent settles a free call as notRun, as no other entry has its ID. A bound call
// may be running through another entry, so the side is queried.
func (a *Attempt) onUnsent() Step {
	if !a.Bound {
		return a.settle(OutcomeNotRun)
	}
	a.Phase = PhaseQuerying
	return StepQuery
}

// ApplyRefusal applies a refusal by the side.
func (a *Attempt) ApplyRefusal(o Outcome) Step {
	if a.Phase == PhaseSettled {
		return StepSettle
	}
	return a.settle(o)
}

// ApplyQueryResult applies the side's answer to a query with MarkNever set. If the
// call is absent, the side could not mark it, and it may still run.
func (a *Attempt) ApplyQueryResult(s State) Step {
	if a.Phase == PhaseSettled {
		return StepSettle
	}
	switch s {
	case StateRunning, StateDone:
		a.Phase = PhaseSent
		return StepWait
	case StateNever:
		return a.settle(OutcomeNotRun)
	default:
		return a.settle(OutcomeUnknown)
	}
}

func (a *Attempt) settle(o Outcome) Step {
	a.Phase = PhaseSettled
	a.Outcome = o
	return StepSettle
}
