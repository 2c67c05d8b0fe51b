// Package pace limits the rate of weight transfers to what live traffic leaves
// of each link, with a minimum share so that a rollout always makes progress.
// io/version/swarm waits for it before it requests, sends or reads each block.
// io/process/side and the load tool in bench/burst report live traffic to it.
// A Window also limits the bytes that a side has requested and not received.
package pace

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// maxLag is how far a Limiter that always has waiters may fall behind its
// schedule and catch up. Timers fire up to a millisecond or so late; without
// catching up, the time of each late wake-up would be lost and the link never
// be filled.
const maxLag = 4 * time.Millisecond

// headroom is the fraction of the rate that transfers never use, so that a
// queue that built up on the link before a live call drains.
const headroom = 0.04

// Limiter limits transfers in one direction of a link that they share with
// live traffic. Live traffic is only counted and never delayed; transfers wait
// until the link is idle. A nil Limiter does not limit.
type Limiter struct {
	Clock clockwork.Clock
	// Rate is in bytes per second; zero or less means no limit.
	Rate int64
	// MinShare is the fraction of Rate, from 0 to 1, that transfers get
	// regardless of live traffic.
	MinShare float64

	once         sync.Once
	next         chan struct{} // held by the waiter that is served next
	nextOrdinary chan struct{} // held by the caller of Wait that competes for next

	mu         sync.Mutex
	freeAt     time.Time // when the link has sent everything reserved so far
	minShareAt time.Time // when MinShare allows the next block in any case
	liveMeter  rateMeter
}

// CountLive counts n bytes of live traffic and returns how long they take to pass,
// including the rest of a block ahead of them.
func (l *Limiter) CountLive(n int) time.Duration {
	if l == nil || l.Rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.liveMeter.add(now, n)
	l.freeAt = laterOf(l.freeAt, now).Add(l.duration(n, 1))
	return l.freeAt.Sub(now)
}

// LiveRate returns the recent average rate of live traffic in bytes per
// second.
func (l *Limiter) LiveRate() float64 {
	if l == nil || l.Rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.liveMeter.rate(l.Clock.Now())
}

// Wait waits until n bytes of a transfer may be sent, or returns the error of
// ctx. Waiters are served one at a time.
func (l *Limiter) Wait(ctx context.Context, n int) error {
	if l == nil || l.Rate <= 0 {
		return ctx.Err()
	}
	l.init()
	if err := acquire(ctx, l.nextOrdinary); err != nil {
		return err
	}
	defer func() { <-l.nextOrdinary }()
	return l.WaitPriority(ctx, n)
}

// WaitPriority is Wait for transfers that others depend on. All callers of
// Wait together compete as a single caller of WaitPriority, so they are slowed
// down but not starved.
func (l *Limiter) WaitPriority(ctx context.Context, n int) error {
	if l == nil || l.Rate <= 0 {
		return ctx.Err()
	}
	l.init()
	if err := acquire(ctx, l.next); err != nil {
		return err
	}
	defer func() { <-l.next }()
	for {
		wait := l.tryReserve(n)
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

// init creates the channels on first use, so that a Limiter can be built as a
// literal.
func (l *Limiter) init() {
	l.once.Do(func() {
		l.next = make(chan struct{}, 1)
		l.nextOrdinary = make(chan struct{}, 1)
	})
}

// acquire takes a slot, or returns the error of ctx.
func acquire(ctx context.Context, slot chan struct{}) error {
	select {
	case slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryReserve reserves the link for n bytes of a transfer and returns zero, or
// returns how long to wait before the next attempt.
func (l *Limiter) tryReserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	wait := l.freeAt.Sub(now)
	if l.MinShare > 0 {
		// Live traffic that fills the link would otherwise stop transfers and
		// the rollout would never end. Once minShareAt has passed, a block may
		// be sent in any case.
		wait = min(wait, l.minShareAt.Sub(now))
	}
	if wait > 0 {
		return wait
	}
	l.freeAt = laterOf(l.freeAt, now.Add(-maxLag)).Add(l.duration(n, 1-headroom))
	if l.MinShare > 0 {
		l.minShareAt = now.Add(l.duration(n, l.MinShare))
	}
	return 0
}

// duration returns how long n bytes take at the given fraction of Rate.
func (l *Limiter) duration(n int, share float64) time.Duration {
	return time.Duration(float64(n) / (float64(l.Rate) * share) * float64(time.Second))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
