// Package verlog records when the operator announced each version of a model,
// as precisely as a process can know it. Package feed in io/process uses it:
// limits on how long an older version may still be served count from the
// announcement, and a process that was disconnected learns of the announcement
// late, by as long as it was disconnected.
package verlog

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a version of a model that the operator announced.
type Entry struct {
	Model   string
	Version uint64
	// Since is when it was announced, on a clock that keeps counting while the
	// machine is suspended. When neither Exact nor FromReturn is set, it is the
	// earliest time at which it can have been announced.
	Since time.Duration
	// Exact is set when this process, or the peer that reported the version,
	// was connected when the version was announced, so that Since is exact.
	Exact bool
	// FromReturn is set when no process that could have seen the announcement
	// reached the store; Since is then when the store became reachable again.
	FromReturn bool
	// Read is set when this process has read the version from the store itself.
	// ReadAt is when it did. StoreUnreachable reports whether the store was
	// unreachable, although this process was running, from the last
	// confirmation of its state until then.
	Read             bool
	ReadAt           time.Duration
	StoreUnreachable bool
}

// certainty ranks entries by how reliable Since is: higher is better.
func (e Entry) certainty() int {
	switch {
	case e.Exact:
		return 2
	case e.FromReturn:
		return 1
	default:
		return 0
	}
}

// maxVersionsPerModel bounds the versions kept of each model. Replaced versions
// are needed only until the time limits that count from them have passed, which
// takes seconds.
const maxVersionsPerModel = 8

// Log holds what is known of each announcement. The zero value is ready to
// use.
type Log struct {
	entries []Entry
}

// Add merges n into the log. It reports whether the log changed.
func (l *Log) Add(e Entry) bool {
	e.FromReturn = e.FromReturn && !e.Exact
	for i, old := range l.entries {
		if old.Model == e.Model && old.Version == e.Version {
			l.entries[i] = mergeEntries(old, e)
			return l.entries[i] != old
		}
	}
	l.entries = append(l.entries, e)
	slices.SortStableFunc(l.entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	l.dropOldest(e.Model)
	return true
}

// dropOldest removes the oldest versions of a model beyond maxVersionsPerModel.
func (l *Log) dropOldest(model string) {
	count := 0
	for _, e := range l.entries {
		if e.Model == model {
			count++
		}
	}
	l.entries = slices.DeleteFunc(l.entries, func(e Entry) bool {
		if e.Model != model || count <= maxVersionsPerModel {
			return false
		}
		count--
		return true
	})
}

// mergeEntries combines two entries for the same version. The more certain one
// wins. Of two that are exact, or that both count from the store's return, the
// earlier one is kept, because the other learned of the event late. Of two
// lower bounds both hold, so the later one is kept.
func mergeEntries(a, b Entry) Entry {
	out := a
	switch {
	case b.certainty() > a.certainty():
		out.Since, out.Exact, out.FromReturn = b.Since, b.Exact, b.FromReturn
	case b.certainty() < a.certainty():
	case a.certainty() == 0:
		out.Since = max(a.Since, b.Since)
	default:
		out.Since = min(a.Since, b.Since)
	}
	if b.Read && !a.Read {
		out.Read, out.ReadAt, out.StoreUnreachable = true, b.ReadAt, b.StoreUnreachable
	}
	return out
}

// HasRead reports whether this process has read a version from the store itself.
func (l *Log) HasRead(model string, version uint64) bool {
	return slices.ContainsFunc(l.entries, func(e Entry) bool { return e.Read && e.Model == model && e.Version == version })
}

// All returns all entries, sorted by model and version.
func (l *Log) All() []Entry { return slices.Clone(l.entries) }

// Unresolved reports whether, for some model, no process is known to have seen
// the newest version's announcement. Replaced versions don't count: a peer that
// saw the newest one also reports the ones before it.
func (l *Log) Unresolved() bool {
	for i, e := range l.entries {
		if !e.Exact && (i+1 == len(l.entries) || l.entries[i+1].Model != e.Model) {
			return true
		}
	}
	return false
}
