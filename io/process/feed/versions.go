package feed

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/dated"
	"hawthornferry/core/process/facts"
)

const (
	// unknownAge is how long ago a version is taken to have been named that a
	// process finds at its start: the time by which it was to be served may be
	// over. A peer that has heard it named tells better.
	unknownAge = time.Hour
	// mostLate is by how much a watch may last longer than it was to wait and
	// still tell of a version as it is named. Beyond, the process was cut off.
	mostLate = 500 * time.Millisecond
	// mostRoundTrip is how long a question to a peer may take for its answer to
	// tell when a version was named: that is off by as much at most.
	mostRoundTrip = 100 * time.Millisecond
)

// named is what a process tells its peers of a naming: how long ago it was, and
// whether somebody heard of it at that moment. Else Age is the most that it can be.
type named struct {
	Model   string        `msgpack:"model"`
	Version uint64        `msgpack:"version"`
	Age     time.Duration `msgpack:"age"`
	Heard   bool          `msgpack:"heard"`
}

// Check reports the first field that is out of its domain.
func (n *named) Check() error {
	if n.Model == "" || n.Version == 0 {
		return errors.Newf("factsTell: version %d of model %q: want a model and a version above 0", n.Version, n.Model)
	}
	if n.Age < 0 {
		return errors.Newf("factsTell: age %s of version %d of %q is below 0", n.Age, n.Version, n.Model)
	}
	return nil
}

// hear takes in a version that was just read from an item; it is called with the
// feed locked. asItWas tells that the item came as it was written. A process that
// was cut off, or did not run, takes the version for named as early as it can have
// been: counted from the moment at which it hears, the bound on older versions
// would end later here than elsewhere, by as much as the process was out of touch.
func (f *Feed) hear(v *facts.Named, asItWas bool) {
	n := dated.Naming{Model: v.Model, Version: v.Version, Since: f.confirmed, Heard: asItWas, Seen: true}
	switch {
	case !f.known:
		n.Since = f.Awake() - unknownAge
	case asItWas:
		n.Since = f.Awake()
	}
	f.namings.Add(n)
	f.asked = 0
}

// follows reports whether a watch that was asked at the given moment and has just
// brought something brought it as it was written: the store answered the time
// before, this watch was no longer than it was to be, and the process ran all the
// while. It is called with the feed locked.
func (f *Feed) follows(asked time.Duration, wait time.Duration) bool {
	if !f.known || f.Awake()-f.answered > wait+leastPause+mostLate {
		return false
	}
	return f.RanSince == nil || f.RanSince(min(asked, f.answered))
}

// tellNamed is what peers are told of the namings; it is called with the feed
// locked.
func (f *Feed) tellNamed() []named {
	now := f.Awake()
	var out []named
	for _, n := range f.namings.All() {
		out = append(out, named{Model: n.Model, Version: n.Version, Age: max(0, now-n.Since), Heard: n.Heard})
	}
	return out
}

// takeNamed adopts what a peer tells of the namings; it is called with the feed
// locked. The answer to a question that waited for news is taken for as old as it
// says only if this process ran all the while.
func (f *Feed) takeNamed(asked time.Duration, waited bool, told []named) {
	got := f.Awake()
	prompt := got-asked <= mostRoundTrip || waited && (f.RanSince == nil || f.RanSince(asked))
	for _, t := range told {
		n := dated.Naming{Model: t.Model, Version: t.Version, Since: asked - t.Age, Heard: t.Heard && prompt}
		if n.Heard {
			// Late by the way here, never early: with errors to both sides peers
			// that ask each other would shift the moment on and on.
			n.Since = got - t.Age
		}
		f.namings.Add(n)
	}
}

// versions are the namings for those who go by the feed's clock; it is called with
// the feed locked.
func (f *Feed) versions() []facts.Named {
	now, awake := f.Clock.Now(), f.Awake()
	var out []facts.Named
	for _, n := range f.namings.All() {
		out = append(out, facts.Named{Model: n.Model, Version: n.Version, Since: now.Add(n.Since - awake), Seen: n.Seen})
	}
	return out
}
