package poison

import (
	"cmp"
	"slices"
	"time"

	"hawthornferry/core/process/ttlmap"
)

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
	// minInnocentRun is how long an answer must have been going on for its request
	// not to count as the cause of the crash. A request that crashes its target does
	// so at the beginning; this one broke off in a crash that another request caused.
	minInnocentRun = time.Second
	// sameFailureWindow is the greatest difference between the times that different
	// processes assign to the same failure, due to rounding of ages and delays of
	// messages.
	sameFailureWindow = time.Second
)

// Bounds of a ledger. maxRequests and maxStarts are the most requests and target
// starts in it; beyond them the ones renewed longest ago are forgotten. maxFailures
// is the most failures kept of one request; beyond it the oldest is dropped, and a
// Note with more is invalid. A request's record expires recordMaxAge after its last
// failure, success or repeat. The requests that broke off at a target start are only
// of interest for maxAnswerTime, as long as an answer may last.
const (
	maxRequests = 4096
	maxStarts   = 512
	maxFailures = 8
	// maxFingerprintsPerStart is the most requests recorded as broken off at one target
	// start.
	maxFingerprintsPerStart = 256
	recordMaxAge            = time.Hour
	maxAnswerTime           = time.Minute
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

// State is the classification of a request.
type State string

// The states of a request.
const (
	StateClear     State = "cleared"
	StateSuspected State = "suspected"
	StateBlocked   State = "blocked"
)

// failure is an attempt that broke off while its target may have been running the
// request.
type failure struct {
	// sentAt is when the attempt was sent, and at when it broke off.
	sentAt time.Time
	at     time.Time
	// firstAnswer is when the target, or a successor with its name, first answered
	// after the failure, or zero if it has not.
	firstAnswer time.Time
	// survived is set once the target is known not to have crashed.
	survived bool
}

// survivalDelayFor returns how long after the failure an answer must complete to
// prove that the target survived. sentAt is when the request of the answer was sent.
func (f failure) survivalDelayFor(sentAt time.Time) time.Duration {
	if sentAt.After(f.at) {
		return survivalDelay
	}
	return lateReadDelay
}

// listingProvesSurvival reports whether the listing is recent enough for the start to
// have survived if it is still listed.
func (f failure) listingProvesSurvival(now time.Time) bool {
	return now.Sub(f.at) >= crashListingTimeout || !f.firstAnswer.IsZero() && now.Sub(f.firstAnswer) >= restartListingDelay
}

// record is what is known of one request.
type record struct {
	failures map[Incarnation]failure
	// lastSuccess is when the request last completed successfully, or zero if never.
	lastSuccess time.Time
}

// suspectedCrashes returns how many target starts the request may have crashed one
// after the other, and the time of the last failure among them. An attempt that was
// under way when another one broke off doesn't count beside it: when targets crash
// together for another reason, all attempts at them break off at the same time.
func (r *record) suspectedCrashes() (n int, last time.Time) {
	for _, f := range r.unexplainedFailures() {
		if n > 0 && f.sentAt.Before(last) {
			continue
		}
		n++
		last = f.at
	}
	return n, last
}

// unexplainedFailures returns the failures that the request may have caused, sorted by
// time. Failures before the last success are not among them: a poison request crashes
// every target, so a success shows that the earlier failures had another cause.
func (r *record) unexplainedFailures() []failure {
	var out []failure
	for _, f := range r.failures {
		if !f.survived && f.at.After(r.lastSuccess) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b failure) int { return cmp.Or(a.at.Compare(b.at), a.sentAt.Compare(b.sentAt)) })
	return out
}

// setFailure sets the failure at a target start. If the record is full, it drops the
// oldest failure.
func (r *record) setFailure(at Incarnation, f failure) {
	if _, known := r.failures[at]; !known && len(r.failures) >= maxFailures {
		delete(r.failures, r.oldest())
	}
	r.failures[at] = f
}

// oldest returns the target start with the oldest failure.
func (r *record) oldest() Incarnation {
	var oldest Incarnation
	var since time.Time
	for at, f := range r.failures {
		if since.IsZero() || f.at.Before(since) {
			oldest, since = at, f.at
		}
	}
	return oldest
}

// Ledger records at which target starts the attempts of each request broke off. The
// zero value is ready to use. It isn't safe for concurrent use.
type Ledger struct {
	requests ttlmap.Map[Fingerprint, *record]
	// fingerprintsByStart holds the requests that recently broke off at each target start.
	fingerprintsByStart ttlmap.Map[Incarnation, []Fingerprint]
}

func (l *Ledger) init() {
	l.requests.MaxEntries, l.requests.TTL = maxRequests, recordMaxAge
	l.fingerprintsByStart.MaxEntries, l.fingerprintsByStart.TTL = maxStarts, maxAnswerTime
}

// Len returns the number of known requests.
func (l *Ledger) Len() int { return l.requests.Len() }

// record returns the record of a request, or nil if there is none.
func (l *Ledger) record(now time.Time, k Fingerprint) *record {
	l.init()
	r, _ := l.requests.Get(now, k)
	return r
}

// RecordFailure records that an attempt sent at sentAt broke off at a target start after
// its answer had been going on for ran. It reports whether the failure counts.
func (l *Ledger) RecordFailure(now, sentAt time.Time, k Fingerprint, at Incarnation, ran time.Duration) bool {
	if ran >= minInnocentRun {
		return false
	}
	r := l.record(now, k)
	if r == nil {
		r = &record{failures: map[Incarnation]failure{}}
	}
	if known, ok := r.failures[at]; ok && now.Sub(known.at) <= sameFailureWindow && known.sentAt.After(sentAt) {
		// Of several attempts at a target that crashed, any may be the cause.
		sentAt = known.sentAt
	}
	l.addFailure(now, k, r, at, failure{sentAt: sentAt, at: now})
	return true
}

// addFailure stores a failure in the request's record and the request among those
// that broke off at the start.
func (l *Ledger) addFailure(now time.Time, k Fingerprint, r *record, at Incarnation, f failure) {
	r.setFailure(at, f)
	l.requests.Put(now, k, r)
	fingerprints, _ := l.fingerprintsByStart.Get(now, at)
	if !slices.Contains(fingerprints, k) && len(fingerprints) < maxFingerprintsPerStart {
		l.fingerprintsByStart.Put(now, at, append(fingerprints, k))
	}
}

// RecordSuccess records that a request completed successfully, and reports whether
// that clears it of failures.
func (l *Ledger) RecordSuccess(now time.Time, k Fingerprint) bool {
	r := l.record(now, k)
	if r == nil {
		return false
	}
	if n, _ := r.suspectedCrashes(); n == 0 {
		return false
	}
	r.lastSuccess = now
	l.requests.Put(now, k, r)
	return true
}

// FailedRequests returns the requests that recently broke off at a target start.
func (l *Ledger) FailedRequests(now time.Time, at Incarnation) []Fingerprint {
	l.init()
	fingerprints, _ := l.fingerprintsByStart.Get(now, at)
	return fingerprints
}

// RecordAnswer records that a target start has answered a request that was sent to it
// at sentAt. It returns the requests whose failures at that start the target is now
// known to have survived.
func (l *Ledger) RecordAnswer(now, sentAt time.Time, at Incarnation) []Fingerprint {
	var out []Fingerprint
	for _, k := range l.FailedRequests(now, at) {
		r := l.record(now, k)
		if r == nil {
			continue
		}
		f, known := r.failures[at]
		if !known || f.survived || now.Sub(f.at) < f.survivalDelayFor(sentAt) {
			continue
		}
		if f.firstAnswer.IsZero() {
			f.firstAnswer = now
		}
		if sentAt.Sub(f.at) < minRestartTime {
			f.survived = true
			out = append(out, k)
		}
		r.failures[at] = f
	}
	return out
}

// RecordListing applies a current listing, the target starts in the platform's list,
// and reports whether it shows that any of them has survived a failure of the
// request. A start without a start time proves nothing, as the target may have
// restarted.
func (l *Ledger) RecordListing(now time.Time, k Fingerprint, starts map[Incarnation]bool) bool {
	r := l.record(now, k)
	if r == nil {
		return false
	}
	changed := false
	for at, f := range r.failures {
		if f.survived || at.StartedAtMillis == 0 || !starts[at] || !f.listingProvesSurvival(now) {
			continue
		}
		f.survived = true
		r.failures[at] = f
		changed = true
	}
	return changed
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
	l.requests.Put(now, k, r)
	n, last := r.suspectedCrashes()
	since := now.Sub(last)
	switch {
	case n < blockThreshold || since >= blockDuration:
		return 0, false
	case since < undecidedDuration:
		return undecidedDuration - since, true
	default:
		return blockDuration - since, true
	}
}
