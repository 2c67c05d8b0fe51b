// Package await joins a policy, which is a plain value, with the requests that
// wait for its verdicts.
package await

import (
	"context"
	"sync"
)

// Desk guards a policy and hands each of its verdicts to the request that waits
// for it. Set the exported field before the first call.
type Desk[V any] struct {
	// ID names the request that a verdict is on.
	ID func(v V) string

	mu      sync.Mutex
	waiting map[string]chan V
}

// Do runs f, which alone uses the policy meanwhile, and delivers the verdicts
// that follow from it.
func (d *Desk[V]) Do(f func() []V) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(f())
}

// Tick is Do for what is needed only while some request waits.
func (d *Desk[V]) Tick(f func() []V) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > 0 {
		d.deliver(f())
	}
}

// Await offers a request to the policy and waits for the verdict on it. It
// returns false when ctx ends first; withdraw then takes the request back. It is
// given the verdict when that came at the same moment, nil otherwise: a place that
// was granted would be lost for good.
func (d *Desk[V]) Await(ctx context.Context, id string, offer func() []V, withdraw func(v *V) []V) (V, bool) {
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

// deliver is called with the desk locked. A verdict that nobody waits for is
// dropped: its request has been withdrawn.
func (d *Desk[V]) deliver(vs []V) {
	for _, v := range vs {
		id := d.ID(v)
		if c, ok := d.waiting[id]; ok {
			delete(d.waiting, id)
			c <- v
		}
	}
}
