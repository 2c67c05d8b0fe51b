package main

import (
	"context"
	"sync"
	"time"
)

// wire stands in for one direction of a link: everything passes in the order
// of arrival at the link's rate, live traffic and transfers alike.
type wire struct {
	rate float64 // bytes a second

	mu    sync.Mutex
	free  time.Time
	bytes int64 // of transfers
}

// span is when something begins and ends to pass a wire.
type span struct {
	begin time.Time
	end   time.Time
}

// pass books n bytes that arrive over in and returns when they leave. Bytes
// are passed on as they arrive, as packets would be.
func (w *wire) pass(in span, n int, bulk bool) span {
	w.mu.Lock()
	defer w.mu.Unlock()
	begin := in.begin
	if w.free.After(begin) {
		begin = w.free
	}
	end := begin.Add(time.Duration(float64(n) / w.rate * float64(time.Second)))
	w.free = end
	if end.Before(in.end) {
		end = in.end
	}
	if bulk {
		w.bytes += int64(n)
	}
	return span{begin: begin, end: end}
}

func (w *wire) carried() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

func newWire(rate float64) *wire { return &wire{rate: rate} }

// ahead is how long before the end of its way a block of a transfer is handed
// to the receiver. Without it a connection would have one block under way at a
// time, where a network has a window of them; the wires still carry no more
// than their rates, since each block is booked on all of them.
const ahead = 8 * time.Millisecond

// passBulk books n bytes of a transfer on each wire in turn and waits until
// they are about to leave the last.
func passBulk(ctx context.Context, n int, wires ...*wire) error {
	return sleepUntil(ctx, book(n, true, wires).Add(-ahead))
}

// passLive books n bytes of a live request and waits until they have left the
// last wire.
func passLive(ctx context.Context, n int, wires ...*wire) error {
	return sleepUntil(ctx, book(n, false, wires))
}

func book(n int, bulk bool, wires []*wire) time.Time {
	now := time.Now()
	s := span{begin: now, end: now}
	for _, w := range wires {
		s = w.pass(s, n, bulk)
	}
	return s.end
}

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
