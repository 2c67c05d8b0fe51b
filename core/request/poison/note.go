package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Note is what one process tells another of a request. Times are told by how long
// ago they were, as clocks differ.
type Note struct {
	Key     Key      `msgpack:"key"`
	Strikes []Strike `msgpack:"strikes"`
	// Cleared is set when the request has ended well, ClearedAgo before.
	Cleared    bool          `msgpack:"cleared"`
	ClearedAgo time.Duration `msgpack:"clearedAgo"`
}

// Strike is an attempt that broke off. Survived is set when its target ran on.
type Strike struct {
	Start    Start         `msgpack:"start"`
	Ago      time.Duration `msgpack:"ago"`
	Survived bool          `msgpack:"survived"`
}

// Check reports the first field that is out of its domain.
func (n *Note) Check() error {
	if len(n.Strikes) == 0 || len(n.Strikes) > maxStrikes {
		return errors.Newf("note: %d strikes: want 1 to %d", len(n.Strikes), maxStrikes)
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

// Note returns what there is to tell of a request, false if it has fewer strikes
// than least.
func (l *Ledger) Note(now time.Time, k Key, least int) (Note, bool) {
	r := l.record(now, k)
	if r == nil || len(r.strikes) < least {
		return Note{}, false
	}
	n := Note{Key: k}
	for start, s := range r.strikes {
		n.Strikes = append(n.Strikes, Strike{Start: start, Ago: max(0, now.Sub(s.at)), Survived: s.survived})
	}
	slices.SortFunc(n.Strikes, func(a, b Strike) int { return cmp.Compare(a.Ago, b.Ago) })
	if !r.cleared.IsZero() {
		n.Cleared, n.ClearedAgo = true, max(0, now.Sub(r.cleared))
	}
	return n, true
}

// Keys returns the requests that are known, the latest first.
func (l *Ledger) Keys(now time.Time) []Key {
	l.init()
	var out []Key
	for k := range l.requests.All(now) {
		out = append(out, k)
	}
	return out
}

// Merge takes what another process tells of a request, and reports whether any of it
// is news. Notes may come late, twice and in any order.
func (l *Ledger) Merge(now time.Time, n Note) bool {
	r := l.record(now, n.Key)
	if r == nil {
		r = &record{strikes: map[Start]strike{}}
	}
	news := false
	for _, s := range n.Strikes {
		news = l.take(now, n.Key, r, s) || news
	}
	return l.takeClear(now, r, n) || news
}

// takeClear takes a good end, which is news only to one that took the request for a
// suspect: told of by several, it seems a little later each time.
func (l *Ledger) takeClear(now time.Time, r *record, n Note) bool {
	at := now.Add(-n.ClearedAgo)
	if !n.Cleared || !at.After(r.cleared) {
		return false
	}
	before, _ := r.standing()
	r.cleared = at
	after, _ := r.standing()
	return before != after
}

func (l *Ledger) take(now time.Time, k Key, r *record, reported Strike) bool {
	at := now.Add(-reported.Ago)
	known, ok := r.strikes[reported.Start]
	switch {
	case !ok || at.Sub(known.at) > sameStrike:
		if !ok && len(r.strikes) >= maxStrikes && at.Before(r.strikes[r.oldest()].at) {
			return false
		}
		l.note(now, k, r, reported.Start, strike{at: at, survived: reported.Survived})
		return true
	case reported.Survived && !known.survived && known.at.Sub(at) <= sameStrike:
		known.survived = true
		r.strikes[reported.Start] = known
		return true
	default:
		return false
	}
}
