package feed

import (
	"time"

	"hawthornferry/core/process/facts"
)

// unknownAge is how long ago a version is taken to have been named that a
// process finds at its start: the time by which it was to be served may be
// over. A peer that has heard it named tells better.
const unknownAge = time.Hour

// agesOf returns how long ago the versions were named that this process has
// heard of as it happened; it is called with the feed locked.
func (f *Feed) agesOf() map[string]time.Duration {
	out := map[string]time.Duration{}
	for key, fact := range f.facts {
		if fact.Version == nil {
			continue
		}
		if age := f.Clock.Since(fact.Version.Since); age < unknownAge {
			out[key] = age
		}
	}
	return out
}

// takeAges adopts a peer's knowledge of when versions were named; it is
// called with the feed locked.
func (f *Feed) takeAges(ages map[string]time.Duration) {
	for key, age := range ages {
		v := f.facts[key].Version
		if v == nil {
			continue
		}
		since := f.Clock.Now().Add(-age)
		own := f.Clock.Since(v.Since)
		if own >= unknownAge || since.Before(v.Since) {
			v.Since = since
		}
	}
}

// mostNamed bounds the replaced versions that are remembered.
const mostNamed = 8

// name remembers a version that a newer one replaces: the time by which it
// was to be served still runs.
func (f *Feed) name(v facts.Named) {
	f.named = append(f.named, v)
	if len(f.named) > mostNamed {
		f.named = f.named[1:]
	}
}
