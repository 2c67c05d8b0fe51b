// Package facts holds a process's copy of the state in the platform's store
// (configuration, targets and model versions) and how old that copy may be.
// Package feed in io/process builds it from the store and from peers, for the
// processes of package hosted, which read it through Source. Processes that
// follow an environment document have a view.View.
package facts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"hawthornferry/core/request/table"
)

// Target is one running replica of a service. ID identifies one start of it.
// Its address may be reused by another target after this one has ended. Slots
// is how many requests it processes at once, 0 if it does not report that.
// Leaving is set while it drains and must get no new work.
type Target struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	Leaving bool
	// Evacuated is set while the operator wants nothing more to be sent to the
	// target's zone.
	Evacuated bool
	// StartedAt is when this run of the target started, by its own clock; zero
	// if it does not report that.
	StartedAt time.Time
	// WarmupLeft is for how much longer the target said that it is cold, and
	// ColdUntil when that ends, counted from when this process read it.
	WarmupLeft time.Duration
	ColdUntil  time.Time
	// Serving is the version of each model that the target last reported; 0
	// means none.
	Serving map[string]uint64
}

// ModelVersion is a version of a model that the operator announced. Since is
// when that was or, if this process does not know, the earliest time at which
// it can have been.
type ModelVersion struct {
	Model   string
	Version uint64
	Since   time.Time
	// Read is set when this process has read the version from the store itself,
	// rather than only learned from peers that it exists.
	Read bool
}

// Origin is the server from which model weights are downloaded. LinkRate is the
// bandwidth of its link in bytes per second.
type Origin struct {
	Address  netip.AddrPort
	Zone     string
	LinkRate int64
}

// Facts is one consistent, immutable snapshot. Table is nil until a
// configuration has been read. Revision is the store revision of the whole
// snapshot. Versions holds the latest few versions of each model.
type Facts struct {
	Revision uint64
	Table    *table.Table
	Targets  []Target
	Versions []ModelVersion
	Origin   Origin
}

// Latest returns the newest announced version of a model.
func (f *Facts) Latest(model string) (ModelVersion, bool) {
	return f.newest(model, func(ModelVersion) bool { return true })
}

// Due returns the newest version of a model that was announced before the given
// time. Each version has its own time limit: announcing another one soon
// afterwards does not postpone the limit of the first.
func (f *Facts) Due(model string, before time.Time) (ModelVersion, bool) {
	return f.newest(model, func(v ModelVersion) bool { return v.Since.Before(before) })
}

func (f *Facts) newest(model string, ok func(ModelVersion) bool) (ModelVersion, bool) {
	var best ModelVersion
	for _, v := range f.Versions {
		if v.Model == model && v.Version > best.Version && ok(v) {
			best = v
		}
	}
	return best, best.Version > 0
}

// ReplacedSince returns when a version that is still being served was first
// replaced by a newer one, or false if it is the newest.
func (f *Facts) ReplacedSince(model string, serving uint64) (time.Time, bool) {
	var first time.Time
	for _, v := range f.VersionsOf(model) {
		if v.Version > serving && (first.IsZero() || v.Since.Before(first)) {
			first = v.Since
		}
	}
	return first, !first.IsZero()
}

// VersionsOf returns the announced versions of a model, newest first.
func (f *Facts) VersionsOf(model string) []ModelVersion {
	var out []ModelVersion
	for _, v := range f.Versions {
		if v.Model == model {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b ModelVersion) int { return cmp.Compare(b.Version, a.Version) })
	return out
}
