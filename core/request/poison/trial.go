package poison

import "time"

// Bounds of the trials of a blocked request.
const (
	// trialInterval is the minimum time between two trials in one process.
	trialInterval = 250 * time.Millisecond
	// maxTrialAge is how long after an attempt was sent its target start may get a trial. A target
	// that crashed under it cannot be reached until it has restarted, and a trial takes a while
	// to reach it. The failure itself may have been read late.
	maxTrialAge = minRestartTime - 200*time.Millisecond
	// maxTrials is the number of trials in one process without a success in between. It bounds
	// the crashes at targets that restart faster than minRestartTime.
	maxTrials = 40
)

// Trial is a permission to send a blocked request once more.
type Trial struct {
	// Starts are the target starts that may get it, none if there is no trial.
	Starts []Incarnation
	// SendBy is when the request must have been sent.
	SendBy time.Time
}

// Trial returns where a blocked request may be sent once more, and counts that as a trial.
// Targets that drop connections and go on break off attempts just as those that crash do; while
// the request is blocked, only a trial can show that they survive. It is sent to a target at
// which an attempt of this process has just broken off. If that one crashed, it cannot be reached yet; if it
// survived, the trial succeeds, or breaks off and allows another one.
func (l *Ledger) Trial(now time.Time, k Fingerprint) Trial {
	r := l.record(now, k)
	if r == nil || r.trials >= maxTrials || now.Sub(r.lastTrial) < trialInterval {
		return Trial{}
	}
	var t Trial
	for _, f := range r.failures {
		by := f.sentAt.Add(maxTrialAge)
		if !f.seenHere || now.Sub(f.at) < survivalDelay || !now.Before(by) {
			continue
		}
		if len(t.Starts) == 0 || by.Before(t.SendBy) {
			t.SendBy = by
		}
		t.Starts = append(t.Starts, f.start)
	}
	if len(t.Starts) > 0 {
		r.trials++
		r.lastTrial = now
	}
	return t
}
