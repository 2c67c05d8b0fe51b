// Package facts holds what a process believes of the platform at one moment,
// and how old that belief may be.
package facts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"hawthornferry/core/request/table"
)

// Target is one running replica of a service. ID names one start of it; an
// address may pass to another target once this one has ended.
type Target struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	Leaving bool
	// Born is when this start of the target was, by its own clock; zero when it
	// does not say.
	Born time.Time
	// Warming is how much longer the target is slow after its start.
	Warming time.Duration
	// Serving is the version of each model that the target last told of; 0
	// stands for none.
	Serving map[string]uint64
	// Whole is false while an engine lacks some of its layers.
	Whole bool
}

// Named is a version of a model that the operator named. Since is when that was,
// or the earliest that it can have been as far as this process knows.
type Named struct {
	Model   string
	Version uint64
	Since   time.Time
	// Read is set when this process has read the version itself, not only heard
	// from peers that there was one.
	Read bool
}

// Origin is where the weights of the models are drawn from. Rate is its link
// in bytes a second.
type Origin struct {
	Address netip.AddrPort
	Zone    string
	Rate    int64
}

// Facts is one consistent belief; it is never changed once it is handed out.
// Table is nil until a configuration was read. Revision is that of the store
// from which all of it was read. Versions holds the latest few of each model.
type Facts struct {
	Revision uint64
	Table    *table.Table
	Targets  []Target
	Versions []Named
	Origin   Origin
}

// Latest returns the newest version that is wanted of a model.
func (f *Facts) Latest(model string) (Named, bool) {
	return f.newest(model, func(Named) bool { return true })
}

// Due returns the newest version of a model that was named before the given
// time. Each version has its own bound: one that is named soon after another
// does not put off the time for the first.
func (f *Facts) Due(model string, before time.Time) (Named, bool) {
	return f.newest(model, func(v Named) bool { return v.Since.Before(before) })
}

func (f *Facts) newest(model string, ok func(Named) bool) (Named, bool) {
	var best Named
	for _, v := range f.Versions {
		if v.Model == model && v.Version > best.Version && ok(v) {
			best = v
		}
	}
	return best, best.Version > 0
}

// ReplacedSince returns when a version that is still in use was first replaced by
// a newer one, false if it is the newest.
func (f *Facts) ReplacedSince(model string, serving uint64) (time.Time, bool) {
	var first time.Time
	for _, v := range f.Named(model) {
		if v.Version > serving && (first.IsZero() || v.Since.Before(first)) {
			first = v.Since
		}
	}
	return first, !first.IsZero()
}

// Named returns the versions that were named of a model, the newest first.
func (f *Facts) Named(model string) []Named {
	var out []Named
	for _, v := range f.Versions {
		if v.Model == model {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b Named) int { return cmp.Compare(b.Version, a.Version) })
	return out
}
