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
)

// ways holds how long a connection takes to the targets of each zone at the least.
type ways struct {
	clock clockwork.Clock

	mu    sync.Mutex
	least map[string]way
}

// way is the least time that a connection has taken lately, and since when it is
// known.
type way struct {
	takes time.Duration
	since time.Time
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
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.least[zone]
	if ok && took >= known.takes && w.clock.Since(known.since) <= wayLife {
		return
	}
	if w.least == nil {
		w.least = map[string]way{}
	}
	w.least[zone] = way{takes: took, since: w.clock.Now()}
}
