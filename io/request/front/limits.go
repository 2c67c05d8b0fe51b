package front

import (
	"time"

	"hawthornferry/core/request/picker"
)

// Limits limits the resources that callers may use. Sizes are in bytes.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes limit a single request.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxBodyBytesTotal limits the total size of the bodies of all requests in flight.
	MaxBodyBytesTotal int
	// HeaderTimeout and BodyTimeout limit how long a caller may take to send its
	// request header and body. WriteTimeout limits each write of a response to it.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	IdleTimeout   time.Duration
	// DrainNotice is how long a draining entry, which already reports not ready, keeps
	// serving callers until the load balancer has removed it.
	DrainNotice time.Duration
	// MaxInFlight limits the number of calls in flight at the entry.
	MaxInFlight int
	// SubsetSize is the maximum number of targets of a service to keep sessions with.
	SubsetSize int
	// MaxAttempts is the maximum number of targets tried for a call.
	MaxAttempts int
	// QueryTimeout limits how long the entry tries to query a side for the outcome of a
	// call whose connection failed. It also limits the wait for a session with the only
	// side that may run a bound call, and a caller's query about a ticket.
	QueryTimeout time.Duration
}

// DefaultLimits returns the limits that apply where none are configured.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:      1 << 20,
		MaxHeaderBytes:    32 << 10,
		MaxBodyBytesTotal: 16 << 20,
		HeaderTimeout:     10 * time.Second,
		BodyTimeout:       10 * time.Second,
		WriteTimeout:      30 * time.Second,
		IdleTimeout:       2 * time.Minute,
		DrainNotice:       time.Second,
		MaxInFlight:       2048,
		SubsetSize:        picker.DefaultSubsetSize,
		MaxAttempts:       3,
		QueryTimeout:      3 * time.Second,
	}
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.MaxBodyBytes = valueOr(l.MaxBodyBytes, d.MaxBodyBytes)
	l.MaxHeaderBytes = valueOr(l.MaxHeaderBytes, d.MaxHeaderBytes)
	l.MaxBodyBytesTotal = max(valueOr(l.MaxBodyBytesTotal, d.MaxBodyBytesTotal), l.MaxBodyBytes)
	l.HeaderTimeout = valueOr(l.HeaderTimeout, d.HeaderTimeout)
	l.BodyTimeout = valueOr(l.BodyTimeout, d.BodyTimeout)
	l.WriteTimeout = valueOr(l.WriteTimeout, d.WriteTimeout)
	l.IdleTimeout = valueOr(l.IdleTimeout, d.IdleTimeout)
	l.DrainNotice = valueOr(l.DrainNotice, d.DrainNotice)
	l.MaxInFlight = valueOr(l.MaxInFlight, d.MaxInFlight)
	l.SubsetSize = valueOr(l.SubsetSize, d.SubsetSize)
	l.MaxAttempts = valueOr(l.MaxAttempts, d.MaxAttempts)
	l.QueryTimeout = valueOr(l.QueryTimeout, d.QueryTimeout)
	return l
}

func valueOr[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
