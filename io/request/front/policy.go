package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/route"
)

// chooserTick is how often the chooser drops what is too old.
const chooserTick = time.Minute

// policy guards the entry's choice of target and its admission, which are
// plain values, and wakes the calls that wait for a verdict.
type policy struct {
	clock clockwork.Clock

	mu       sync.Mutex
	chooser  *route.Chooser
	admitter *admit.Admitter
	waiting  map[string]chan admit.Verdict
	ticked   time.Time
}

func newPolicy(clock clockwork.Clock, self fleet.VM) *policy {
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &policy{
		clock:    clock,
		chooser:  &route.Chooser{Entry: self, Rand: seed},
		admitter: &admit.Admitter{},
		waiting:  map[string]chan admit.Verdict{},
	}
}

// run ticks until ctx ends.
func (p *policy) run(ctx context.Context) {
	tick := p.clock.NewTicker(admit.TickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			p.tick(p.clock.Now())
		}
	}
}

func (p *policy) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliverLocked(p.admitter.Tick(now))
	if now.Sub(p.ticked) >= chooserTick {
		p.ticked = now
		p.chooser.Tick(now)
	}
}

// deliverLocked hands each verdict to the call that waits for it.
func (p *policy) deliverLocked(vs []admit.Verdict) {
	for _, v := range vs {
		if c, ok := p.waiting[v.ID]; ok {
			c <- v
			delete(p.waiting, v.ID)
		}
	}
}

// admit waits until the call may go on. It returns false when ctx ends first.
func (p *policy) admit(ctx context.Context, r route.Request) (admit.Verdict, bool) {
	o := admit.Offer{
		ID: r.ID, Customer: r.Customer, Service: r.Service,
		Priority: r.Priority, Deadline: r.Deadline,
	}
	c := make(chan admit.Verdict, 1)
	p.mu.Lock()
	p.waiting[r.ID] = c
	p.deliverLocked(p.admitter.Offer(p.clock.Now(), o))
	p.mu.Unlock()
	select {
	case v := <-c:
		return v, true
	case <-ctx.Done():
		p.withdraw(r.ID)
		return admit.Verdict{}, false
	}
}

// withdraw takes back a call, whether it waits or was just admitted.
func (p *policy) withdraw(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	p.deliverLocked(p.admitter.Withdraw(p.clock.Now(), id))
}

// done tells that an admitted call has ended.
func (p *policy) done(id string, firstByte time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliverLocked(p.admitter.Done(p.clock.Now(), admit.Done{ID: id, FirstByte: firstByte}))
}

// retry reports whether a call of the service may be sent once more.
func (p *policy) retry(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admitter.Retry(p.clock.Now(), service)
}

// report takes a target's load report.
func (p *policy) report(service, target string, r route.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admitter.Report(p.clock.Now(), service, target, r)
}

// event takes an engine's cache event.
func (p *policy) event(target string, prefix uint64, stored bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stored {
		p.chooser.Stored(p.clock.Now(), target, prefix)
		return
	}
	p.chooser.Evicted(p.clock.Now(), target, prefix)
}

// shares takes the customers' shares of the document in force.
func (p *policy) shares(customers []envdoc.Customer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admitter.SetShares(customers)
}

// Choose picks a target by the chooser.
func (p *policy) Choose(now time.Time, r route.Request, candidates []route.Candidate) (route.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chooser.Choose(now, r, candidates)
}
