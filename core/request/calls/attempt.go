package calls

// Phase is how far an entry has come with one attempt at one side.
type Phase string

// The phases. Asking means that the connection failed with the call
// outstanding and the side is asked over a new one.
const (
	PhaseNew     Phase = "new"
	PhaseSent    Phase = "sent"
	PhaseAsking  Phase = "asking"
	PhaseSettled Phase = "settled"
)

// Event is something that happens to an attempt at the entry.
type Event string

// The events. Sent: the start may have left. Unsent: it certainly did not.
// Answered: the whole answer came. Lost: the connection failed or went
// silent. Gone: the side is no longer there, or is another boot. GiveUp: the
// caller's deadline passed or the caller left.
const (
	EventSent     Event = "sent"
	EventUnsent   Event = "unsent"
	EventAnswered Event = "answered"
	EventLost     Event = "lost"
	EventGone     Event = "gone"
	EventGiveUp   Event = "giveUp"
)

// Step is what the entry does next.
type Step string

// The steps: keep waiting; ask the side over a new connection, with the
// mark; tell the outcome.
const (
	StepWait   Step = "wait"
	StepAsk    Step = "ask"
	StepSettle Step = "settle"
)

// Attempt is the entry's view of a once-call at one side. It is a comparable
// value. Outcome is set once Phase is settled; NotRun then also means that
// another replica may get the call under a new ID.
type Attempt struct {
	Phase   Phase
	Outcome Outcome
	// Bound is set for a call with a ticket or key: the same call may have
	// come to the side through another entry.
	Bound bool
}

// NewAttempt returns an attempt that has not been sent.
func NewAttempt(b Binding) Attempt {
	return Attempt{Phase: PhaseNew, Bound: b != BindFree}
}

// On takes an event in.
//
// A lost connection says nothing of whether the call ran, so the attempt
// never settles on it alone: it asks, and only the side's mark makes it
// notRun.
func (a *Attempt) On(e Event) Step {
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
		return a.settle(Done)
	case EventLost:
		a.Phase = PhaseAsking
		return StepAsk
	}
	if a.Phase == PhaseNew && !a.Bound {
		return a.settle(NotRun)
	}
	return a.settle(Unknown)
}

// onUnsent settles a free call as notRun: nobody else has its ID. A bound
// one may run through another entry, so only its side can tell.
func (a *Attempt) onUnsent() Step {
	if !a.Bound {
		return a.settle(NotRun)
	}
	a.Phase = PhaseAsking
	return StepAsk
}

// OnRefused takes in the side's refusal.
func (a *Attempt) OnRefused(o Outcome) Step {
	if a.Phase == PhaseSettled {
		return StepSettle
	}
	return a.settle(o)
}

// OnVerdict takes in the side's answer to a query with the mark. An absent
// call was not marked, so it may still run.
func (a *Attempt) OnVerdict(s State) Step {
	if a.Phase == PhaseSettled {
		return StepSettle
	}
	switch s {
	case StateRunning, StateDone:
		a.Phase = PhaseSent
		return StepWait
	case StateNever:
		return a.settle(NotRun)
	default:
		return a.settle(Unknown)
	}
}

func (a *Attempt) settle(o Outcome) Step {
	a.Phase = PhaseSettled
	a.Outcome = o
	return StepSettle
}
