package direct

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/place"
	"hawthornferry/io/request/await"
)

// desk joins the placer with the requests that wait for its verdicts.
type desk struct {
	clock  clockwork.Clock
	placer *place.Placer
	await.Desk[place.Verdict]
}

func newDesk(clock clockwork.Clock, p *place.Placer) *desk {
	d := &desk{clock: clock, placer: p}
	d.ID = func(v place.Verdict) string { return v.ID }
	return d
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
			d.Tick(func() []place.Verdict { return d.placer.Tick(d.clock.Now()) })
		}
	}
}

// place waits for the verdict on w. It returns false when ctx ends first.
func (d *desk) place(ctx context.Context, w place.Work) (place.Verdict, bool) {
	offer := func() []place.Verdict { return d.placer.Offer(d.clock.Now(), w) }
	return d.Await(ctx, w.ID, offer, func(v *place.Verdict) []place.Verdict {
		if v != nil && v.Decision == place.Placed {
			return d.placer.Done(d.clock.Now(), w.ID, place.ResultLeft)
		}
		d.placer.Withdraw(w.ID, w.Service)
		return nil
	})
}

func (d *desk) began(id string) {
	d.Do(func() []place.Verdict { return d.placer.Began(d.clock.Now(), id) })
}

func (d *desk) done(id string, r place.Result) {
	d.Do(func() []place.Verdict { return d.placer.Done(d.clock.Now(), id, r) })
}

// other reports whether a target but the given one can take work now.
func (d *desk) other(service, target string) (ok bool) {
	d.Do(func() []place.Verdict {
		ok = d.placer.Other(d.clock.Now(), service, target)
		return nil
	})
	return ok
}

// move places an answer under way at another target: at any when its own is silent,
// else where there is clear room and it goes on within the given time.
func (d *desk) move(w place.Work, why error, within time.Duration) (v place.Verdict, ok bool) {
	d.Do(func() []place.Verdict {
		if errors.Is(why, errSilent) {
			v, ok = d.placer.Replace(d.clock.Now(), w)
		} else {
			v, ok = d.placer.Relocate(d.clock.Now(), w, within)
		}
		return nil
	})
	return v, ok
}

// fewLeft reports whether a target that waits to load has few requests left.
func (d *desk) fewLeft(target string, r place.Report) (ok bool) {
	d.Do(func() []place.Verdict {
		ok = d.placer.FewLeft(target, r)
		return nil
	})
	return ok
}

func (d *desk) served() (out []place.Served) {
	d.Do(func() []place.Verdict {
		out = d.placer.Served(d.clock.Now())
		return nil
	})
	return out
}

func (d *desk) update(f *facts.Facts) {
	d.Do(func() []place.Verdict { return d.placer.Update(d.clock.Now(), f) })
}

func (d *desk) way(zone string, roundTrip time.Duration) {
	d.Do(func() []place.Verdict {
		d.placer.Way(zone, roundTrip)
		return nil
	})
}

func (d *desk) report(target string, r place.Report) {
	d.Do(func() []place.Verdict { return d.placer.Report(d.clock.Now(), target, r) })
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
