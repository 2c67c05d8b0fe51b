package direct

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timeouts and limits of connecting to targets.
const (
	// dialSlack is how much longer than the shortest measured time the entry waits for
	// a connection. An unreachable target never responds, and over a congested link a
	// request may arrive seconds after its caller has gone. At this point the request
	// has not been sent and can still be in time at another target.
	dialSlack = 150 * time.Millisecond
	// maxTimerDelay is how late a timer fires at most while the process gets the CPU.
	maxTimerDelay = 10 * time.Millisecond
	// maxDials is the most connections tried for one attempt in a process that runs late.
	maxDials = 3
	// defaultDialTimeout applies while no time has been measured: a round trip to the
	// other side of the globe, and as much again for a target that is busy.
	defaultDialTimeout = 600 * time.Millisecond
	// dialTimeMaxAge is how long a measured time is used. Without it, no connection
	// would succeed again once a network path has become longer for good.
	dialTimeMaxAge = time.Minute
	// minDialSamples is the number of connections to a zone after which the measured
	// time is used to choose targets. The first connections may meet machines that are
	// still starting, and a near zone that seems far away would get no requests that
	// correct the time.
	minDialSamples = 5
)

// dialTimes holds, by zone, the shortest time that a connection to a target took.
type dialTimes struct {
	clock clockwork.Clock
	// onChange, if set, is called with the shortest time of a zone when there are
	// enough samples, and after each change.
	onChange func(zone string, shortest time.Duration)

	mu     sync.Mutex
	byZone map[string]zoneDialTime
}

// zoneDialTime is the shortest recent time to connect to targets of a zone, when it was
// measured, and the number of connections made so far.
type zoneDialTime struct {
	shortest   time.Duration
	measuredAt time.Time
	samples    int
}

// timeout returns how long to wait for a connection to a target of the zone.
func (d *dialTimes) timeout(zone string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.byZone[zone]
	if !ok || d.clock.Since(known.measuredAt) > dialTimeMaxAge {
		return defaultDialTimeout
	}
	return known.shortest + dialSlack
}

// record records how long a connection to a target of the zone took.
func (d *dialTimes) record(zone string, took time.Duration) {
	if shortest, changed := d.update(zone, took); changed && d.onChange != nil {
		d.onChange(zone, shortest)
	}
}

// update updates the shortest time to the zone and returns it, and whether onChange must
// be called.
func (d *dialTimes) update(zone string, took time.Duration) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	known, ok := d.byZone[zone]
	shorter := !ok || took < known.shortest || now.Sub(known.measuredAt) > dialTimeMaxAge
	if shorter {
		known.shortest, known.measuredAt = took, now
	}
	known.samples++
	if d.byZone == nil {
		d.byZone = map[string]zoneDialTime{}
	}
	d.byZone[zone] = known
	return known.shortest, known.samples == minDialSamples || known.samples > minDialSamples && shorter
}
