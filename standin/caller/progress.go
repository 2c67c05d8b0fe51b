package caller

import (
	"fmt"
	"time"
)

// progressInterval is the time between progress lines.
const progressInterval = time.Second

// startProgress writes a line to Progress every progressInterval until the run
// stops. The returned channel is closed after the last line.
func (l *LoadTest) startProgress(stopped <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if l.Progress == nil {
			return
		}
		t := l.Clock.NewTicker(progressInterval)
		defer t.Stop()
		for {
			select {
			case <-stopped:
				return
			case <-t.Chan():
				l.writeProgress()
			}
		}
	}()
	return ended
}

func (l *LoadTest) writeProgress() {
	l.counts.mu.Lock()
	defer l.counts.mu.Unlock()
	var sum Total
	var inFlight int64
	for _, t := range l.counts.rows {
		sum.add(t.row(rowKey{}, 0))
		inFlight += t.started - t.ended
	}
	fmt.Fprintf(l.Progress, "callers %4.0fs  done %d  notRun %d  unknown %d  not whole %d  in flight %d\n",
		l.Clock.Since(l.start).Seconds(), sum.Done, sum.NotRun, sum.Unknown, sum.NotWhole, inFlight)
}
