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
	Key     Key       `msgpack:"key"`
	Strikes []Failure `msgpack:"strikes"`
	// Cleared is set if the request has completed successfully, and ClearedAgo is how
	// long ago.
	Cleared    bool          `msgpack:"cleared"`
	ClearedAgo time.Duration `msgpack:"clearedAgo"`
}

// Failure is an attempt that broke off. Survived is set if its target did not crash.
type Failure struct {
	Start    Start         `msgpack:"start"`
	Ago      time.Duration `msgpack:"ago"`
	Survived bool          `msgpack:"survived"`
}

// Check returns an error for the first invalid field.
func (n *Note) Check() error {
	if len(n.Strikes) == 0 || len(n.Strikes) > maxFailures {
		return errors.Newf("note: %d strikes: want 1 to %d", len(n.Strikes), maxFailures)
	}
	if n.ClearedAgo < 0 {
		return errors.Newf("note: cleared %s ago: want none below 0", n.ClearedAgo)
	}
	for _, s := range n.Strikes {
		if s.Start.Target == "" || s.Ago < 0 {
			return errors.Newf("note: strike at %q %s ago: want a target and no time below 0", s.Start.Target, s.Ago)
		}
	}
	return nil
}

// Note returns what is known of a request, or false if that is fewer than least
// failures.
func (l *Ledger) Note(now time.Time, k Key, least int) (Note, bool) {
	r := l.record(now, k)
	if r == nil || len(r.failures) < least {
		return Note{}, false
	}
	n := Note{Key: k}
	for start, s := range r.failures {
		n.Strikes = append(n.Strikes, Failure{Start: start, Ago: max(0, now.Sub(s.at)), Survived: s.survived})
	}
	slices.SortFunc(n.Strikes, func(a, b Failure) int { return cmp.Compare(a.Ago, b.Ago) })
	if !r.lastSuccess.IsZero() {
		n.Cleared, n.ClearedAgo = true, max(0, now.Sub(r.lastSuccess))
	}
	return n, true
}

// Keys returns the known requests, the most recent first.
func (l *Ledger) Keys(now time.Time) []Key {
	l.init()
	var out []Key
	for k := range l.requests.All(now) {
		out = append(out, k)
	}
	return out
}

// Merge adds another process's note to the ledger, and reports whether it changed
// anything. Notes may arrive late, repeatedly and in any order.
func (l *Ledger) Merge(now time.Time, n Note) bool {
	r := l.record(now, n.Key)
	if r == nil {
		r = &record{failures: map[Start]failure{}}
	}
	changed := false
	for _, s := range n.Strikes {
		changed = l.mergeFailure(now, n.Key, r, s) || changed
	}
	return l.mergeSuccess(now, r, n) || changed
}

// mergeSuccess adds a successful completion, and reports whether it clears the
// request of failures. It does not report a mere change of the time: when several
// processes report the same completion, each seems a little later than the one
// before.
func (l *Ledger) mergeSuccess(now time.Time, r *record, n Note) bool {
	at := now.Add(-n.ClearedAgo)
	if !n.Cleared || !at.After(r.lastSuccess) {
		return false
	}
	before, _ := r.suspectedCrashes()
	r.lastSuccess = at
	after, _ := r.suspectedCrashes()
	return before != after
}

// mergeFailure adds a failure, or the news that the target of a known failure
// survived, and reports whether it changed anything.
func (l *Ledger) mergeFailure(now time.Time, k Key, r *record, reported Failure) bool {
	at := now.Add(-reported.Ago)
	known, ok := r.failures[reported.Start]
	switch {
	case !ok || at.Sub(known.at) > sameFailureWindow:
		if !ok && len(r.failures) >= maxFailures && at.Before(r.failures[r.oldest()].at) {
			return false
		}
		l.addFailure(now, k, r, reported.Start, failure{at: at, survived: reported.Survived})
		return true
	case reported.Survived && !known.survived && known.at.Sub(at) <= sameFailureWindow:
		known.survived = true
		r.failures[reported.Start] = known
		return true
	default:
		return false
	}
}
