package facts

import "time"

// Source is a belief that is replaced while it is read.
type Source interface {
	Current() *Facts
	// Age is how long ago the belief was last known to be true; false while
	// nothing is believed.
	Age() (time.Duration, bool)
}

// Age is how old a belief is at the most, if that is known.
type Age struct {
	Most  time.Duration
	Known bool
}

// OlderThan reports whether the belief may be older than d.
func (a Age) OlderThan(d time.Duration) bool { return !a.Known || a.Most > d }

// Take returns the belief and its age. The age is read first: read last, it could be
// that of a belief that came in between, and a revoked key would pass by the old
// table. A belief that comes between the two is at most younger than it is taken
// for, which costs a caller a moment's wait.
func Take(s Source) (*Facts, Age) {
	most, known := s.Age()
	return s.Current(), Age{Most: most, Known: known}
}
