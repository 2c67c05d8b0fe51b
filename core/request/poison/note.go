package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Note is what one process reports to another about a request. Times are given as
// ages, because the clocks of the processes differ.
type Note struct {
	Fingerprint Fingerprint `msgpack:"key"`
	Failures    []Failure   `msgpack:"strikes"`
	// Succeeded is set if the request has completed successfully, and SuccessAge is
	// how long ago.
	Succeeded  bool          `msgpack:"cleared"`
	SuccessAge time.Duration `msgpack:"clearedAgo"`
}

// Failure is an attempt that broke off. Survived is set if its target did not crash.
type Failure struct {
	Incarnation Incarnation   `msgpack:"start"`
	Age         time.Duration `msgpack:"ago"`
	// Duration is how long the attempt had been under way.
	Duration time.Duration `msgpack:"took"`
	Survived bool          `msgpack:"survived"`
}

// Check returns an error for the first invalid field.
func (n *Note) Check() error {
	if len(n.Failures) == 0 || len(n.Failures) > maxFailures {
		return errors.Newf("note: %d strikes: want 1 to %d", len(n.Failures), maxFailures)
	}
	if n.SuccessAge < 0 {
		return errors.Newf("note: cleared %s ago: want none below 0", n.SuccessAge)
	}
	for _, s := range n.Failures {
		if s.Duration < 0 {
			return errors.Newf("note: strike at %q by an attempt of %s: want no time below 0", s.Incarnation.Target, s.Duration)
		}
		if s.Incarnation.Target == "" || s.Age < 0 {
			return errors.Newf("note: strike at %q %s ago: want a target and no time below 0", s.Incarnation.Target, s.Age)
		}
	}
	return nil
}

// Note returns what is known of a request, or false if that is fewer than least
// failures.
func (l *Ledger) Note(now time.Time, k Fingerprint, least int) (Note, bool) {
	r := l.record(now, k)
	if r == nil || len(r.failures) < least {
		return Note{}, false
	}
	n := Note{Fingerprint: k}
	for start, s := range r.failures {
		n.Failures = append(n.Failures, Failure{Incarnation: start, Age: max(0, now.Sub(s.at)), Duration: max(0, s.at.Sub(s.sentAt)), Survived: s.survived})
	}
	slices.SortFunc(n.Failures, func(a, b Failure) int { return cmp.Compare(a.Age, b.Age) })
	if !r.lastSuccess.IsZero() {
		n.Succeeded, n.SuccessAge = true, max(0, now.Sub(r.lastSuccess))
	}
	return n, true
}

// Fingerprints returns the known requests, the most recent first.
func (l *Ledger) Fingerprints(now time.Time) []Fingerprint {
	l.init()
	var out []Fingerprint
	for k := range l.requests.All(now) {
		out = append(out, k)
	}
	return out
}

// Merge adds another process's note to the ledger, and reports whether it changed
// anything. Notes may arrive late, repeatedly and in any order.
func (l *Ledger) Merge(now time.Time, n Note) bool {
	r := l.record(now, n.Fingerprint)
	if r == nil {
		r = &record{failures: map[Incarnation]failure{}}
	}
	changed := false
	for _, s := range n.Failures {
		changed = l.mergeFailure(now, n.Fingerprint, r, s) || changed
	}
	return l.mergeSuccess(now, r, n) || changed
}

// mergeSuccess adds a successful completion, and reports whether it clears the
// request of failures. It does not report a mere change of the time: when several
// processes report the same completion, each seems a little later than the one
// before.
func (l *Ledger) mergeSuccess(now time.Time, r *record, n Note) bool {
	at := now.Add(-n.SuccessAge)
	if !n.Succeeded || !at.After(r.lastSuccess) {
		return false
	}
	before, _ := r.suspectedCrashes()
	r.lastSuccess = at
	after, _ := r.suspectedCrashes()
	return before != after
}

// mergeFailure adds a failure, or the news that the target of a known failure
// survived, and reports whether it changed anything.
func (l *Ledger) mergeFailure(now time.Time, k Fingerprint, r *record, reported Failure) bool {
	at := now.Add(-reported.Age)
	known, ok := r.failures[reported.Incarnation]
	switch {
	case !ok || at.Sub(known.at) > sameFailureWindow:
		if !ok && len(r.failures) >= maxFailures && at.Before(r.failures[r.oldest()].at) {
			return false
		}
		l.addFailure(now, k, r, reported.Incarnation, failure{sentAt: at.Add(-reported.Duration), at: at, survived: reported.Survived})
		return true
	case reported.Survived && !known.survived && known.at.Sub(at) <= sameFailureWindow:
		known.survived = true
		r.failures[reported.Incarnation] = known
		return true
	default:
		return false
	}
}
