package pace

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Parameters of a Window.
const (
	// queueDelayGoal is how long requested bytes may queue on the machine's
	// link. Requests of callers wait behind them there.
	queueDelayGoal = 200 * time.Millisecond
	// growthFactor is how many times the recently measured rate the limit
	// allows for. Below two, a window that was small because peers sent slowly
	// would not grow again.
	growthFactor = 2
	// bucketSpan and bucketCount determine the period over which the rate is
	// measured, one second.
	bucketSpan  = 250 * time.Millisecond
	bucketCount = 4
	// minWindow, in bytes, has room for one chunk of usual size at a time.
	minWindow = 56 << 10
)

// Window limits the bytes that a side has requested and not yet received,
// based on the rate at which they arrive. If a link carries only a tenth of
// its normal rate, requested data would otherwise queue on it for seconds, and
// requests to the machine would arrive only after their callers have given up.
// Set the exported fields before the first call. A nil Window does not limit.
type Window struct {
	Clock clockwork.Clock
	// MaxBytes is the limit in bytes on a link with its normal rate.
	MaxBytes int64

	mu            sync.Mutex
	outstanding   int64
	buckets       [bucketCount]int64
	currentBucket int64
	measured      bool
	waiters       []chan struct{}
}

// Acquire waits until n bytes may be requested and counts them. A single block
// may always be requested.
func (w *Window) Acquire(ctx context.Context, n int64) error {
	if w == nil {
		return nil
	}
	for {
		w.mu.Lock()
		if w.tryReserve(n) {
			w.mu.Unlock()
			return nil
		}
		c := make(chan struct{})
		w.waiters = append(w.waiters, c)
		w.mu.Unlock()
		select {
		case <-c:
		case <-w.Clock.After(bucketSpan):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// TryAcquire reports whether n bytes may be requested now, and counts them if
// so.
func (w *Window) TryAcquire(n int64) bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tryReserve(n)
}

// tryReserve counts n bytes if the limit allows them. The caller holds mu.
func (w *Window) tryReserve(n int64) bool {
	w.advance()
	if w.outstanding > 0 && w.outstanding+n > w.limit() {
		return false
	}
	w.outstanding += n
	return true
}

// Release stops counting n requested bytes, of which received bytes arrived.
func (w *Window) Release(n, received int64) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.outstanding -= n
	w.buckets[w.currentBucket%bucketCount] += received
	if w.outstanding == 0 && w.buckets == [bucketCount]int64{} {
		// All requests were refused at once, as by an origin that is
		// unavailable. That says nothing about the rate of the link.
		w.measured = false
	}
	for _, c := range w.waiters {
		close(c)
	}
	w.waiters = nil
}

// advance clears the buckets whose time has passed. After a pause with nothing
// requested the window starts again with the full limit, since the rate of the
// link may have changed. The caller holds mu.
func (w *Window) advance() {
	bucket := w.Clock.Now().UnixNano() / int64(bucketSpan)
	if bucket-w.currentBucket >= bucketCount {
		w.buckets = [bucketCount]int64{}
		w.measured = w.outstanding > 0
		w.currentBucket = bucket
		return
	}
	for w.currentBucket < bucket {
		w.currentBucket++
		w.buckets[w.currentBucket%bucketCount] = 0
		w.measured = true
	}
}

// limit returns the current limit in bytes. It follows from the highest rate of
// the recent buckets and is MaxBytes until a rate has been measured. The caller
// holds mu.
func (w *Window) limit() int64 {
	if !w.measured {
		return w.MaxBytes
	}
	peak := int64(0)
	for _, n := range w.buckets {
		peak = max(peak, n)
	}
	rate := float64(peak) / bucketSpan.Seconds()
	return min(max(int64(growthFactor*rate*queueDelayGoal.Seconds()), minWindow), w.MaxBytes)
}
