package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/lease"
	"hawthornferry/core/request/level"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/table"
	"hawthornferry/io/request/await"
)

// dispatcher makes a place.Placer safe for concurrent use and delivers its verdicts to
// the requests that wait for them.
type dispatcher struct {
	clock  clockwork.Clock
	placer *place.Placer
	// levels holds the services with an admission level.
	levels atomic.Pointer[map[string]level.State]
	await.Dispatcher[place.Verdict]
}

func newDispatcher(clock clockwork.Clock, p *place.Placer) *dispatcher {
	d := &dispatcher{clock: clock, placer: p}
	d.RequestID = func(v place.Verdict) string { return v.ID }
	return d
}

// run calls Placer.Tick at regular intervals until ctx ends. Ticks are skipped while no
// request waits.
func (d *dispatcher) run(ctx context.Context) {
	tick := d.clock.NewTicker(place.TickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.Chan():
			d.DoIfWaiting(func() []place.Verdict { return d.placer.Tick(d.clock.Now()) })
		}
	}
}

// place offers w to the placer and waits for the verdict on it. It returns false
// if ctx ends first; the place is then given back or the request withdrawn.
func (d *dispatcher) place(ctx context.Context, w place.Request) (place.Verdict, bool) {
	offer := func() []place.Verdict { return d.placer.Offer(d.clock.Now(), w) }
	return d.Await(ctx, w.ID, offer, func(v *place.Verdict) []place.Verdict {
		if v != nil && v.Decision == place.Placed {
			return d.placer.RequestEnded(d.clock.Now(), w.ID, place.ResultCallerGone)
		}
		d.placer.Withdraw(w.ID, w.Service)
		return nil
	})
}

// responseBegan tells the placer that the target has sent the first part of a response.
func (d *dispatcher) responseBegan(id string) {
	d.Do(func() []place.Verdict { return d.placer.AnswerBegan(d.clock.Now(), id) })
}

// done tells the placer how an attempt ended, which frees its place.
func (d *dispatcher) done(id string, r place.Result) {
	d.Do(func() []place.Verdict { return d.placer.RequestEnded(d.clock.Now(), id, r) })
}

// otherHasRoom reports whether any target of the service in the given regions, except the
// given one, can take a request now.
func (d *dispatcher) otherHasRoom(service, target string, regions table.AllowedRegions) (ok bool) {
	d.Do(func() []place.Verdict {
		ok = d.placer.HasRoomElsewhere(d.clock.Now(), service, target, regions)
		return nil
	})
	return ok
}

// placeHandover places a response under way at another target. If its present target is
// silent, any target with room will do; otherwise only one that has ample room and is
// expected to continue within the given time. It does not wait for a place.
func (d *dispatcher) placeHandover(w place.Request, cause error, within time.Duration) (v place.Verdict, ok bool) {
	d.Do(func() []place.Verdict {
		if errors.Is(cause, errSilent) {
			v, ok = d.placer.Reassign(d.clock.Now(), w)
		} else {
			v, ok = d.placer.Relocate(d.clock.Now(), w, within)
		}
		return nil
	})
	return v, ok
}

// fewRequestsLeft reports whether a target that is waiting to load a version has few
// requests left.
func (d *dispatcher) fewRequestsLeft(target string, r place.LoadReport) (ok bool) {
	d.Do(func() []place.Verdict {
		ok = d.placer.NearlyDrained(target, r)
		return nil
	})
	return ok
}

// served returns the model version that each engine target serves.
func (d *dispatcher) served() (out []place.TargetVersion) {
	d.Do(func() []place.Verdict {
		out = d.placer.TargetVersions(d.clock.Now())
		return nil
	})
	return out
}

// noticeCounts counts the targets by what they say of themselves.
func (d *dispatcher) noticeCounts() (c place.NoticeCounts) {
	d.Do(func() []place.Verdict {
		c = d.placer.NoticeCounts(d.clock.Now())
		return nil
	})
	return c
}

// recordNotice tells the placer what a target says of itself in the response to a request
// that was sent at the given time, and returns the part of it that is new.
func (d *dispatcher) recordNotice(t facts.Target, said place.Notice, sentAt time.Time) (news place.Notice) {
	d.Do(func() []place.Verdict {
		news = d.placer.RecordNotice(d.clock.Now(), t, said, sentAt)
		return nil
	})
	return news
}

// update hands new facts to the placer. It returns why services have no admission level,
// although their requests differ in priority.
func (d *dispatcher) update(f *facts.Facts) (implausible map[string]error) {
	d.Do(func() []place.Verdict {
		verdicts := d.placer.Update(d.clock.Now(), f)
		implausible = d.placer.ImplausibleEngines()
		levels := d.placer.Levels()
		d.levels.Store(&levels)
		return verdicts
	})
	return implausible
}

// hasLevel reports whether a service has an admission level, by the latest facts.
func (d *dispatcher) hasLevel(service string) bool {
	levels := d.levels.Load()
	if levels == nil {
		return false
	}
	_, ok := (*levels)[service]
	return ok
}

// setRoundTrip tells the placer the shortest measured round trip to the targets of a
// zone.
func (d *dispatcher) setRoundTrip(zone string, roundTrip time.Duration) {
	d.Do(func() []place.Verdict {
		d.placer.SetRoundTrip(zone, roundTrip)
		return nil
	})
}

// takesRequests reports whether a target takes requests, by what it says of itself.
func (d *dispatcher) takesRequests(t facts.Target) (ok bool) {
	d.Do(func() []place.Verdict {
		ok = d.placer.TakesRequests(d.clock.Now(), t)
		return nil
	})
	return ok
}

// report hands a target's report of its own load to the placer.
func (d *dispatcher) report(target string, r place.LoadReport) {
	d.Do(func() []place.Verdict { return d.placer.Report(d.clock.Now(), target, r) })
}

// recordRateLimit tells the placer which limit a target names in the response to a request
// that was sent at the given time, and reports whether that is a change.
func (d *dispatcher) recordRateLimit(t facts.Target, limit lease.RateLimit, sentAt time.Time) (changed bool) {
	d.Do(func() []place.Verdict {
		changed = d.placer.RecordRateLimit(d.clock.Now(), t, limit, sentAt)
		return nil
	})
	return changed
}

// addPermits hands permits for a target to the placer.
func (d *dispatcher) addPermits(target string, g lease.Grant) {
	d.Do(func() []place.Verdict { return d.placer.AddPermits(d.clock.Now(), target, g) })
}

// demand returns this entry's demand for each service whose requests have different
// priorities, and the level of each.
func (d *dispatcher) demand() (rates map[string]level.Rates, levels map[string]level.State) {
	d.Do(func() []place.Verdict {
		rates, levels = d.placer.Rates(d.clock.Now()), d.placer.Levels()
		return nil
	})
	return rates, levels
}

// admissionLevels returns the admission level of each service that has one.
func (d *dispatcher) admissionLevels() (levels map[string]level.State) {
	d.Do(func() []place.Verdict {
		levels = d.placer.Levels()
		return nil
	})
	return levels
}

// setDemandTotals tells the placer the demand of all entries for a service.
func (d *dispatcher) setDemandTotals(service string, t DemandTotals) {
	d.Do(func() []place.Verdict {
		d.placer.SetTotals(d.clock.Now(), service, t.Totals, t.Until)
		return nil
	})
}

// minFirstShare is the fraction of a route's longest deadline from which on a deadline
// is taken for that of a first request. It allows for callers that wait for different
// times. A caller that was told to retry after a second has less left: of a deadline of
// a few seconds, a second is more than the remaining 15%. A caller that merely sets a
// short deadline is mistaken for one that retries; its request only yields to others.
const minFirstShare = 0.85

// callerDeadlines keeps the longest deadline that the callers of each route have set. A
// caller that retries after a refusal sets what remains of its original deadline, so
// the difference tells when it first asked.
type callerDeadlines struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// sinceFirstRequest estimates how long ago a caller with the given deadline sent its
// first request; 0 if this is the first one.
func (c *callerDeadlines) sinceFirstRequest(route string, deadline time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.longest == nil {
		c.longest = map[string]time.Duration{}
	}
	longest := max(c.longest[route], deadline)
	c.longest[route] = longest
	if float64(deadline) >= minFirstShare*float64(longest) {
		return 0
	}
	return time.Duration((1+minFirstShare)/2*float64(longest)) - deadline
}
