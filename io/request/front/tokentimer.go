package front

import "time"

// tokenTimer measures the mean time between the tokens of one attempt at a stream.
// Unlike the time to the first token, this depends on neither the prompt nor the queue,
// and so shows the speed of the target.
type tokenTimer struct {
	relay      *eventRelay
	firstToken int
	firstData  time.Time
	lastData   time.Time
}

func newTokenTimer(rl relay) *tokenTimer {
	r, ok := rl.(*eventRelay)
	if !ok {
		return &tokenTimer{}
	}
	return &tokenTimer{relay: r, firstToken: r.tokens}
}

// onData records the arrival of a part of the answer.
func (t *tokenTimer) onData(now time.Time) {
	if t.firstData.IsZero() {
		t.firstData = now
	}
	t.lastData = now
}

// tokenInterval returns the mean time between tokens. It returns false if there were
// fewer than two.
func (t *tokenTimer) tokenInterval() (time.Duration, bool) {
	if t.relay == nil {
		return 0, false
	}
	gaps := t.relay.tokens - t.firstToken - 1
	if gaps < 1 {
		return 0, false
	}
	return t.lastData.Sub(t.firstData) / time.Duration(gaps), true
}

// reportTokenInterval passes the measured speed of a target to the chooser.
func (p *policy) reportTokenInterval(target string, timer *tokenTimer) {
	tokenInterval, ok := timer.tokenInterval()
	if !ok {
		return
	}
	p.locked(func() { p.chooser.ObserveTokenInterval(p.clock.Now(), target, tokenInterval) })
}
