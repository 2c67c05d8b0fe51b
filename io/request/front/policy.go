package front

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/picker"
	"hawthornferry/io/request/await"
)

// chooserTickInterval is the time between two removals of expired entries from the
// chooser's tables.
const chooserTickInterval = time.Minute

// policy guards the chooser and the admitter, which aren't safe for concurrent use, and
// delivers admission verdicts to the calls that wait for them.
type policy struct {
	clock           clockwork.Clock
	chooser         *picker.Chooser
	admitter        *admit.Admitter
	lastChooserTick time.Time
	await.Dispatcher[admit.Verdict]
}

func newPolicy(clock clockwork.Clock, self fleet.VM) *policy {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p := &policy{clock: clock, chooser: &picker.Chooser{Entry: self, Rand: rng}, admitter: &admit.Admitter{}}
	p.RequestID = func(v admit.Verdict) string { return v.ID }
	return p
}

// run ticks the admitter and the chooser until ctx ends.
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
	p.Do(func() []admit.Verdict {
		if now.Sub(p.lastChooserTick) >= chooserTickInterval {
			p.lastChooserTick = now
			p.chooser.Expire(now)
		}
		return p.admitter.Tick(now)
	})
}

// admit waits for the admission verdict on a call. It returns false if ctx ends first.
func (p *policy) admit(ctx context.Context, r picker.Request) (admit.Verdict, bool) {
	o := admit.Offer{
		ID: r.ID, Customer: r.Customer, Service: r.Service,
		Priority: r.Priority, Deadline: r.Deadline,
	}
	offer := func() []admit.Verdict { return p.admitter.Offer(p.clock.Now(), o) }
	return p.Await(ctx, r.ID, offer, func(*admit.Verdict) []admit.Verdict {
		// Withdraw serves both cases: the call still waits, or it was admitted just
		// now.
		return p.admitter.Withdraw(p.clock.Now(), r.ID)
	})
}

// callEnded records that an admitted call has ended.
func (p *policy) callEnded(id string, firstByte time.Duration) {
	p.Do(func() []admit.Verdict {
		return p.admitter.Done(p.clock.Now(), admit.Done{ID: id, FirstByte: firstByte})
	})
}

// locked runs f with exclusive access to the policy. f must not cause verdicts.
func (p *policy) locked(f func()) {
	p.Do(func() []admit.Verdict {
		f()
		return nil
	})
}

// allowRetry reports whether the retry budget allows another attempt at a call of the
// service, and takes it from the budget.
func (p *policy) allowRetry(service string) bool {
	ok := false
	p.locked(func() { ok = p.admitter.Retry(p.clock.Now(), service) })
	return ok
}

// reportLoad passes a target's load report to the admitter.
func (p *policy) reportLoad(service, target string, r picker.LoadReport) {
	p.locked(func() { p.admitter.Report(p.clock.Now(), service, target, r) })
}

// reportCacheEvent passes an engine's cache event to the chooser.
func (p *policy) reportCacheEvent(target string, prefix uint64, stored bool) {
	p.locked(func() {
		if stored {
			p.chooser.PrefixStored(p.clock.Now(), target, prefix)
			return
		}
		p.chooser.PrefixEvicted(p.clock.Now(), target, prefix)
	})
}

// setShares passes the customers' shares in the current document to the admitter.
func (p *policy) setShares(customers []envdoc.Customer) {
	p.locked(func() { p.admitter.SetShares(customers) })
}

// Choose implements Chooser.
func (p *policy) Choose(now time.Time, r picker.Request, candidates []picker.Candidate) (picker.Choice, error) {
	var c picker.Choice
	var err error
	p.locked(func() { c, err = p.chooser.Choose(now, r, candidates) })
	return c, err
}
