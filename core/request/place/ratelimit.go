package place

import (
	"math"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/lease"
)

// rateState is the limit on the requests to a target that the target itself names.
type rateState struct {
	limit lease.RateLimit
	// confirmedAt is when the limit was last named.
	confirmedAt time.Time
	// reported is what the target's side last said of the limit.
	reported lease.RateReport
	// pacer spaces the requests to a target without a side.
	pacer lease.Pacer
}

// record takes the limit from a response to a request that was sent at the given time, and
// reports whether it has changed. A response to a request that was sent before the limit
// was last named does not lift it: it may have begun before the target set it.
func (r *rateState) record(now time.Time, limit lease.RateLimit, sentAt time.Time) bool {
	if !limit.Limited && sentAt.Before(r.confirmedAt) {
		return false
	}
	return r.set(now, limit)
}

// applyReport takes the limit from a side's report if that differs from its last one, and
// reports whether it has changed. An unchanged report may be older than what this entry knows.
func (r *rateState) applyReport(now time.Time, report lease.RateReport) bool {
	if report == r.reported {
		return false
	}
	r.reported = report
	return report.Known && r.set(now, report.Limit)
}

func (r *rateState) set(now time.Time, limit lease.RateLimit) (changed bool) {
	changed = limit != r.limit
	r.limit = limit
	if limit.Limited {
		r.confirmedAt = now
	} else {
		r.pacer = lease.Pacer{}
	}
	return changed
}

// RecordRateLimit records which limit a target names in the response to a request that was
// sent at the given time, and reports whether that is a change. It tells the side of an
// engine, from which the other entries learn it.
func (p *Placer) RecordRateLimit(now time.Time, t facts.Target, limit lease.RateLimit, sentAt time.Time) bool {
	n, ok := p.noticeOf(t)
	if !ok || !n.rate.record(now, limit, sentAt) {
		return false
	}
	listed := p.targets[t.ID]
	if listed == nil {
		return true
	}
	listed.permits.reset()
	if p.service(t.Service).engine != nil && p.RequestLease != nil {
		p.RequestLease(t.ID, 0, limit)
	}
	return true
}

// permitsComeTooLate reports whether a new request cannot be served in time since all targets
// that may run it have named a limit or asked to back off: none of them has a permit or takes
// requests again soon enough, or what this entry may send them goes to the requests that wait already.
func (p *Placer) permitsComeTooLate(now time.Time, s *service, q *waitingRequest) bool {
	w := &q.request
	if w.Resumed {
		return false
	}
	perSecond, untilNext := 0.0, time.Duration(math.MaxInt64)
	for _, t := range s.all {
		if !s.mayServe(now, t, w) {
			continue
		}
		until, share := t.notice.backoffLeft(now), math.Inf(1)
		if t.notice.rate.limit.Limited {
			until = max(until, t.permits.nextAt.Sub(now))
			share = float64(time.Second) / float64(p.shareInterval(t))
		} else if until == 0 {
			return false
		}
		perSecond += share
		untilNext = min(untilNext, until)
	}
	wait := max(untilNext, time.Duration(float64(len(s.waiting))/perSecond*float64(time.Second)))
	if s.engine == nil {
		return wait > plainPatience(w)
	}
	return s.isLate(now, w, wait+s.minFirstAnswer(now, w))
}

// shareInterval is the time between two requests of this entry to a limited target if all
// entries share its limit equally.
func (p *Placer) shareInterval(t *target) time.Duration {
	return t.notice.rate.limit.Interval(p.entryCount())
}
