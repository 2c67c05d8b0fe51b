package admit

import (
	"slices"
	"time"

	"hawthornferry/core/request/route"
)

// call is an offered call until it is refused or done.
type call struct {
	Offer
	customer *customer
	offered  time.Time
	admitted time.Time
}

// customer is one customer's calls at one service.
type customer struct {
	name     string
	share    int
	finish   float64
	slotTime mean
	// interactive and batch wait in order of arrival.
	interactive []*call
	batch       []*call
}

func (c *customer) waiting() int { return len(c.interactive) + len(c.batch) }

func (c *customer) push(q *call) {
	if q.Priority == route.PriorityBatch {
		c.batch = append(c.batch, q)
		return
	}
	c.interactive = append(c.interactive, q)
}

func (c *customer) remove(q *call) bool {
	n := c.waiting()
	same := func(x *call) bool { return x == q }
	c.interactive = slices.DeleteFunc(c.interactive, same)
	c.batch = slices.DeleteFunc(c.batch, same)
	return c.waiting() < n
}

// last returns the call that this customer would miss least.
func (c *customer) last() *call {
	if n := len(c.batch); n > 0 {
		return c.batch[n-1]
	}
	return c.interactive[len(c.interactive)-1]
}

// queue holds the customers that have calls waiting and shares the places
// between them by start-time fair queueing: each admitted call moves its
// customer's virtual time on by the time it is expected to hold a place,
// divided by the customer's share, and the customer with the least virtual
// time is next. A customer that sends ten times as much waits ten times as
// long and does not make the others wait.
type queue struct {
	customers []*customer
	virtual   float64
	size      int
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

// next returns the call whose turn it is, or nil. Batch calls give way to
// interactive ones of all customers.
func (q *queue) next() *call {
	var best *customer
	for _, c := range q.customers {
		if q.before(c, best) {
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

func (q *queue) before(c, best *customer) bool {
	if best == nil {
		return true
	}
	if urgent := len(c.interactive) > 0; urgent != (len(best.interactive) > 0) {
		return urgent
	}
	return c.finish < best.finish
}

// charge moves the customer's virtual time on by one call.
func (q *queue) charge(c *customer, cost float64) {
	begin := max(q.virtual, c.finish)
	q.virtual = begin
	c.finish = begin + cost/float64(c.share)
}

// heaviest returns the customer with the most waiting calls for its share,
// x's own included as if x waited already.
func (q *queue) heaviest(own *customer) *customer {
	heaviest := own
	most := float64(own.waiting()+1) / float64(own.share)
	for _, c := range q.customers {
		if w := float64(c.waiting()) / float64(c.share); w > most {
			heaviest, most = c, w
		}
	}
	return heaviest
}

// shares returns the sum of the shares of the waiting customers, own
// included.
func (q *queue) shares(own *customer) int {
	sum := own.share
	for _, c := range q.customers {
		if c != own {
			sum += c.share
		}
	}
	return sum
}
