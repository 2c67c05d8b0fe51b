package admit

import (
	"slices"
	"time"

	"hawthornferry/core/request/picker"
)

// call is an offered call until it is refused or done.
type call struct {
	Offer
	customer *customer
	offered  time.Time
	admitted time.Time
}

// customer holds one customer's waiting calls at one service.
type customer struct {
	name        string
	share       int
	virtualTime float64
	holdTime    mean
	// interactive and batch hold the waiting calls in order of arrival.
	interactive []*call
	batch       []*call
}

func (c *customer) waiting() int { return len(c.interactive) + len(c.batch) }

func (c *customer) push(x *call) {
	if x.Priority == picker.PriorityBatch {
		c.batch = append(c.batch, x)
		return
	}
	c.interactive = append(c.interactive, x)
}

func (c *customer) remove(x *call) bool {
	n := c.waiting()
	same := func(y *call) bool { return y == x }
	c.interactive = slices.DeleteFunc(c.interactive, same)
	c.batch = slices.DeleteFunc(c.batch, same)
	return c.waiting() < n
}

// leastUrgent returns the waiting call to refuse first: the latest batch call, or the
// latest interactive one if there is none.
func (c *customer) leastUrgent() *call {
	if n := len(c.batch); n > 0 {
		return c.batch[n-1]
	}
	return c.interactive[len(c.interactive)-1]
}

// queue holds the customers that have waiting calls and divides the slots between them
// by start-time fair queueing. Each admitted call advances its customer's virtual time
// by the time that it is expected to hold a slot, divided by the customer's share. The
// customer with the lowest virtual time is next. A customer that sends ten times as
// much waits ten times as long and does not delay the others.
type queue struct {
	customers   []*customer
	virtualTime float64
	size        int
}

func (q *queue) push(x *call) {
	c := x.customer
	if c.waiting() == 0 {
		q.customers = append(q.customers, c)
	}
	c.push(x)
	q.size++
}

func (q *queue) remove(x *call) {
	c := x.customer
	if !c.remove(x) {
		return
	}
	q.size--
	if c.waiting() == 0 {
		q.customers = slices.DeleteFunc(q.customers, func(o *customer) bool { return o == c })
	}
}

// next returns the call to admit next, or nil. Interactive calls of any customer go
// before batch calls.
func (q *queue) next() *call {
	var best *customer
	for _, c := range q.customers {
		if q.goesBefore(c, best) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	if len(best.interactive) > 0 {
		return best.interactive[0]
	}
	return best.batch[0]
}

func (q *queue) goesBefore(c, best *customer) bool {
	if best == nil {
		return true
	}
	if urgent := len(c.interactive) > 0; urgent != (len(best.interactive) > 0) {
		return urgent
	}
	return c.virtualTime < best.virtualTime
}

// charge advances the customer's virtual time for one call.
func (q *queue) charge(c *customer, cost float64) {
	begin := max(q.virtualTime, c.virtualTime)
	q.virtualTime = begin
	c.virtualTime = begin + cost/float64(c.share)
}

// mostBacklogged returns the customer with the most waiting calls relative to its
// share. For own, one more call is counted, since its new call is about to be queued.
func (q *queue) mostBacklogged(own *customer) *customer {
	mostBacklogged := own
	most := float64(own.waiting()+1) / float64(own.share)
	for _, c := range q.customers {
		if w := float64(c.waiting()) / float64(c.share); w > most {
			mostBacklogged, most = c, w
		}
	}
	return mostBacklogged
}

// sumShares returns the sum of the shares of the customers with waiting calls, and of
// own.
func (q *queue) sumShares(own *customer) int {
	sum := own.share
	for _, c := range q.customers {
		if c != own {
			sum += c.share
		}
	}
	return sum
}
