// Package dated keeps when versions of models were named, as closely as a
// process can know it. Bounds on a version count from its naming, and a process
// that was out of touch then hears of it later, by as much as it was.
package dated

import (
	"cmp"
	"slices"
	"time"
)

// Naming is a version of a model that the operator named.
type Naming struct {
	Model   string
	Version uint64
	// Since is when it was named, on a clock that counts suspension; when Heard
	// is not set, the earliest moment at which it can have been.
	Since time.Duration
	// Heard is set when the process that says so, or the one that told it, was
	// in touch at the naming.
	Heard bool
	// Seen is set when this process has read the version itself.
	Seen bool
}

// mostKept bounds the versions that are kept of a model: replaced ones are of
// use until their bounds have passed, which takes seconds.
const mostKept = 8

// Ledger holds what is known of each naming. The zero value is ready for use.
type Ledger struct {
	namings []Naming
}

// Add takes in what was learned of one naming.
func (l *Ledger) Add(n Naming) {
	for i, old := range l.namings {
		if old.Model == n.Model && old.Version == n.Version {
			l.namings[i] = closer(old, n)
			return
		}
	}
	l.namings = append(l.namings, n)
	slices.SortStableFunc(l.namings, func(a, b Naming) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	l.trim(n.Model)
}

// trim drops the oldest versions of a model beyond those that are kept.
func (l *Ledger) trim(model string) {
	count := 0
	for _, n := range l.namings {
		if n.Model == model {
			count++
		}
	}
	l.namings = slices.DeleteFunc(l.namings, func(n Naming) bool {
		if n.Model != model || count <= mostKept {
			return false
		}
		count--
		return true
	})
}

// closer joins two statements about the same naming. Who heard of it knows
// better than who did not; of two that heard, the later one was told late; of
// two that did not, both are right that it cannot have been earlier.
func closer(a, b Naming) Naming {
	out := a
	switch {
	case a.Heard && b.Heard:
		out.Since = min(a.Since, b.Since)
	case b.Heard:
		out.Since, out.Heard = b.Since, true
	case !a.Heard:
		out.Since = max(a.Since, b.Since)
	}
	out.Seen = a.Seen || b.Seen
	return out
}

// All returns every naming, by model and version.
func (l *Ledger) All() []Naming { return slices.Clone(l.namings) }

// Open reports whether the moment of some model's newest naming is not known.
// What replaced versions lack, the same peers tell.
func (l *Ledger) Open() bool {
	for i, n := range l.namings {
		if !n.Heard && (i+1 == len(l.namings) || l.namings[i+1].Model != n.Model) {
			return true
		}
	}
	return false
}
