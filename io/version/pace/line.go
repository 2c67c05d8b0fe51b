// Package pace holds transfers of weights under what live traffic leaves of
// each link, with a floor so that they end.
package pace

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// slack is how far a backlogged Line may lag behind its own schedule and
// catch up. Timers fire late by up to a millisecond or so; without slack each
// late wake-up is lost for good and the link is never filled.
const slack = 4 * time.Millisecond

// headroom is the part of a line's rate that transfers never book, so that a
// queue which built up before a live call drains.
const headroom = 0.04

// Line is one direction of a link that live traffic and transfers share.
// Live traffic passes at once; transfers wait until the line is idle.
type Line struct {
	Clock clockwork.Clock
	// Rate is in bytes a second; zero or less leaves the line unpaced.
	Rate int64
	// Floor is the share of Rate, from 0 to 1, that transfers get however
	// busy live traffic keeps the line.
	Floor float64

	once  sync.Once
	turn  chan struct{} // held by the next piece to pass
	queue chan struct{} // held by the ordinary waiter that stands next

	mu       sync.Mutex
	free     time.Time // when all that was let through has passed
	bulkNext time.Time // when the floor entitles transfers to the next piece
	live     meter
}

// Live tells the line of n bytes of live traffic and returns how long they
// take to pass, the piece of a transfer before them included.
func (l *Line) Live(n int) time.Duration {
	if l == nil || l.Rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.live.add(now, n)
	l.free = later(l.free, now).Add(l.cost(n, 1))
	return l.free.Sub(now)
}

// LiveRate is the measured rate of live traffic in bytes a second.
func (l *Line) LiveRate() float64 {
	if l == nil || l.Rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live.rate(l.Clock.Now())
}

// Wait returns when n bytes of a transfer may be sent, or with the error of
// ctx. Waiters pass in turn.
func (l *Line) Wait(ctx context.Context, n int) error {
	if l == nil || l.Rate <= 0 {
		return ctx.Err()
	}
	l.init()
	if err := take(ctx, l.queue); err != nil {
		return err
	}
	defer func() { <-l.queue }()
	return l.WaitFirst(ctx, n)
}

// WaitFirst is Wait for what others are waiting for. All ordinary waiters
// together stand as one among these, so none is starved.
func (l *Line) WaitFirst(ctx context.Context, n int) error {
	if l == nil || l.Rate <= 0 {
		return ctx.Err()
	}
	l.init()
	if err := take(ctx, l.turn); err != nil {
		return err
	}
	defer func() { <-l.turn }()
	for {
		wait := l.tryPass(n)
		if wait <= 0 {
			return ctx.Err()
		}
		select {
		case <-l.Clock.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Line) init() {
	l.once.Do(func() {
		l.turn = make(chan struct{}, 1)
		l.queue = make(chan struct{}, 1)
	})
}

func take(ctx context.Context, place chan struct{}) error {
	select {
	case place <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryPass books n bytes of a transfer and returns zero, or how long to wait
// before the next try.
func (l *Line) tryPass(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	wait := l.free.Sub(now)
	if l.Floor > 0 {
		// Live traffic that fills the line would hold transfers back for
		// ever and the rollout would never end. Past its floor time a piece
		// goes out all the same.
		wait = min(wait, l.bulkNext.Sub(now))
	}
	if wait > 0 {
		return wait
	}
	l.free = later(l.free, now.Add(-slack)).Add(l.cost(n, 1-headroom))
	if l.Floor > 0 {
		l.bulkNext = now.Add(l.cost(n, l.Floor))
	}
	return 0
}

func (l *Line) cost(n int, share float64) time.Duration {
	return time.Duration(float64(n) / (float64(l.Rate) * share) * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
