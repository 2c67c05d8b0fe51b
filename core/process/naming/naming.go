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
	// Since is when it was named, on a clock that counts suspension; when Heard
	// is not set, the earliest moment at which it can have been.
	Since time.Duration
	// Heard is set when the process that says so, or the one that told it, was
	// in touch at the naming.
	Heard bool
	// Read is set when this process has read the version itself.
	Read bool
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
// better than who did not; of two that heard, the later one was told late; of
// two that did not, both are right that it cannot have been earlier.
func merge(a, b Entry) Entry {
	out := a
	switch {
	case a.Heard && b.Heard:
		out.Since = min(a.Since, b.Since)
	case b.Heard:
		out.Since, out.Heard = b.Since, true
	case !a.Heard:
		out.Since = max(a.Since, b.Since)
	}
	out.Read = a.Read || b.Read
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
