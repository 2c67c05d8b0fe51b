package caller

import (
	"fmt"
	"time"
)

// progressEvery is the time between progress lines.
const progressEvery = time.Second

// progress writes a line every second until the run stops.
func (l *Load) progress(stopped <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if l.Progress == nil {
			return
		}
		t := l.Clock.NewTicker(progressEvery)
		defer t.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-t.Chan():
				l.progressLine()
			}
		}
	}()
	return ended
}

func (l *Load) progressLine() {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	var sum Total
	var open int64
	for _, t := range l.counts.rows {
		sum.add(t.row(slot{}, 0))
		open += t.started - t.ended
	}
	fmt.Fprintf(l.Progress, "callers %4.0fs  done %d  notRun %d  unknown %d  not whole %d  in flight %d\n",
		l.Clock.Since(l.start).Seconds(), sum.Done, sum.NotRun, sum.Unknown, sum.NotWhole, open)
}
