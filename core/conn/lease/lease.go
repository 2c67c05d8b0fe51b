// Package lease says how long what one process last heard of another may be
// relied on. A side reads only its own clock and an entry only its own; the
// two are never compared.
package lease

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Reading is a side's own clock: the time since its boot. Heartbeats carry
// it and each call echoes the latest one that the entry has seen.
type Reading struct {
	Boot string        `msgpack:"boot"`
	At   time.Duration `msgpack:"at"`
}

// Check reports the first field that is out of its domain.
func (r Reading) Check() error {
	if r.Boot == "" {
		return errors.New("reading: boot is empty")
	}
	if r.At < 0 {
		return errors.Newf("reading: %s is before the boot", r.At)
	}
	return nil
}

// Standing is what a side concludes from an echoed reading.
type Standing string

// The conclusions.
const (
	Fresh     Standing = "fresh"
	Stale     Standing = "stale"
	OtherBoot Standing = "otherBoot"
)

// Judge tells whether a call that echoes a reading may start at a side whose
// clock reads now. A reading that is over maxAge old, or from the future, is
// stale.
//
// Without it a call that sat in a silent connection or in a paused entry
// would start long after its caller was told to look elsewhere. The side
// alone issues readings and alone measures their age, so neither clock drift
// nor a pause of the entry can make an old call look new.
func Judge(now, echo Reading, maxAge time.Duration) Standing {
	if echo.Boot != now.Boot {
		return OtherBoot
	}
	age := now.At - echo.At
	if age < 0 || age > maxAge {
		return Stale
	}
	return Fresh
}

// Silence tells when an open connection has been quiet for too long.
//
// A connection that something between the two ends has lost track of gives no
// error: its calls would wait until their deadlines. Heartbeats make a
// healthy connection speak at a known rate, so quiet for several of them
// means that the connection must be replaced.
type Silence struct {
	After time.Duration
	last  time.Time
}

// Heard notes that a message came in at now.
func (s *Silence) Heard(now time.Time) { s.last = now }

// Silent reports whether nothing has come in for After. A connection that
// has never spoken counts from the first Heard.
func (s *Silence) Silent(now time.Time) bool { return now.Sub(s.last) > s.After }
