package poison

import "time"

// Thresholds at which a request is suspected and blocked.
const (
	// suspectThreshold and blockThreshold are the numbers of target starts at which
	// attempts must have broken off, each sent after the failure before it. A crash
	// breaks off all attempts at its target, so harmless requests fail as well; but that
	// this happens to the same harmless request three times, without a success in
	// between, is rare.
	suspectThreshold = 2
	blockThreshold   = 3
	// blockDuration is how long after its last failure a request is refused. Then it
	// is accepted again, and one more failure blocks it again.
	blockDuration = 10 * time.Minute
)

// Times by which a target that survived a failure is distinguished from one that
// crashed.
const (
	// survivalDelay is how long after a failure an answer must complete to prove that
	// its target survived. lateReadDelay is the same for an answer whose request was
	// sent before the failure: what a target sent before it crashed may be read
	// later, by a slow process or over a link that loses packets.
	survivalDelay = 200 * time.Millisecond
	lateReadDelay = 2 * time.Second
	// minRestartTime is shorter than any target takes to restart. A request that was
	// sent later than this after the failure may have been answered by the target's
	// successor, which may have its name.
	minRestartTime = time.Second
	// crashListingTimeout is how long after a crash the listing no longer has the
	// start that crashed, because the target has missed its heartbeats or has
	// restarted.
	crashListingTimeout = 15 * time.Second
	// restartListingDelay is how long after the first answer of a restarted target
	// the listing has its new start.
	restartListingDelay = 3 * time.Second
	// undecidedDuration is how long after a failure its target may still prove to
	// have survived. Until then callers are told to retry at its end, and not after
	// blockDuration.
	undecidedDuration = survivalDelay + minRestartTime
	// MinInnocentRun is how long an answer must have been going on for its request
	// not to count as the cause of the crash. A request that crashes its target does
	// so at the beginning; this one broke off in a crash that another request caused.
	MinInnocentRun = time.Second
	// sameFailureWindow is the greatest difference between the times that different
	// processes assign to the same failure, due to rounding of ages and delays of
	// messages.
	sameFailureWindow = time.Second
)

// Bounds of a ledger. maxOnce and maxRepeated are the most subjects with one failure and
// with more, and maxStarts the most target starts in it; beyond them the ones renewed
// longest ago are forgotten. maxFailures is the most failures kept of one subject; beyond
// it the least informative one is dropped, and a Note with more is invalid. A record
// expires recordMaxAge after the last failure, success or repeat of its subject. The
// subjects that failed at a target start are only of interest for maxAnswerTime, as long
// as an answer may last.
const (
	maxOnce     = 3072
	maxRepeated = 1024
	maxStarts   = 512
	maxFailures = 8
	// maxSubjectsPerStart is the most subjects recorded as failed at one target start.
	maxSubjectsPerStart = 256
	recordMaxAge        = time.Hour
	maxAnswerTime       = time.Minute
)

// Incarnation identifies one start of a target, so that a target that restarts under
// the same name counts as a different one. StartedAtMillis is the start time in Unix
// milliseconds, or zero if the target does not report it. Comments and names call it
// a target start.
type Incarnation struct {
	Target          string `msgpack:"target"`
	StartedAtMillis int64  `msgpack:"born"`
}

// NewIncarnation returns the incarnation of a target that started at startedAt, the
// zero time if the target does not report it.
func NewIncarnation(target string, startedAt time.Time) Incarnation {
	if startedAt.IsZero() {
		return Incarnation{Target: target}
	}
	return Incarnation{Target: target, StartedAtMillis: startedAt.UnixMilli()}
}

// State is the classification of a request or of a part of prompts.
type State string

// The states.
const (
	StateClear     State = "cleared"
	StateSuspected State = "suspected"
	StateBlocked   State = "blocked"
)

// blockedFor returns how much longer a subject is refused that is for the given duration
// after its last failure, or false if it isn't any more.
func blockedFor(now, last time.Time, duration time.Duration) (time.Duration, bool) {
	since := now.Sub(last)
	switch {
	case since >= duration:
		return 0, false
	case since < undecidedDuration:
		return undecidedDuration - since, true
	default:
		return duration - since, true
	}
}

// Ledger classifies requests. The zero value is ready to use. It isn't safe for concurrent
// use.
type Ledger struct{ records[Fingerprint] }

// RecordFailure records that an attempt sent at sentAt broke off at a target start after
// its answer had been going on for ran. It reports whether the failure counts.
func (l *Ledger) RecordFailure(now, sentAt time.Time, k Fingerprint, at Incarnation, ran time.Duration) bool {
	if ran >= MinInnocentRun {
		return false
	}
	l.recordFailure(now, sentAt, k, at)
	return true
}

// State returns the classification of a request.
func (l *Ledger) State(now time.Time, k Fingerprint) State {
	r := l.record(now, k)
	if r == nil {
		return StateClear
	}
	n, _ := r.suspectedCrashes()
	switch {
	case n >= blockThreshold:
		return StateBlocked
	case n >= suspectThreshold:
		return StateSuspected
	default:
		return StateClear
	}
}

// Blocked reports whether a request is refused, and after what time its caller may
// retry. The look-up renews the request's record, so that a request that is refused
// all the time is not forgotten.
func (l *Ledger) Blocked(now time.Time, k Fingerprint) (time.Duration, bool) {
	r := l.record(now, k)
	if r == nil {
		return 0, false
	}
	l.put(now, k, r)
	n, last := r.suspectedCrashes()
	if n < blockThreshold {
		return 0, false
	}
	return blockedFor(now, last, blockDuration)
}
