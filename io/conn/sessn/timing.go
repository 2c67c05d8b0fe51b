package sessn

import "time"

// Timing sets the rates and waits of a session. Beat is the time between
// heartbeats; a connection that is quiet for Silent is replaced; Redial is
// the wait before the next try after a failed one.
type Timing struct {
	Beat   time.Duration
	Silent time.Duration
	Redial time.Duration
}

// DefaultTiming returns the timing in force where none is set.
func DefaultTiming() Timing {
	return Timing{
		Beat:   500 * time.Millisecond,
		Silent: 2 * time.Second,
		Redial: 250 * time.Millisecond,
	}
}

func (t Timing) orDefault() Timing {
	if t == (Timing{}) {
		return DefaultTiming()
	}
	return t
}
