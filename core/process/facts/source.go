package facts

import "time"

// Source provides the current facts, which may be replaced at any time.
type Source interface {
	Current() *Facts
	// Age returns how long ago the facts were last known to be current, and
	// false while there are none.
	Age() (time.Duration, bool)
}

// Age is an upper bound on how old facts are, if known.
type Age struct {
	Max   time.Duration
	Known bool
}

// OlderThan reports whether the facts may be older than d.
func (a Age) OlderThan(d time.Duration) bool { return !a.Known || a.Max > d }

// Snapshot returns the current facts and their age. The age is read first. If
// it were read last, it could belong to newer facts that arrived between the
// two reads, and a revoked key would be accepted by the old table. Read first,
// the facts can only be younger than the age says, which at worst makes a
// caller wait for a moment.
func Snapshot(s Source) (*Facts, Age) {
	most, known := s.Age()
	return s.Current(), Age{Max: most, Known: known}
}
