// Package fresh decides whether the last message from another process is recent
// enough to rely on. Entries and sides use it: for calls (core/request/calls,
// io/request/gate) and for the connections that carry them (io/conn/sessn). Each
// process reads only its own clock; the clocks of two processes are never compared.
package fresh

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ClockReading is a reading of a side's clock. The side sends one with each heartbeat,
// and the entry includes the latest one that it has received in each call. Tickets
// contain the reading at which they were issued.
type ClockReading struct {
	// Boot identifies one run of the side.
	Boot string `msgpack:"boot"`
	// At is the time since the start of that run.
	At time.Duration `msgpack:"at"`
}

// Check returns an error for the first invalid field.
func (r ClockReading) Check() error {
	if r.Boot == "" {
		return errors.New("reading: boot is empty")
	}
	if r.At < 0 {
		return errors.Newf("reading: time since the boot is %s, want 0 or more", r.At)
	}
	return nil
}

// Freshness is how a reading in a call compares with the side's clock.
type Freshness string

// The results of CheckFreshness. OtherBoot is for a reading from another run of the
// side.
const (
	Fresh     Freshness = "fresh"
	Stale     Freshness = "stale"
	OtherBoot Freshness = "otherBoot"
)

// CheckFreshness compares the reading echo of a call with now, the current reading of
// the side that received the call. Only a call with a fresh reading may start. A
// reading older than maxAge, or from the future, is stale.
//
// Without this check, a call that was delayed in an unresponsive connection or a
// paused entry could start long after its caller was told to try elsewhere. Readings
// are issued and their age is measured by the side alone, so that neither clock drift
// nor a pause of the entry can make an old call look new.
func CheckFreshness(now, echo ClockReading, maxAge time.Duration) Freshness {
	if echo.Boot != now.Boot {
		return OtherBoot
	}
	age := now.At - echo.At
	if age < 0 || age > maxAge {
		return Stale
	}
	return Fresh
}

// SilenceDetector detects when an open connection has received nothing for too long.
//
// If a device between the two ends has lost the state of a connection, neither end
// gets an error, and calls would wait until their deadlines. A healthy connection
// receives heartbeats at a known rate, so if several of them are missing, the
// connection must be replaced.
type SilenceDetector struct {
	// Timeout is the time without a message after which the connection counts as
	// timed out.
	Timeout      time.Duration
	lastReceived time.Time
}

// MessageReceived records that a message was received at now.
func (s *SilenceDetector) MessageReceived(now time.Time) { s.lastReceived = now }

// TimedOut reports whether nothing was received for longer than Timeout. Call
// MessageReceived when the connection is opened; without it, every connection counts
// as timed out.
func (s *SilenceDetector) TimedOut(now time.Time) bool { return now.Sub(s.lastReceived) > s.Timeout }
