package demand

import (
	"time"

	"hawthornferry/core/request/level"
)

// minChangeInterval is the shortest time between two log lines about a service's level.
const minChangeInterval = time.Second

// Changes tells when the level of a service has changed so much that it is to be logged: when
// another priority is the least urgent one that is admitted in full. The zero value is ready
// to use. It is not safe for concurrent use.
type Changes struct {
	logged map[string]loggedLevel
}

// loggedLevel is how many of a service's priorities were admitted in full, from the most
// urgent one on, by the last log line, and when that was written.
type loggedLevel struct {
	full int
	at   time.Duration
}

// Observe reports whether the level of a service, which has the given priorities, is to be
// logged. A change within minChangeInterval of the last one is reported after that.
func (c *Changes) Observe(now time.Duration, service string, s level.State, priorities []int) bool {
	full := admittedInFull(s, priorities)
	last, known := c.logged[service]
	if !known && full == len(priorities) || known && (full == last.full || now < last.at+minChangeInterval) {
		return false
	}
	if c.logged == nil {
		c.logged = map[string]loggedLevel{}
	}
	c.logged[service] = loggedLevel{full, now}
	return true
}

// admittedInFull returns how many of the priorities are admitted in full, from the most urgent
// one on.
func admittedInFull(s level.State, priorities []int) int {
	for i, p := range priorities {
		if Share(s, p) < 1 {
			return i
		}
	}
	return len(priorities)
}

// Share returns the share of the requests of a priority that may begin.
func Share(s level.State, priority int) float64 {
	if !s.InForce || priority < 0 || priority >= level.Priorities {
		return 1
	}
	return s.Shares[priority]
}
