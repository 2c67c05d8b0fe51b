package sessn

import "time"

// Timing sets the intervals and timeouts of a session. HeartbeatInterval is the time
// between heartbeats. A connection on which nothing is received for SilenceTimeout is
// closed, and the entry opens another; SilenceTimeout must be longer than
// HeartbeatInterval, or healthy connections are closed. SilenceTimeout also limits an
// attempt to connect. RedialDelay is the wait after a failed attempt.
type Timing struct {
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	RedialDelay       time.Duration
}

// DefaultTiming returns the timing that is used when none is set.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 500 * time.Millisecond,
		SilenceTimeout:    2 * time.Second,
		RedialDelay:       250 * time.Millisecond,
	}
}

func (t Timing) orDefaults() Timing {
	if t == (Timing{}) {
		return DefaultTiming()
	}
	return t
}
