// Package facts holds what a process believes of the platform at one moment,
// and how old that belief may be.
package facts

import (
	"net/netip"
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
	// Warming is how much longer the target is slow after its start.
	Warming time.Duration
	// Serving is the version of each model that the target last told of; 0
	// stands for none.
	Serving map[string]uint64
	// Whole is false while an engine lacks some of its layers.
	Whole bool
}

// Named is the version of a model that the operator wants served. Since is
// when this process first heard of it.
type Named struct {
	Model   string
	Version uint64
	Since   time.Time
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
// from which all of it was read.
type Facts struct {
	Revision uint64
	Table    *table.Table
	Targets  []Target
	Versions []Named
	Origin   Origin
}

// VersionOf returns the version that is wanted of a model.
func (f *Facts) VersionOf(model string) (Named, bool) {
	for _, v := range f.Versions {
		if v.Model == model {
			return v, true
		}
	}
	return Named{}, false
}
