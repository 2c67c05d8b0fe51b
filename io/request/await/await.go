// Package await lets concurrent requests wait for the verdicts of a policy. A policy,
// such as a place.Placer or an admit.Admitter, is a plain value without locks whose
// calls return verdicts on any of the waiting requests. Packages direct and front use
// Dispatcher for their policies.
package await

import (
	"context"
	"sync"
)

// Dispatcher serializes calls to a policy and delivers each verdict to the request that waits
// for it. Set RequestID before the first call.
type Dispatcher[V any] struct {
	// RequestID returns the ID of the request that a verdict is for.
	RequestID func(v V) string

	mu      sync.Mutex
	waiting map[string]chan V
}

// Do runs f with exclusive access to the policy and delivers the verdicts that f
// returns.
func (d *Dispatcher[V]) Do(f func() []V) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(f())
}

// DoIfWaiting is like Do, but does nothing if no request is waiting.
func (d *Dispatcher[V]) DoIfWaiting(f func() []V) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > 0 {
		d.deliver(f())
	}
}

// Await calls offer, which hands the request with the given ID to the policy, and waits
// for the verdict on it. If ctx ends first, Await calls withdraw, which takes the
// request back, and returns false. withdraw gets the verdict if it was delivered at the
// same moment, otherwise nil: a place that was already granted must be given back, or
// it would stay taken forever.
func (d *Dispatcher[V]) Await(ctx context.Context, id string, offer func() []V, withdraw func(v *V) []V) (V, bool) {
	c := make(chan V, 1)
	d.mu.Lock()
	if d.waiting == nil {
		d.waiting = map[string]chan V{}
	}
	d.waiting[id] = c
	d.deliver(offer())
	d.mu.Unlock()
	select {
	case v := <-c:
		return v, true
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	select {
	case v := <-c:
		d.deliver(withdraw(&v))
	default:
		d.deliver(withdraw(nil))
	}
	var none V
	return none, false
}

// deliver sends verdicts to the requests that wait for them. The caller must hold d.mu.
// A verdict for which nobody waits is dropped, because its request has been withdrawn.
func (d *Dispatcher[V]) deliver(vs []V) {
	for _, v := range vs {
		id := d.RequestID(v)
		if c, ok := d.waiting[id]; ok {
			delete(d.waiting, id)
			c <- v
		}
	}
}
