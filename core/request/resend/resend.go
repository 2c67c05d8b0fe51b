// Package resend decides whether a request that an entry sends to targets itself
// is sent once more, and whether its caller may be told that it has not run.
package resend

// Outcome is how one attempt ended.
type Outcome string

// The outcomes of an attempt. Relayed means that the caller has the whole answer;
// Broken that the answer ended early or never came, after the request may have
// run; Failure is a failure that the target itself answered. LateReply is an
// answer to another request. Moved is an attempt whose answer goes on at another
// target, Dropped one that the entry has no more use for.
const (
	Relayed   Outcome = "relayed"
	Failure   Outcome = "failureOfTarget"
	NotRun    Outcome = "notRun"
	Unsent    Outcome = "unsent"
	Broken    Outcome = "broken"
	Caller    Outcome = "callerGone"
	LateReply Outcome = "replyOfAnother"
	Moved     Outcome = "moved"
	Dropped   Outcome = "dropped"
)

// maxUnreached bounds the targets tried that were not reached: each costs
// time that the caller does not have.
const maxUnreached = 4

// Tries follows the attempts at one request. Set the exported fields before the
// first call.
type Tries struct {
	// Repeatable is set for a request that may run more than once.
	Repeatable bool
	// Most is how many targets the request may reach.
	Most int

	reached   int
	unreached int
	// ran is set while the request may have run; ranBefore is the same before
	// the attempt under way.
	ran       bool
	ranBefore bool
}

// Sent tells that the request is about to be written to a target. From then on it
// may run, whatever becomes of the connection.
func (t *Tries) Sent() {
	t.reached++
	t.ranBefore = t.ran
	t.ran = true
}

// After takes the end of an attempt, and reports whether another may follow.
func (t *Tries) After(o Outcome) bool {
	switch o {
	case Unsent:
		t.unreached++
		return t.unreached < maxUnreached
	case NotRun:
		// The target itself says so; no other end of a connection does.
		t.ran = t.ranBefore
	case Broken, Failure, LateReply:
		if !t.Repeatable {
			return false
		}
	case Relayed, Caller:
		return false
	}
	return t.reached < t.Most
}

// Left is to how many more targets the request may go from one that has it.
func (t *Tries) Left() int {
	if !t.Repeatable || t.unreached >= maxUnreached {
		return 0
	}
	return max(t.Most-t.reached, 0)
}

// MayRefuse reports whether the caller may be told that its request has not run
// and never will.
func (t *Tries) MayRefuse() bool { return !t.ran }
