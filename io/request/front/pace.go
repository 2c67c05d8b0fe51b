package front

import "time"

// pacer measures the time from token to token of one attempt at a stream. It
// tells how fast a target is, whatever the prompt and the queue were.
type pacer struct {
	relay *eventRelay
	from  int
	first time.Time
	last  time.Time
}

func newPacer(rl relay) *pacer {
	r, ok := rl.(*eventRelay)
	if !ok {
		return &pacer{}
	}
	return &pacer{relay: r, from: r.tokens}
}

// data notes that a part of the answer came at now.
func (p *pacer) data(now time.Time) {
	if p.first.IsZero() {
		p.first = now
	}
	p.last = now
}

// each returns the time between tokens; it is false for too few of them.
func (p *pacer) each() (time.Duration, bool) {
	if p.relay == nil {
		return 0, false
	}
	gaps := p.relay.tokens - p.from - 1
	if gaps < 1 {
		return 0, false
	}
	return p.last.Sub(p.first) / time.Duration(gaps), true
}

// paced tells the chooser how fast a target was.
func (p *policy) paced(target string, m *pacer) {
	each, ok := m.each()
	if !ok {
		return
	}
	p.use(func() { p.chooser.Paced(p.clock.Now(), target, each) })
}
