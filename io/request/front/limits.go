package front

import (
	"time"

	"hawthornferry/core/request/route"
)

// Limits bound what callers may use. Sizes are in bytes.
type Limits struct {
	// MaxBody and MaxHeader bound one request.
	MaxBody   int
	MaxHeader int
	// MaxBodies bounds the bodies of all requests in flight together.
	MaxBodies int
	// HeaderTimeout and BodyTimeout bound the time in which a caller sends
	// its request; WriteTimeout bounds each write of an answer to it.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	IdleTimeout   time.Duration
	// Notice is how long a draining entry that is not ready any more still
	// serves callers, until the balancer has taken it out.
	Notice time.Duration
	// MaxInFlight bounds the calls of the entry.
	MaxInFlight int
	// Subset is the most targets of one service to keep sessions with.
	Subset int
	// Attempts is the most targets tried for one call.
	Attempts int
	// AskFor bounds the time in which a side is asked for the outcome of a
	// call whose connection failed.
	AskFor time.Duration
}

// DefaultLimits returns the limits in force where none are set.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:       1 << 20,
		MaxHeader:     32 << 10,
		MaxBodies:     16 << 20,
		HeaderTimeout: 10 * time.Second,
		BodyTimeout:   10 * time.Second,
		WriteTimeout:  30 * time.Second,
		IdleTimeout:   2 * time.Minute,
		Notice:        time.Second,
		MaxInFlight:   2048,
		Subset:        route.DefaultSubset,
		Attempts:      3,
		AskFor:        3 * time.Second,
	}
}

func (l Limits) orDefault() Limits {
	d := DefaultLimits()
	l.MaxBody = or(l.MaxBody, d.MaxBody)
	l.MaxHeader = or(l.MaxHeader, d.MaxHeader)
	l.MaxBodies = max(or(l.MaxBodies, d.MaxBodies), l.MaxBody)
	l.HeaderTimeout = or(l.HeaderTimeout, d.HeaderTimeout)
	l.BodyTimeout = or(l.BodyTimeout, d.BodyTimeout)
	l.WriteTimeout = or(l.WriteTimeout, d.WriteTimeout)
	l.IdleTimeout = or(l.IdleTimeout, d.IdleTimeout)
	l.Notice = or(l.Notice, d.Notice)
	l.MaxInFlight = or(l.MaxInFlight, d.MaxInFlight)
	l.Subset = or(l.Subset, d.Subset)
	l.Attempts = or(l.Attempts, d.Attempts)
	l.AskFor = or(l.AskFor, d.AskFor)
	return l
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
