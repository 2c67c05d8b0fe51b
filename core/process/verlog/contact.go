package verlog

import "time"

const (
	// ageAtStart is how long ago a version that a process finds at its start is
	// assumed to have been announced: the time limit by which it had to be
	// served may have passed already. A peer that saw the announcement supplies
	// the real time.
	ageAtStart = time.Hour
	// MaxGap is the longest time that a watch may begin after the store's last
	// answer, and end after its wait, for its changes still to count as
	// received when they were made. A larger gap dates versions later than they
	// were announced, by up to as much; with a smaller one a busy process takes
	// more changes for missed ones.
	MaxGap = 200 * time.Millisecond
	// catchUpWait is the wait of a watch that begins more than MaxGap after
	// the last answer. It fetches what was missed, so that the next watch
	// receives changes as they are made.
	catchUpWait = time.Millisecond
)

// RanSince reports whether this process has run without being suspended since
// the given time.
type RanSince func(since time.Duration) bool

// Contact records when a process was last in contact with the store, directly
// or through a peer. Times are on a clock that keeps counting while the machine
// is suspended.
type Contact struct {
	// Known is set once the process has any state of the store; Revision is the
	// store revision of that state.
	Known    bool
	Revision uint64
	// Confirmed is the last time at which that state was known to be current.
	Confirmed time.Duration
	// Answered is the time up to which the store's last answer to this process
	// accounts for all changes; Failed is when a call of this process to the
	// store last failed.
	Answered time.Duration
	Failed   time.Duration
}

// StoreUnreachable reports whether the store has been unreachable since the
// state was last confirmed, with this process running all the while.
func (c Contact) StoreUnreachable(ran RanSince) bool {
	return c.Known && c.Failed > c.Confirmed && ran(c.Confirmed)
}

// StoreCall is a finished watch or list request to the store: when it was sent
// and when the answer was read.
type StoreCall struct {
	Asked time.Duration
	Got   time.Duration
	// Wait is how long the store was asked to wait for a change; 0 for a list.
	Wait time.Duration
}

// OptionalTime is a time that may be unknown.
type OptionalTime struct {
	At    time.Duration
	Known bool
}

// WatchWait returns how long a watch that begins at asked should wait, given
// the longest wait allowed.
func (c Contact) WatchWait(asked, most time.Duration) time.Duration {
	if asked-c.Answered > MaxGap {
		return catchUpWait
	}
	return most
}

// ChangesMadeAt returns when the changes in a watch's answer were made, if the
// watch received them as they were made. That is so if it began within MaxGap
// of the store's last answer, ended within MaxGap of its wait, and the process
// was not suspended meanwhile.
func (c Contact) ChangesMadeAt(w StoreCall, ran RanSince) OptionalTime {
	live := c.Known && w.Asked-c.Answered <= MaxGap && w.Got-w.Asked <= w.Wait+MaxGap
	return OptionalTime{At: w.Got, Known: live && ran(c.Answered)}
}

// RecordAnswer records that the store answered a call. An answer that may have
// waited unread while the process was suspended counts only as of the time the
// call was sent. Counted from when it was read, the next watch would look live,
// return at once what was announced during the suspension, and date it as
// announced just now.
func (c *Contact) RecordAnswer(w StoreCall, ran RanSince) {
	c.Answered = w.Asked
	if ran(w.Asked) {
		c.Answered = w.Got
	}
}

// EntryFor returns the entry for a version that a process has read from the
// store. live is when the version was written, if it was received as it was
// written. Otherwise the process was disconnected or suspended, and the
// earliest possible time is used, which is the last confirmation (ageAtStart
// ago if there is none): counted from the time of reading, the limit on older
// versions would end later here than on other processes, by as long as this one
// was disconnected.
func (c Contact) EntryFor(model string, version uint64, live OptionalTime, now time.Duration) Entry {
	e := Entry{Model: model, Version: version, Since: c.Confirmed, Read: true, ReadAt: now}
	switch {
	case !c.Known:
		e.Since = now - ageAtStart
	case live.Known:
		e.Since, e.Exact = live.At, true
	}
	return e
}

// Confirm records that the state at the given revision was current at the time
// since.
func (c *Contact) Confirm(since time.Duration, revision uint64) {
	c.Known = true
	c.Revision = max(c.Revision, revision)
	c.Confirmed = max(c.Confirmed, since)
}

// ShouldAdopt reports whether state received from a peer, confirmed at since
// with the given revision, replaces the current state. A newer revision does even if
// its confirmation is older: the peer got the change from a watch that began
// before another peer's latest one. Peers are asked in parallel, so another
// answer may have arrived since the question was sent; a newer revision
// includes everything that the other answer contained.
func (c Contact) ShouldAdopt(since time.Duration, revision uint64) bool {
	return revision > c.Revision || revision == c.Revision && (!c.Known || since > c.Confirmed)
}
