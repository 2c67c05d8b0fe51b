package naming

import "time"

const (
	// unknownAge is how long ago a version is taken to have been named that a
	// process finds at its start: the time by which it was to be served may be
	// over. A peer that has heard it named tells better.
	unknownAge = time.Hour
	// MostGap is how far a watch may begin after the store's last answer, and end
	// after its wait, and still tell of a version as it is named.
	MostGap = 200 * time.Millisecond
	// firstWait is the wait of a watch that follows on a longer gap. It brings what
	// was missed, so that the next one tells of changes as they are made.
	firstWait = time.Millisecond
)

// Ran reports whether this process ran without a standstill from a moment until
// now.
type Ran func(since time.Duration) bool

// Contact is how a process was last in touch with the store, by itself or through a
// peer. Moments are on a clock that counts suspension.
type Contact struct {
	// Known is set once the process believes anything, and Revision is the
	// store's that it believes.
	Known    bool
	Revision uint64
	// Confirmed is when the belief was last known to be true.
	Confirmed time.Duration
	// Answered is until when the store's last answer to this process tells, and
	// Failed when a call of this process to the store last failed.
	Answered time.Duration
	Failed   time.Duration
}

// Away reports whether the store has been out of this process's reach since the
// belief was last confirmed, though the process ran all the while.
func (c Contact) Away(ran Ran) bool {
	return c.Known && c.Failed > c.Confirmed && ran(c.Confirmed)
}

// Call is a watch or a list that has ended.
type Call struct {
	Asked time.Duration
	Got   time.Duration
	// Wait is how long the store was to wait for a change.
	Wait time.Duration
}

// Moment is a time that may not be known.
type Moment struct {
	At    time.Duration
	Known bool
}

// WaitOf is how long a watch that begins now is to wait, if it may wait for most.
func (c Contact) WaitOf(asked, most time.Duration) time.Duration {
	if asked-c.Answered > MostGap {
		return firstWait
	}
	return most
}

// LiveAt is when the changes were made that a watch has brought, if it brought them
// as they were made: it began right after the store's last answer, ended no later
// than it was to, and the process ran all the while.
func (c Contact) LiveAt(w Call, ran Ran) Moment {
	live := c.Known && w.Asked-c.Answered <= MostGap && w.Got-w.Asked <= w.Wait+MostGap
	return Moment{At: w.Got, Known: live && ran(c.Answered)}
}

// Answer takes in that the store answered a call. An answer that lay unread while
// the process stood still tells nothing of that time: were it taken for one of the
// moment at which it was read, the next watch would bring what was named during the
// standstill at once, and it would count as named just now.
func (c *Contact) Answer(w Call, ran Ran) {
	c.Answered = w.Asked
	if ran(w.Asked) {
		c.Answered = w.Got
	}
}

// Read is what a process that reads a version in the store takes to be its naming.
// live is when the version was written, if it came as that happened. Else the
// process was cut off or did not run, and takes the version for named as early as it
// can have been: counted from the moment at which it hears, the bound on older
// versions would end later here than elsewhere, by as much as the process was out of
// touch.
func (c Contact) Read(model string, version uint64, live Moment, now time.Duration) Entry {
	e := Entry{Model: model, Version: version, Since: c.Confirmed, Read: true, Until: now}
	switch {
	case !c.Known:
		e.Since = now - unknownAge
	case live.Known:
		e.Since, e.Heard = live.At, true
	}
	return e
}

// Confirm makes what is held the belief of the moment since, at a revision.
func (c *Contact) Confirm(since time.Duration, at uint64) {
	c.Known = true
	c.Revision = max(c.Revision, at)
	c.Confirmed = max(c.Confirmed, since)
}

// Adopts reports whether a belief that a peer tells replaces the one held. One with
// a newer revision does also if its confirmation is older: the peer heard of the
// change in a watch that began before another peer's last one. Peers are asked at
// the same time, so another answer may have come since the question left; one of a
// newer revision has all that that one brought.
func (c Contact) Adopts(since time.Duration, at uint64) bool {
	return at > c.Revision || at == c.Revision && (!c.Known || since > c.Confirmed)
}
