package direct

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/place"
)

// desk guards the placer, which is a plain value, and wakes the requests that
// wait for its verdict.
type desk struct {
	clock clockwork.Clock

	mu      sync.Mutex
	placer  *place.Placer
	waiting map[string]chan place.Verdict
}

func newDesk(clock clockwork.Clock, p *place.Placer) *desk {
	return &desk{clock: clock, placer: p, waiting: map[string]chan place.Verdict{}}
}

// run ticks until ctx ends, while anything waits.
func (d *desk) run(ctx context.Context) {
	tick := d.clock.NewTicker(place.TickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			d.tick()
		}
	}
}

func (d *desk) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > 0 {
		d.deliver(d.placer.Tick(d.clock.Now()))
	}
}

// deliver hands each verdict to the request that waits for it; it is called
// with the desk locked.
func (d *desk) deliver(vs []place.Verdict) {
	for _, v := range vs {
		if c, ok := d.waiting[v.ID]; ok {
			delete(d.waiting, v.ID)
			c <- v
		}
	}
}

// place waits for the verdict on w. It returns false when ctx ends first.
func (d *desk) place(ctx context.Context, w place.Work) (place.Verdict, bool) {
	c := make(chan place.Verdict, 1)
	d.mu.Lock()
	d.waiting[w.ID] = c
	d.deliver(d.placer.Offer(d.clock.Now(), w))
	d.mu.Unlock()
	select {
	case v := <-c:
		return v, true
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, w.ID)
	select {
	case v := <-c:
		// The verdict came at the same moment; its place is given back.
		if v.Decision == place.Placed {
			d.deliver(d.placer.Done(d.clock.Now(), w.ID, place.ResultLeft))
		}
	default:
		d.placer.Withdraw(w.ID, w.Service)
	}
	return place.Verdict{}, false
}

func (d *desk) began(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.placer.Began(d.clock.Now(), id))
}

func (d *desk) done(id string, r place.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.placer.Done(d.clock.Now(), id, r))
}

// other reports whether a target but the given one can take work now.
func (d *desk) other(service, target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Other(d.clock.Now(), service, target)
}

func (d *desk) update(f *facts.Facts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.placer.Update(d.clock.Now(), f))
}

func (d *desk) report(target string, r place.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.placer.Report(d.clock.Now(), target, r))
}

// firstShare is the part of the longest deadline that a caller's first one is
// taken to have at the least. Callers differ in how long they wait; one that
// was told to come back after a second has lost more than that of deadlines of
// a few seconds. A caller that is simply less patient is taken for one that
// came back, and only gives way to others.
const firstShare = 0.85

// patience learns the longest deadline that the callers of each route set:
// one that comes back after a refusal sets what it has left of it, which
// tells when it first asked.
type patience struct {
	mu   sync.Mutex
	most map[string]time.Duration
}

// spent estimates how long a caller with the given deadline has been asking.
func (p *patience) spent(route string, deadline time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == nil {
		p.most = map[string]time.Duration{}
	}
	most := max(p.most[route], deadline)
	p.most[route] = most
	if float64(deadline) >= firstShare*float64(most) {
		return 0
	}
	return time.Duration((1+firstShare)/2*float64(most)) - deadline
}
