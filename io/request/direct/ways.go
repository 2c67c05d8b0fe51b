package direct

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Times of the ways to targets.
const (
	// dialSlack is how much longer than the way itself takes an entry waits for a
	// target's connection. One that is dark never answers, and what is sent over a
	// choked link may arrive seconds after its caller has gone. The request has not
	// been sent and can still be on time elsewhere.
	dialSlack = 150 * time.Millisecond
	// unknownDial is the wait while the way is not known: a round trip to the other
	// side of the globe, and as much again for a target that is busy.
	unknownDial = 600 * time.Millisecond
	// wayLife is how long a measured way is gone by. A route that has become longer
	// for good would otherwise never be connected over again.
	wayLife = time.Minute
	// wayTries is how many connections are made before the way counts in the choice
	// of targets: the first ones meet machines that are still starting, and a near
	// zone taken for a far one would get no request that corrects it.
	wayTries = 5
)

// ways holds how long a connection takes to the targets of each zone at the least.
type ways struct {
	clock clockwork.Clock
	// learnt, when set, is told the least time of a zone when it is known and when
	// it changes.
	learnt func(zone string, takes time.Duration)

	mu    sync.Mutex
	least map[string]way
}

// way is the least time that a connection has taken lately, since when it is known,
// and how many connections tell of it.
type way struct {
	takes time.Duration
	since time.Time
	tries int
}

// timeout is how long to wait for a connection to a target of the zone.
func (w *ways) timeout(zone string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.least[zone]
	if !ok || w.clock.Since(known.since) > wayLife {
		return unknownDial
	}
	return known.takes + dialSlack
}

// note takes how long a connection took to a target of the zone.
func (w *ways) note(zone string, took time.Duration) {
	if takes, news := w.take(zone, took); news && w.learnt != nil {
		w.learnt(zone, takes)
	}
}

// take returns the least time to the zone, and whether that is news.
func (w *ways) take(zone string, took time.Duration) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	known, ok := w.least[zone]
	shorter := !ok || took < known.takes || now.Sub(known.since) > wayLife
	if shorter {
		known.takes, known.since = took, now
	}
	known.tries++
	if w.least == nil {
		w.least = map[string]way{}
	}
	w.least[zone] = known
	return known.takes, known.tries == wayTries || known.tries > wayTries && shorter
}
