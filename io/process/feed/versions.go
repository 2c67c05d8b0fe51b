package feed

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/naming"
)

const (
	// unknownAge is how long ago a version is taken to have been named that a
	// process finds at its start: the time by which it was to be served may be
	// over. A peer that has heard it named tells better.
	unknownAge = time.Hour
	// mostGap is how far a watch may begin after the store's last answer, and end
	// after its wait, and still tell of a version as it is named.
	mostGap = leastPause + 100*time.Millisecond
	// firstWait is the wait of a watch that follows on a longer gap. It brings what
	// was missed, so that the next one tells of changes as they are made.
	firstWait = time.Millisecond
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
// feed locked. live is when the item was written, on Awake, if it came as that
// happened. Else the process was cut off or did not run, and takes the version for
// named as early as it can have been: counted from the moment at which it hears,
// the bound on older versions would end later here than elsewhere, by as much as
// the process was out of touch.
func (f *Feed) hear(v *facts.Named, live moment) {
	e := naming.Entry{Model: v.Model, Version: v.Version, Since: f.confirmed, Read: true}
	switch {
	case !f.known:
		e.Since = f.Awake() - unknownAge
	case live.known:
		e.Since, e.Heard = live.at, true
	}
	f.namings.Add(e)
	f.asked = 0
}

// moment is a time on Awake that may not be known.
type moment struct {
	at    time.Duration
	known bool
}

// liveAt is when the changes were made that a watch has brought, if it brought them
// as they were made: it began right after the store's last answer, ended no later
// than it was to, and the process ran all the while. The feed is locked.
func (f *Feed) liveAt(asked, got, wait time.Duration) moment {
	live := f.known && asked-f.answered <= mostGap && got-asked <= wait+mostGap
	return moment{at: got, known: live && f.ranSince(f.answered)}
}

func (f *Feed) ranSince(at time.Duration) bool { return f.RanSince == nil || f.RanSince(at) }

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

// takeNamed adopts what a peer tells of the namings, whatever revision it holds: a
// process that wakes may have read the store before its peers answer. It is called
// with the feed locked. The answer to a question that waited for news is taken for
// as old as it says only if this process ran all the while.
func (f *Feed) takeNamed(asked time.Duration, waited bool, told []named) {
	got := f.Awake()
	prompt := got-asked <= mostRoundTrip || waited && f.ranSince(asked)
	news := false
	for _, t := range told {
		e := naming.Entry{Model: t.Model, Version: t.Version, Since: asked - t.Age, Heard: t.Heard && prompt}
		if e.Heard {
			// Late by the way here, never early: with errors to both sides peers
			// that ask each other would shift the moment on and on.
			e.Since = got - t.Age
		}
		news = f.namings.Add(e) || news
	}
	if news && f.known {
		f.publish()
	}
}

// versions are the namings for those who go by the feed's clock; it is called with
// the feed locked.
func (f *Feed) versions() []facts.Named {
	now, awake := f.Clock.Now(), f.Awake()
	var out []facts.Named
	for _, n := range f.namings.All() {
		out = append(out, facts.Named{Model: n.Model, Version: n.Version, Since: now.Add(n.Since - awake), Read: n.Read})
	}
	return out
}
