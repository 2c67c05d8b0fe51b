// Package plan decides in which order the versions of a model are fetched over the origin's
// link, which is too slow to carry two of them in the time that requests may begin on an older
// one. It is called by io/process/hosted. Every side plans by itself from what all sides know,
// so that they come to the same plan without messages.
package plan

import "time"

// minLinkShare is the part of the bound on older versions that a version must need on the
// origin's link for its fetches to be planned. A faster link carries two versions, and their
// loads fit in the bound, in any order.
const minLinkShare = 0.2

// Times that every plan assumes. They are constants, since all sides must assume the same.
const (
	// SpreadTime is how long after a version has left the origin's link most sides have it,
	// and LoadTime how long an engine takes to load it.
	SpreadTime = time.Second
	LoadTime   = 2 * time.Second
	// allLoadsTime is how long all engines take to load: half of them at a time.
	allLoadsTime = 2 * LoadTime
	// secondLoadCost is how much time without service another load of each engine is worth.
	// Half of the engines serve while the others load.
	secondLoadCost = LoadTime / 2
	// minGain is by how much another plan must be better than the one in force. Two sides may
	// know of some chunks at different times, which are a few hundred milliseconds of the link.
	minGain = 300 * time.Millisecond
)

// nearlyComplete is the part of its bytes that a version may lack to be fetched before a newer
// one in any case. It delays the newer one little, and bridges the time until that is complete
// if the origin becomes unavailable.
const nearlyComplete = 0.125

// Active reports whether the fetches of versions of the given size in bytes are planned: the
// origin's link is declared with a rate in bytes per second, and carries a version only in a
// considerable part of the time for which requests may begin on an older one.
func Active(linkRate, size int64, bound time.Duration) bool {
	return linkRate > 0 && size > 0 && bound > 0 && transferTime(size, linkRate) >= time.Duration(minLinkShare*float64(bound))
}

func transferTime(size, rate int64) time.Duration {
	return time.Duration(float64(size) / float64(rate) * float64(time.Second))
}

// Order says which versions are fetched, and in which order.
type Order string

// The orders.
const (
	OrderNewestOnly Order = "newestOnly"
	OrderOlderFirst Order = "olderFirst"
)

// Reason says why an order was chosen.
type Reason string

// The reasons.
const (
	ReasonSingle         Reason = "singleVersion"
	ReasonNewestHeld     Reason = "newestHeld"
	ReasonNewestInTime   Reason = "newestInTime"
	ReasonOlderTooLate   Reason = "olderTooLate"
	ReasonNearlyComplete Reason = "olderNearlyComplete"
	ReasonLeastGap       Reason = "leastTimeWithoutService"
	ReasonKept           Reason = "otherNotMuchBetter"
)

// Version is a wanted version. Missing is how many of its Size bytes the region is not known
// to hold.
type Version struct {
	Number  uint64
	Size    int64
	Missing int64
}

// Input is what a plan rests on.
type Input struct {
	Now time.Time
	// LinkRate is the rate of the origin's link in bytes per second.
	LinkRate int64
	Newest   Version
	// Older is the version before the newest, nil if it is not wanted. Requests may begin on
	// it until OlderUntil, and on the versions before it until ServedUntil.
	Older       *Version
	OlderUntil  time.Time
	ServedUntil time.Time
	// OriginUnavailable is set while nothing comes from the origin, so that another plan costs
	// nothing.
	OriginUnavailable bool
}

// Plan is an order of fetches and what is expected of it.
type Plan struct {
	Newest, Older uint64
	Order         Order
	Reason        Reason
	// LoadOlder is set if engines load the older version once it is complete while the newest
	// is not.
	LoadOlder bool
	// ProbeOlder is set if chunks of the older version are requested as far as the newest leaves
	// the link idle, although it is not to be fetched: nothing has come from the origin, which
	// may lack the newest version only.
	ProbeOlder bool
	// NewestMissing is how many bytes the newest version lacked.
	NewestMissing int64
	// NewestIn and OlderIn are in how long the versions have left the origin's link, OlderIn
	// zero if the older one is not fetched. WithoutService is for how long no engine serves a
	// version on which requests may begin.
	NewestIn, OlderIn time.Duration
	WithoutService    time.Duration
}

// OlderUseless reports whether nothing is gained from the older version any more.
func (p Plan) OlderUseless() bool {
	return p.Reason == ReasonOlderTooLate || p.Reason == ReasonNewestHeld
}

// Same reports whether two plans differ in nothing that anybody acts on.
func (p Plan) Same(o Plan) bool {
	return p.Newest == o.Newest && p.Older == o.Older && p.Order == o.Order && p.LoadOlder == o.LoadOlder && p.ProbeOlder == o.ProbeOlder && p.OlderUseless() == o.OlderUseless()
}

// continues reports whether p was made for the versions of in.
func (p Plan) continues(in Input) bool {
	return in.Older != nil && p.Newest == in.Newest.Number && p.Older == in.Older.Number
}

// Next returns the plan that follows previous.
func Next(in Input, previous Plan) Plan {
	newestOnly := in.newestOnly()
	if in.Older == nil {
		newestOnly.Reason = ReasonSingle
		return newestOnly
	}
	olderFirst := in.olderFirst()
	out := in.choose(newestOnly, olderFirst, previous)
	out.LoadOlder = in.loadOlder(out, previous)
	out.ProbeOlder = in.probeOlder(out, previous)
	out.NewestMissing = in.Newest.Missing
	return out
}

// choose returns the better plan, or the one in force if the other is not much better.
func (in Input) choose(newestOnly, olderFirst, previous Plan) Plan {
	if in.Newest.Missing == 0 {
		return newestOnly.because(ReasonNewestHeld)
	}
	if !in.usable(olderFirst.OlderIn) {
		return newestOnly.because(ReasonOlderTooLate)
	}
	if float64(in.Older.Missing) <= nearlyComplete*float64(in.Older.Size) {
		return olderFirst.because(ReasonNearlyComplete)
	}
	gain := newestOnly.WithoutService - olderFirst.WithoutService - secondLoadCost
	if !in.OriginUnavailable && previous.continues(in) && max(gain, -gain) < minGain {
		if previous.Order == OrderOlderFirst {
			return olderFirst.because(ReasonKept)
		}
		return newestOnly.because(ReasonKept)
	}
	switch {
	case gain > 0:
		return olderFirst.because(ReasonLeastGap)
	case newestOnly.WithoutService == 0:
		return newestOnly.because(ReasonNewestInTime)
	default:
		return newestOnly.because(ReasonLeastGap)
	}
}

func (p Plan) because(r Reason) Plan {
	p.Reason = r
	return p
}

// newestOnly is the plan in which only the newest version is fetched.
func (in Input) newestOnly() Plan {
	p := Plan{Newest: in.Newest.Number, Order: OrderNewestOnly, NewestIn: transferTime(in.Newest.Missing, in.LinkRate)}
	if in.Older != nil {
		p.Older = in.Older.Number
		p.WithoutService = in.readyAt(p.NewestIn).Sub(in.serviceEnd())
	}
	p.WithoutService = max(p.WithoutService, 0)
	return p
}

// olderFirst is the plan in which the older version is fetched and loaded, and then the newest.
func (in Input) olderFirst() Plan {
	older := transferTime(in.Older.Missing, in.LinkRate)
	p := Plan{
		Newest: in.Newest.Number, Older: in.Older.Number, Order: OrderOlderFirst,
		OlderIn: older, NewestIn: older + transferTime(in.Newest.Missing, in.LinkRate),
	}
	p.WithoutService = max(in.readyAt(p.NewestIn).Sub(in.serviceEnd())-in.bridged(p.OlderIn, p.NewestIn), 0)
	return p
}

// loadOlder reports whether the older version is loaded when it is complete while the newest
// is not. Once engines have begun to, the others do so too: they load one after the other.
// While the origin does not answer, no time can be expected for the newest, and the loads begin
// when there is only just time for them.
func (in Input) loadOlder(p, previous Plan) bool {
	if p.Order != OrderOlderFirst {
		return false
	}
	if previous.LoadOlder && previous.continues(in) {
		return true
	}
	if in.OriginUnavailable && in.serviceEnd().Sub(in.Now) <= SpreadTime+allLoadsTime {
		return true
	}
	return in.bridged(p.OlderIn, p.NewestIn) > secondLoadCost
}

// probeOlder reports whether chunks of the older version are requested beside the newest. It
// stays so until the newest makes progress: what comes of the older one shows only that the
// origin answers.
func (in Input) probeOlder(p, previous Plan) bool {
	if p.Order != OrderNewestOnly || p.OlderUseless() {
		return false
	}
	stuck := previous.ProbeOlder && previous.continues(in) && previous.NewestMissing == in.Newest.Missing
	return in.OriginUnavailable || stuck
}

// bridged is for how long the older version serves requests that none else could, if it and
// the newest have left the origin's link after the given times.
func (in Input) bridged(olderIn, newestIn time.Duration) time.Duration {
	from, until := in.readyAt(olderIn), in.readyAt(newestIn)
	if end := in.serviceEnd(); end.After(from) {
		from = end
	}
	if in.OlderUntil.Before(until) {
		until = in.OlderUntil
	}
	return max(until.Sub(from), 0)
}

// usable reports whether the older version can be loaded before its limit if it has left the
// origin's link after the given time.
func (in Input) usable(olderIn time.Duration) bool {
	return in.readyAt(olderIn).Before(in.OlderUntil)
}

// readyAt is when engines serve a version that has left the origin's link after the given time.
func (in Input) readyAt(d time.Duration) time.Time {
	return in.Now.Add(d + SpreadTime + LoadTime)
}

// serviceEnd is until when requests may begin on what engines serve now.
func (in Input) serviceEnd() time.Time {
	if in.ServedUntil.Before(in.Now) {
		return in.Now
	}
	return in.ServedUntil
}

// First is the version that is fetched first.
func (p Plan) First() uint64 {
	if p.Order == OrderOlderFirst {
		return p.Older
	}
	return p.Newest
}
