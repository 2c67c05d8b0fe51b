package feed

import (
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/naming"
)

// contact is how this process was last in touch; it is called with the feed locked.
func (f *Feed) contact() naming.Contact {
	return naming.Contact{Known: f.known, Revision: f.revision, Confirmed: f.confirmed, Answered: f.answered, Failed: f.failed}
}

// callFailed takes in that a call to the store failed, and how many before it in a
// row. After a single one the store is not told to be lost: a watch that is cut ends
// at all readers in the same moment, and all whom they tell would turn to the store.
func (f *Feed) callFailed(before int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = f.Awake()
	if !f.lost && before > 0 {
		f.lost = true
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// lostStore reports whether the last call to the store failed.
func (f *Feed) lostStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// hearStore takes in that the store answered; it is called with the feed locked.
func (f *Feed) hearStore(call naming.Call) {
	c := f.contact()
	c.Answer(call, f.ranSince)
	f.answered = c.Answered
}

// hear takes in a version that was just read from an item; it is called with the
// feed locked. live is when the item was written, on Awake, if it came as that
// happened.
func (f *Feed) hear(v *facts.Named, live naming.Moment) {
	c := f.contact()
	e := c.Read(v.Model, v.Version, live, f.Awake())
	e.Away = c.Away(f.ranSince)
	f.namings.Add(e)
	f.asked = 0
	f.planQuestion()
}

func (f *Feed) ranSince(at time.Duration) bool { return f.RanSince == nil || f.RanSince(at) }

// takeNamed adopts what a peer tells of the namings; it is called with the feed
// locked.
func (f *Feed) takeNamed(r naming.Reply, told []naming.Statement) {
	before := f.namings.All()
	if !f.namings.Take(r, told, f.ranSince) || !f.known {
		return
	}
	f.noteDated(before)
	f.publish()
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
