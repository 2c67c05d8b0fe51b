package front

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/route"
	"hawthornferry/io/request/await"
)

// chooserTick is how often the chooser drops what is too old.
const chooserTick = time.Minute

// policy joins the entry's choice of target and its admission, which are plain
// values, with the calls that wait for a verdict.
type policy struct {
	clock    clockwork.Clock
	chooser  *route.Chooser
	admitter *admit.Admitter
	ticked   time.Time
	await.Desk[admit.Verdict]
}

func newPolicy(clock clockwork.Clock, self fleet.VM) *policy {
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p := &policy{clock: clock, chooser: &route.Chooser{Entry: self, Rand: seed}, admitter: &admit.Admitter{}}
	p.ID = func(v admit.Verdict) string { return v.ID }
	return p
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
	p.Do(func() []admit.Verdict {
		if now.Sub(p.ticked) >= chooserTick {
			p.ticked = now
			p.chooser.Tick(now)
		}
		return p.admitter.Tick(now)
	})
}

// admit waits until the call may go on. It returns false when ctx ends first.
func (p *policy) admit(ctx context.Context, r route.Request) (admit.Verdict, bool) {
	o := admit.Offer{
		ID: r.ID, Customer: r.Customer, Service: r.Service,
		Priority: r.Priority, Deadline: r.Deadline,
	}
	offer := func() []admit.Verdict { return p.admitter.Offer(p.clock.Now(), o) }
	return p.Await(ctx, r.ID, offer, func(*admit.Verdict) []admit.Verdict {
		// Whether it waits or was just admitted.
		return p.admitter.Withdraw(p.clock.Now(), r.ID)
	})
}

// done tells that an admitted call has ended.
func (p *policy) done(id string, firstByte time.Duration) {
	p.Do(func() []admit.Verdict {
		return p.admitter.Done(p.clock.Now(), admit.Done{ID: id, FirstByte: firstByte})
	})
}

// use runs f, which takes no verdicts, while it alone uses the policy.
func (p *policy) use(f func()) {
	p.Do(func() []admit.Verdict {
		f()
		return nil
	})
}

// retry reports whether a call of the service may be sent once more.
func (p *policy) retry(service string) bool {
	ok := false
	p.use(func() { ok = p.admitter.Retry(p.clock.Now(), service) })
	return ok
}

// report takes a target's load report.
func (p *policy) report(service, target string, r route.Report) {
	p.use(func() { p.admitter.Report(p.clock.Now(), service, target, r) })
}

// event takes an engine's cache event.
func (p *policy) event(target string, prefix uint64, stored bool) {
	p.use(func() {
		if stored {
			p.chooser.Stored(p.clock.Now(), target, prefix)
			return
		}
		p.chooser.Evicted(p.clock.Now(), target, prefix)
	})
}

// shares takes the customers' shares of the document in force.
func (p *policy) shares(customers []envdoc.Customer) {
	p.use(func() { p.admitter.SetShares(customers) })
}

// Choose picks a target by the chooser.
func (p *policy) Choose(now time.Time, r route.Request, candidates []route.Candidate) (route.Choice, error) {
	var c route.Choice
	var err error
	p.use(func() { c, err = p.chooser.Choose(now, r, candidates) })
	return c, err
}
