package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Note is what one process reports to another about a request or a part of prompts. Times
// are given as ages, because the clocks of the processes differ.
type Note[K comparable] struct {
	Subject  K         `msgpack:"key"`
	Failures []Failure `msgpack:"strikes"`
	// Succeeded is set if a request with the subject has completed successfully, and
	// SuccessAge is how long ago.
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
func (n *Note[K]) Check() error {
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

// Note returns what is known of a subject, or false if that is fewer than least
// failures.
func (l *records[K]) Note(now time.Time, k K, least int) (Note[K], bool) {
	r := l.record(now, k)
	if r == nil || len(r.failures) < least {
		return Note[K]{}, false
	}
	n := Note[K]{Subject: k}
	for start, s := range r.failures {
		n.Failures = append(n.Failures, Failure{Incarnation: start, Age: max(0, now.Sub(s.at)), Duration: max(0, s.at.Sub(s.sentAt)), Survived: s.survived})
	}
	slices.SortFunc(n.Failures, func(a, b Failure) int { return cmp.Compare(a.Age, b.Age) })
	if !r.lastSuccess.IsZero() {
		n.Succeeded, n.SuccessAge = true, max(0, now.Sub(r.lastSuccess))
	}
	return n, true
}

// Merge adds another process's note to the ledger, and reports whether it changed
// anything. Notes may arrive late, repeatedly and in any order.
func (l *records[K]) Merge(now time.Time, n Note[K]) bool {
	r := l.record(now, n.Subject)
	if r == nil {
		r = &record{failures: map[Incarnation]failure{}}
	}
	changed := false
	for _, s := range n.Failures {
		changed = l.mergeFailure(now, n.Subject, r, s) || changed
	}
	return r.mergeSuccess(now, n.Succeeded, n.SuccessAge) || changed
}

// mergeSuccess adds a successful completion, and reports whether it clears the
// subject of any failures or is the first one. It does not report a mere change of the
// time: when several processes report the same completion, each seems a little later
// than the one before.
func (r *record) mergeSuccess(now time.Time, succeeded bool, age time.Duration) bool {
	at := now.Add(-age)
	if !succeeded || !at.After(r.lastSuccess) {
		return false
	}
	first := r.lastSuccess.IsZero()
	before := len(r.unexplainedFailures())
	r.lastSuccess, r.trials = at, 0
	return first || len(r.unexplainedFailures()) != before
}

// mergeFailure adds a failure, or the news that the target of a known failure
// survived, and reports whether it changed anything.
func (l *records[K]) mergeFailure(now time.Time, k K, r *record, reported Failure) bool {
	at := now.Add(-reported.Age)
	known, ok := r.failures[reported.Incarnation]
	switch {
	case !ok || at.Sub(known.at) > sameFailureWindow:
		return l.addFailure(now, k, r, reported.Incarnation, failure{
			start: reported.Incarnation, sentAt: at.Add(-reported.Duration), at: at, survived: reported.Survived,
		})
	case reported.Survived && !known.survived && known.at.Sub(at) <= sameFailureWindow:
		known.survived = true
		r.failures[reported.Incarnation] = known
		return true
	default:
		return false
	}
}
