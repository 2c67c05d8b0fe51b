// Package naming keeps when versions of models were named, as closely as a
// process can know it. Bounds on a version count from its naming, and a process
// that was out of touch then hears of it later, by as much as it was.
package naming

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a version of a model that the operator named.
type Entry struct {
	Model   string
	Version uint64
	// Since is when it was named, on a clock that counts suspension; when neither
	// Heard nor Returned is set, the earliest moment at which it can have been.
	Since time.Duration
	// Heard is set when the process that says so, or the one that told it, was
	// in touch at the naming.
	Heard bool
	// Returned is set when the store was away from all who could have heard;
	// Since is when it was back.
	Returned bool
	// Read is set when this process has read the version itself; Until is when,
	// and Away whether the store was out of its reach from the last belief until
	// then though it ran all the while.
	Read  bool
	Until time.Duration
	Away  bool
}

// strength orders entries by what their moments rest on.
func (e Entry) strength() int {
	switch {
	case e.Heard:
		return 2
	case e.Returned:
		return 1
	default:
		return 0
	}
}

// mostKept bounds the versions that are kept of a model: replaced ones are of
// use until their bounds have passed, which takes seconds.
const mostKept = 8

// Ledger holds what is known of each naming. The zero value is ready for use.
type Ledger struct {
	entries []Entry
}

// Add takes in what was learned of one naming. It returns whether that was news.
func (l *Ledger) Add(n Entry) bool {
	n.Returned = n.Returned && !n.Heard
	for i, old := range l.entries {
		if old.Model == n.Model && old.Version == n.Version {
			l.entries[i] = merge(old, n)
			return l.entries[i] != old
		}
	}
	l.entries = append(l.entries, n)
	slices.SortStableFunc(l.entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	l.trim(n.Model)
	return true
}

// trim drops the oldest versions of a model beyond those that are kept.
func (l *Ledger) trim(model string) {
	count := 0
	for _, n := range l.entries {
		if n.Model == model {
			count++
		}
	}
	l.entries = slices.DeleteFunc(l.entries, func(n Entry) bool {
		if n.Model != model || count <= mostKept {
			return false
		}
		count--
		return true
	})
}

// merge joins two statements about the same naming. Who heard of it knows
// better than who did not; of two that heard, or that saw the store return, the
// later one did so late; of two that did neither, both are right that it cannot
// have been earlier.
func merge(a, b Entry) Entry {
	out := a
	switch {
	case b.strength() > a.strength():
		out.Since, out.Heard, out.Returned = b.Since, b.Heard, b.Returned
	case b.strength() < a.strength():
	case a.strength() == 0:
		out.Since = max(a.Since, b.Since)
	default:
		out.Since = min(a.Since, b.Since)
	}
	if b.Read && !a.Read {
		out.Read, out.Until, out.Away = true, b.Until, b.Away
	}
	return out
}

// All returns every naming, by model and version.
func (l *Ledger) All() []Entry { return slices.Clone(l.entries) }

// Unresolved reports whether the moment of some model's newest naming is not
// known. Who knows it tells of the replaced versions as well.
func (l *Ledger) Unresolved() bool {
	for i, n := range l.entries {
		if !n.Heard && (i+1 == len(l.entries) || l.entries[i+1].Model != n.Model) {
			return true
		}
	}
	return false
}
