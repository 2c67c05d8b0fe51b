package admit

import (
	"time"

	"hawthornferry/core/process/ttlmap"
	"hawthornferry/core/request/picker"
)

// Bounds of RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// service is the state of one service at this entry.
type service struct {
	limit     limit
	retries   retryBudget
	inFlight  int
	waiting   queue
	maxQueue  int
	customers ttlmap.Map[string, *customer]
	reports   ttlmap.Map[string, picker.LoadReport]
	// holdTime is how long an admitted call holds its slot, in seconds.
	holdTime mean
	// firstByte is the mean time from admission to the first byte, in seconds.
	firstByte mean
}

func newService(a *Admitter) *service {
	s := &service{limit: newLimit(a.Limit), retries: newRetryBudget(), maxQueue: a.MaxQueue}
	s.customers.MaxEntries = a.MaxCustomers
	s.customers.TTL = a.IdleAge
	s.reports.MaxEntries = a.MaxTargets
	s.reports.TTL = a.MaxReportAge
	return s
}

// offer queues c, or refuses it or another call if the queue is full.
func (s *service) offer(now time.Time, c *call, share int) []Verdict {
	s.retries.earn()
	cust := s.customer(now, c.Customer, share)
	c.customer = cust
	if wait := s.estimateWait(cust); s.tooLate(now, c, wait) {
		return []Verdict{s.refuse(now, c, ReasonDeadline, wait)}
	}
	var out []Verdict
	if s.waiting.size >= s.maxQueue {
		out = s.makeRoom(now, cust, c)
		if len(out) == 1 && out[0].ID == c.ID {
			return out
		}
	}
	s.waiting.push(c)
	return out
}

// makeRoom refuses the least urgent call of the customer with the most waiting calls
// relative to its share. If the newest call were refused instead, one customer could
// fill the queue and shut out the others.
func (s *service) makeRoom(now time.Time, own *customer, c *call) []Verdict {
	mostBacklogged := s.waiting.mostBacklogged(own)
	if mostBacklogged == own && (own.waiting() == 0 || c.Priority == picker.PriorityBatch || len(own.batch) == 0) {
		return []Verdict{s.refuse(now, c, ReasonQueueFull, s.estimateWait(own))}
	}
	victim := mostBacklogged.leastUrgent()
	s.waiting.remove(victim)
	return []Verdict{s.refuse(now, victim, ReasonQueueFull, s.estimateWait(mostBacklogged))}
}

// release admits waiting calls while the limit allows it.
func (s *service) release(now time.Time) []Verdict {
	var out []Verdict
	for s.inFlight < s.limit.calls() {
		c := s.waiting.next()
		if c == nil {
			break
		}
		s.waiting.remove(c)
		if s.tooLate(now, c, 0) {
			out = append(out, s.refuse(now, c, ReasonDeadline, s.estimateWait(c.customer)))
			continue
		}
		s.admit(now, c)
		out = append(out, Verdict{ID: c.ID, Decision: Admitted, Waited: now.Sub(c.offered)})
	}
	return out
}

func (s *service) admit(now time.Time, c *call) {
	cust := c.customer
	cost := cust.holdTime.value
	if cost == 0 {
		cost = max(s.holdTime.value, time.Millisecond.Seconds())
	}
	s.waiting.charge(cust, cost)
	c.admitted = now
	s.inFlight++
	s.limit.recordInFlight(s.inFlight)
}

func (s *service) end(now time.Time, c *call, firstByte time.Duration) {
	if c.admitted.IsZero() {
		s.waiting.remove(c)
		return
	}
	s.inFlight--
	s.limit.recordInFlight(s.inFlight)
	held := now.Sub(c.admitted).Seconds()
	s.holdTime.add(held)
	c.customer.holdTime.add(held)
	if firstByte > 0 {
		s.firstByte.add(firstByte.Seconds())
		s.limit.firstBytes.add(firstByte)
	}
}

func (s *service) tick(now time.Time) []Verdict {
	out := s.refuseLate(now)
	if s.limit.due(now) {
		s.limit.adjust(now, s.targetLoad(now))
	}
	s.customers.Expire(now)
	s.reports.Expire(now)
	return append(out, s.release(now)...)
}

// refuseLate refuses waiting calls that can no longer meet their deadline, so that
// their callers are told at once and can still try elsewhere.
func (s *service) refuseLate(now time.Time) []Verdict {
	var late []*call
	for _, cust := range s.waiting.customers {
		for _, c := range append(cust.interactive[:len(cust.interactive):len(cust.interactive)], cust.batch...) {
			if s.tooLate(now, c, 0) {
				late = append(late, c)
			}
		}
	}
	var out []Verdict
	for _, c := range late {
		s.waiting.remove(c)
		out = append(out, s.refuse(now, c, ReasonDeadline, s.estimateWait(c.customer)))
	}
	return out
}

// tooLate reports whether c would get its first byte after its deadline if it waits for
// the given time.
func (s *service) tooLate(now time.Time, c *call, wait time.Duration) bool {
	if c.Deadline.IsZero() {
		return false
	}
	need := wait + seconds(s.firstByte.value)
	return now.Add(need).After(c.Deadline)
}

// estimateWait estimates how long the next call of a customer waits for a slot, from
// the calls ahead of it and the rate at which slots become free for this customer's
// share.
func (s *service) estimateWait(cust *customer) time.Duration {
	if s.holdTime.value == 0 || (s.waiting.size == 0 && s.inFlight < s.limit.calls()) {
		return 0
	}
	perSecond := float64(s.limit.calls()) / s.holdTime.value
	part := float64(cust.share) / float64(s.waiting.sumShares(cust))
	return seconds(float64(cust.waiting()+1) / (perSecond * part))
}

func (s *service) refuse(now time.Time, c *call, r Reason, wait time.Duration) Verdict {
	after := wait.Truncate(time.Second) + time.Second
	return Verdict{
		ID:         c.ID,
		Decision:   Refused,
		Reason:     r,
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
		Waited:     now.Sub(c.offered),
	}
}

func (s *service) targetLoad(now time.Time) targetLoad {
	var load targetLoad
	for _, r := range s.reports.All(now) {
		load.capacity += r.Capacity
		load.calls += r.Running + r.Queued
	}
	return load
}

// idle reports whether the service has no calls.
func (s *service) idle() bool { return s.inFlight == 0 && s.waiting.size == 0 }

// customer returns the state of a customer, updated to its present share, and marks it
// as used.
func (s *service) customer(now time.Time, name string, share int) *customer {
	c, ok := s.customers.Get(now, name)
	if !ok {
		c = &customer{name: name}
	}
	c.share = share
	s.customers.Put(now, name, c)
	return c
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
