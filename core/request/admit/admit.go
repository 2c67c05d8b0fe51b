// Package admit decides at an entry (the process that accepts callers' requests) which
// calls may go on to a target, which wait, and which are refused. Package front and the
// policy benchmark in bench/policy call it.
//
// One Admitter serves an entry. It has no clock and starts no goroutines. Each method
// takes the current time and returns the resulting verdicts, both for the call that it
// is called for and for waiting calls that the event admitted or refused:
//
//	a.SetShares(doc.Customers)            // for each new document
//	a.Report(now, service, vm, report)    // for each load report of a target
//	deliver(a.Offer(now, offer))          // a call arrives
//	deliver(a.Withdraw(now, id))          // its caller went away, at any time
//	deliver(a.Done(now, admit.Done{...})) // an admitted call has ended
//	deliver(a.Tick(now))                  // every TickEvery
//
// The goroutine of a call waits until deliver passes it the verdict with its ID. On
// Admitted it chooses a target and must call Done in the end. On Refused it answers 429
// with RetryAfter and the outcome notRun, which is true since nothing was sent. Before
// sending a call to another target, ask Retry; if it returns false, the call fails with
// the result that it has.
package admit

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/ttlmap"
	"hawthornferry/core/request/picker"
)

// TickEvery is how often Tick is to be called.
const TickEvery = 100 * time.Millisecond

// Defaults of an Admitter's settings.
const (
	DefaultMaxQueue     = 1024
	DefaultMaxServices  = 256
	DefaultMaxCustomers = 1024
	DefaultMaxTargets   = 256
	DefaultIdleAge      = 10 * time.Minute
	DefaultMaxReportAge = 5 * time.Second
	DefaultMaxCallAge   = 30 * time.Minute
)

// MaxRemembered is the highest number of services, customers and targets that an
// Admitter with default settings stores, apart from its calls.
const MaxRemembered = DefaultMaxServices * (1 + DefaultMaxCustomers + DefaultMaxTargets)

// Offer is a call that asks for admission. ID must not be in use. Deadline is the
// latest time at which the first byte of the answer is of use to the caller; the zero
// time means none.
type Offer struct {
	ID       string
	Customer string
	Service  string
	Priority picker.Priority
	Deadline time.Time
}

// Check returns an error for the first invalid field.
func (o Offer) Check() error {
	if o.ID == "" || o.Service == "" {
		return errors.New("offer: id or service is empty")
	}
	if o.Priority != picker.PriorityInteractive && o.Priority != picker.PriorityBatch {
		return errors.Newf("offer: unknown priority %q", o.Priority)
	}
	return nil
}

// Done is the end of an admitted call. FirstByte is the time from admission to the
// first byte of the answer, zero if there was none.
type Done struct {
	ID        string
	FirstByte time.Duration
}

// Decision says whether a call was admitted or refused.
type Decision string

// The decisions.
const (
	Admitted Decision = "admitted"
	Refused  Decision = "refused"
)

// Reason says why a call was refused.
type Reason string

// The reasons of refusal.
const (
	ReasonQueueFull Reason = "queueFull"
	ReasonDeadline  Reason = "deadlineCannotBeMet"
	ReasonTooMany   Reason = "tooManyServices"
)

// Verdict is the decision on one call. RetryAfter, for a refused one, is the time in
// whole seconds after which the present queue should have room.
type Verdict struct {
	ID         string
	Decision   Decision
	Reason     Reason
	RetryAfter time.Duration
	Waited     time.Duration
}

// State is a summary of one service for status and metrics.
type State struct {
	Service  string
	Limit    int
	InFlight int
	Waiting  int
}

// Admitter admits the calls of one entry. Set the exported fields before the first
// call; zero values stand for the defaults. It is not safe for concurrent use.
type Admitter struct {
	// MaxQueue is the maximum number of calls that wait for one service.
	MaxQueue int
	// MaxServices is the most services, beyond which calls of new services are
	// refused with ReasonTooMany. MaxCustomers and MaxTargets are the most customers
	// and targets with a load report kept for each service; beyond them the ones used
	// longest ago are forgotten.
	MaxServices  int
	MaxCustomers int
	MaxTargets   int
	// IdleAge is how long a service or customer without calls is kept.
	IdleAge time.Duration
	// MaxReportAge is how old a load report may be and still count. If it is shorter
	// than the interval of the reports, the limit follows the time to the first byte
	// instead.
	MaxReportAge time.Duration
	// MaxCallAge is the time without a Done after which an admitted call is taken to
	// have ended.
	MaxCallAge time.Duration
	// Limit configures the adaptive limit of calls in flight.
	Limit LimitSettings

	shares   map[string]int
	services ttlmap.Map[string, *service]
	calls    map[string]*call
	ready    bool
}

// SetShares sets the customers' shares from the document in force. A customer that is
// not named has a share of one.
func (a *Admitter) SetShares(customers []envdoc.Customer) {
	shares := make(map[string]int, len(customers))
	for _, c := range customers {
		shares[c.Name] = c.Share
	}
	a.shares = shares
}

// Report records a target's load report.
func (a *Admitter) Report(now time.Time, serviceName, target string, r picker.LoadReport) {
	a.prepare()
	if s := a.service(now, serviceName); s != nil {
		s.reports.Put(now, target, r)
	}
}

// Offer admits, queues or refuses a new call. An offer whose ID is in use is ignored.
func (a *Admitter) Offer(now time.Time, o Offer) []Verdict {
	a.prepare()
	if _, ok := a.calls[o.ID]; ok {
		return nil
	}
	s := a.service(now, o.Service)
	if s == nil {
		return []Verdict{{ID: o.ID, Decision: Refused, Reason: ReasonTooMany, RetryAfter: minRetryAfter}}
	}
	c := &call{Offer: o, offered: now}
	out := s.offer(now, c, a.share(o.Customer))
	a.calls[o.ID] = c
	return a.forgetRefused(append(out, s.release(now)...))
}

// Done records the end of an admitted call. An unknown ID is ignored.
func (a *Admitter) Done(now time.Time, d Done) []Verdict {
	return a.end(now, d.ID, d.FirstByte)
}

// Withdraw removes a call whose caller went away. An unknown ID is ignored.
func (a *Admitter) Withdraw(now time.Time, id string) []Verdict {
	return a.end(now, id, 0)
}

// Tick refuses waiting calls that can no longer meet their deadline, adjusts the
// limits, and removes expired state.
func (a *Admitter) Tick(now time.Time) []Verdict {
	a.prepare()
	var out []Verdict
	for name, s := range a.services.All(now) {
		if !s.idle() {
			a.services.Put(now, name, s)
		}
		out = append(out, s.tick(now)...)
	}
	out = append(a.forgetRefused(out), a.endStuckCalls(now)...)
	a.services.Expire(now)
	return out
}

// Retry reports whether a call of the service may be sent once more. Each offered call
// earns a part of one retry. When targets fail, retries then add a tenth to the load;
// unlimited ones would multiply it and keep the targets from ever recovering.
func (a *Admitter) Retry(now time.Time, serviceName string) bool {
	a.prepare()
	s := a.service(now, serviceName)
	return s != nil && s.retries.take()
}

// States returns a summary of each service, the most recently used first.
func (a *Admitter) States(now time.Time) []State {
	a.prepare()
	var out []State
	for name, s := range a.services.All(now) {
		out = append(out, State{Service: name, Limit: s.limit.calls(), InFlight: s.inFlight, Waiting: s.waiting.size})
	}
	return out
}

// Size returns how many calls, services, customers and load reports are stored.
func (a *Admitter) Size(now time.Time) int {
	n := len(a.calls) + a.services.Len()
	for _, s := range a.services.All(now) {
		n += s.customers.Len() + s.reports.Len()
	}
	return n
}

func (a *Admitter) end(now time.Time, id string, firstByte time.Duration) []Verdict {
	c, ok := a.calls[id]
	if !ok {
		return nil
	}
	delete(a.calls, id)
	s, ok := a.services.Get(now, c.Service)
	if !ok {
		return nil
	}
	s.end(now, c, firstByte)
	return a.forgetRefused(s.release(now))
}

// forgetRefused removes refused calls from the table of calls.
func (a *Admitter) forgetRefused(out []Verdict) []Verdict {
	for _, v := range out {
		if v.Decision == Refused {
			delete(a.calls, v.ID)
		}
	}
	return out
}

// endStuckCalls ends admitted calls for which Done was not called within MaxCallAge.
// Each would otherwise hold a slot forever, and after weeks the service would have none
// left.
func (a *Admitter) endStuckCalls(now time.Time) []Verdict {
	var stuck []string
	for id, c := range a.calls {
		if !c.admitted.IsZero() && now.Sub(c.admitted) > a.MaxCallAge {
			stuck = append(stuck, id)
		}
	}
	slices.Sort(stuck)
	var out []Verdict
	for _, id := range stuck {
		out = append(out, a.end(now, id, 0)...)
	}
	return out
}

func (a *Admitter) share(customer string) int { return max(a.shares[customer], 1) }

// service returns the state of a service and marks it as used. It returns nil if the
// service is new and there are too many.
func (a *Admitter) service(now time.Time, name string) *service {
	s, ok := a.services.Get(now, name)
	if !ok {
		a.services.Expire(now)
		if a.services.Len() >= a.services.MaxEntries {
			return nil
		}
		s = newService(a)
	}
	a.services.Put(now, name, s)
	return s
}

// prepare applies the defaults and creates the tables on the first call.
func (a *Admitter) prepare() {
	if a.ready {
		return
	}
	a.ready = true
	a.MaxQueue = orDefault(a.MaxQueue, DefaultMaxQueue)
	a.MaxCustomers = orDefault(a.MaxCustomers, DefaultMaxCustomers)
	a.MaxTargets = orDefault(a.MaxTargets, DefaultMaxTargets)
	a.MaxReportAge = orDefault(a.MaxReportAge, DefaultMaxReportAge)
	a.MaxCallAge = orDefault(a.MaxCallAge, DefaultMaxCallAge)
	a.IdleAge = max(orDefault(a.IdleAge, DefaultIdleAge), a.MaxCallAge)
	a.Limit = a.Limit.withDefaults()
	a.calls = make(map[string]*call)
	a.services.MaxEntries = orDefault(a.MaxServices, DefaultMaxServices)
	a.services.TTL = a.IdleAge
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
