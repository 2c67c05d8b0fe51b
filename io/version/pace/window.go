package pace

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// The control of a Window.
const (
	// aimedDelay is how long what is on its way may wait before the machine's
	// link: callers' requests stand behind it there.
	aimedDelay = 200 * time.Millisecond
	// growth is how many times the rate seen lately is allowed for: below
	// two, a window that peers had kept small would stay so.
	growth = 2
	// rateBucket and rateBuckets span the time over which the rate is seen.
	rateBucket  = 250 * time.Millisecond
	rateBuckets = 4
	// leastWindow lets one chunk of usual size come at a time, in bytes.
	leastWindow = 56 << 10
)

// Window bounds the bytes that a side has asked for and not got by the rate at
// which they come. When a link carries a tenth of what it should, what was
// asked for piles up before it, seconds deep, and every request to the machine
// arrives behind it, after its caller has gone. Set the exported fields before
// the first call. A nil Window bounds nothing.
type Window struct {
	Clock clockwork.Clock
	// Most is the bound on a link that carries what it should, in bytes.
	Most int64

	mu      sync.Mutex
	out     int64
	buckets [rateBuckets]int64
	last    int64
	begun   bool
	waiters []chan struct{}
}

// Acquire waits until n bytes may be asked for. A single block always may.
func (w *Window) Acquire(ctx context.Context, n int64) error {
	if w == nil {
		return nil
	}
	for {
		w.mu.Lock()
		if w.take(n) {
			w.mu.Unlock()
			return nil
		}
		c := make(chan struct{})
		w.waiters = append(w.waiters, c)
		w.mu.Unlock()
		select {
		case <-c:
		case <-w.Clock.After(rateBucket):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TryAcquire reports whether n bytes may be asked for now, and counts them if so.
func (w *Window) TryAcquire(n int64) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.take(n)
}

// take counts n bytes if there is room for them; it is called with mu held.
func (w *Window) take(n int64) bool {
	w.turn()
	if w.out > 0 && w.out+n > w.size() {
		return false
	}
	w.out += n
	return true
}

// Release takes the end of n bytes that were asked for, of which got came.
func (w *Window) Release(n, got int64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	w.out -= n
	w.buckets[w.last%rateBuckets] += got
	if w.out == 0 && w.buckets == [rateBuckets]int64{} {
		// Every question was refused at once, as by an origin that is away.
		// That tells nothing of the link.
		w.begun = false
	}
	for _, c := range w.waiters {
		close(c)
	}
	w.waiters = nil
}

// turn clears the buckets that are over. A side that has rested starts anew
// with the whole window: its link need not be what it was.
func (w *Window) turn() {
	at := w.Clock.Now().UnixNano() / int64(rateBucket)
	if at-w.last >= rateBuckets {
		w.buckets = [rateBuckets]int64{}
		w.begun = w.out > 0
		w.last = at
		return
	}
	for w.last < at {
		w.last++
		w.buckets[w.last%rateBuckets] = 0
		w.begun = true
	}
}

// size is the present bound in bytes.
func (w *Window) size() int64 {
	if !w.begun {
		return w.Most
	}
	most := int64(0)
	for _, n := range w.buckets {
		most = max(most, n)
	}
	rate := float64(most) / rateBucket.Seconds()
	return min(max(int64(growth*rate*aimedDelay.Seconds()), leastWindow), w.Most)
}
