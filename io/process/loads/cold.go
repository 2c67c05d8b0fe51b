package loads

import "time"

// coldEngine tells whether the engine is cold because it has started lately. The platform
// lists that only with the engine's next heartbeat.
type coldEngine struct {
	seen    bool
	started time.Time
	until   time.Duration
}

// observe records a poll of the engine at a time on the uptime clock. started is when the
// engine says that it started, wall the present time of day, and silent whether it did not
// answer before.
func (c *coldEngine) observe(now time.Duration, wall, started time.Time, silent bool, warmup time.Duration) {
	switch {
	case !c.seen && !started.IsZero():
		c.until = now + max(0, min(warmup, warmup-wall.Sub(started)))
	case !started.Equal(c.started) || silent && c.seen:
		c.until = now + warmup
	}
	c.seen, c.started = true, started
}

func (c *coldEngine) isCold(now time.Duration) bool { return now < c.until }
