package main

import (
	"context"
	"sync"
	"time"
)

// linkDirection simulates one direction of a link: live traffic and transfers alike
// pass in the order of arrival at the link's rate. freeAt is when all that was
// reserved so far has passed.
type linkDirection struct {
	rate float64 // bytes a second

	mu        sync.Mutex
	freeAt    time.Time
	bulkBytes int64 // of transfers
}

// interval is the time in which a message passes one point of its path, from its
// first to its last byte.
type interval struct {
	begin time.Time
	end   time.Time
}

// schedule reserves the link for n bytes that arrive during in, and returns when
// they leave. Bytes are forwarded as they arrive, as packets would be.
func (w *linkDirection) schedule(in interval, n int, bulk bool) interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	begin := in.begin
	if w.freeAt.After(begin) {
		begin = w.freeAt
	}
	end := begin.Add(time.Duration(float64(n) / w.rate * float64(time.Second)))
	w.freeAt = end
	if end.Before(in.end) {
		end = in.end
	}
	if bulk {
		w.bulkBytes += int64(n)
	}
	return interval{begin: begin, end: end}
}

// transferred returns the number of bytes of transfers so far, without live traffic.
func (w *linkDirection) transferred() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bulkBytes
}

func newLinkDirection(rate float64) *linkDirection { return &linkDirection{rate: rate} }

// handOffLead is how long before the end of its path a block of a transfer is handed
// to the receiver. Without it a connection would have one block in flight at a time,
// where a network has a window of them. The links still carry no more than their
// rates, since each block is reserved on all of them.
const handOffLead = 8 * time.Millisecond

// sendBulk reserves each link of the path for n bytes of a transfer and waits until
// handOffLead before they leave the last.
func sendBulk(ctx context.Context, n int, path ...*linkDirection) error {
	return sleepUntil(ctx, reserve(n, true, path).Add(-handOffLead))
}

// sendLive reserves each link of the path for n bytes of a live request and waits
// until they have left the last.
func sendLive(ctx context.Context, n int, path ...*linkDirection) error {
	return sleepUntil(ctx, reserve(n, false, path))
}

// reserve reserves each link of the path for n bytes, and returns when they leave
// the last.
func reserve(n int, bulk bool, path []*linkDirection) time.Time {
	now := time.Now()
	s := interval{begin: now, end: now}
	for _, w := range path {
		s = w.schedule(s, n, bulk)
	}
	return s.end
}

// sleepUntil waits until t, or returns the error of ctx if that ends first.
func sleepUntil(ctx context.Context, t time.Time) error {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
