// Package resend decides whether an entry (the process that accepts callers' requests)
// may send a request to another target, and whether its caller may be told that the
// request has not run. Package direct calls it.
package resend

// Outcome is how one attempt ended. It is not calls.Outcome, which is what a caller is
// told.
type Outcome string

// The outcomes of an attempt. Relayed means that the caller has the whole answer,
// NotRun that the target rejected the request before running it, and Unreached that the
// target was not reached. Broken means that the answer ended early or never came, after
// the request may have run. TargetFailure is an error that the target itself answered,
// CallerGone means that the caller went away, and MismatchedReply is an answer to
// another request. Moved is an attempt whose answer goes on at another target, Dropped
// one that the entry no longer needs. After Moved and Dropped another attempt may follow
// as long as MaxAttempts allows.
const (
	Relayed         Outcome = "relayed"
	TargetFailure   Outcome = "failureOfTarget"
	NotRun          Outcome = "notRun"
	Unreached       Outcome = "unsent"
	Broken          Outcome = "broken"
	CallerGone      Outcome = "callerGone"
	MismatchedReply Outcome = "replyOfAnother"
	Moved           Outcome = "moved"
	Dropped         Outcome = "dropped"
)

// maxUnreached bounds the attempts that did not reach a target. Each costs time that
// the caller does not have.
const maxUnreached = 4

// AttemptTracker tracks the attempts at one request. Set the exported fields before the
// first call.
type AttemptTracker struct {
	// Repeatable is set for a request that may run more than once.
	Repeatable bool
	// MaxAttempts is the maximum number of targets that the request may reach.
	MaxAttempts int

	reached   int
	unreached int
	// mayHaveRun is set if the request may have run, mayHaveRunBefore if it may have
	// done so before the present attempt.
	mayHaveRun       bool
	mayHaveRunBefore bool
}

// Sent records that the request is about to be written to a target. From then on it may
// run, even if the connection breaks.
func (t *AttemptTracker) Sent() {
	t.reached++
	t.mayHaveRunBefore = t.mayHaveRun
	t.mayHaveRun = true
}

// Ended records how an attempt ended, and reports whether another may follow.
func (t *AttemptTracker) Ended(o Outcome) bool {
	switch o {
	case Unreached:
		t.unreached++
		return t.unreached < maxUnreached
	case NotRun:
		// Only the target's own answer proves that the request has not run.
		t.mayHaveRun = t.mayHaveRunBefore
	case Broken, TargetFailure, MismatchedReply:
		if !t.Repeatable {
			return false
		}
	case Relayed, CallerGone:
		return false
	}
	return t.reached < t.MaxAttempts
}

// Remaining returns how many more targets may get the request while one has it.
func (t *AttemptTracker) Remaining() int {
	if !t.Repeatable || t.unreached >= maxUnreached {
		return 0
	}
	return max(t.MaxAttempts-t.reached, 0)
}

// MayRefuse reports whether the caller may be told that its request has not run and
// never will.
func (t *AttemptTracker) MayRefuse() bool { return !t.mayHaveRun }
