package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/picker"
)

// The shape of the work: conversations of a few large and many small
// customers, each turn repeating the customer's instructions and the turns
// before.
const (
	customers        = 10
	conversations    = 600
	sharedBlocks     = 8
	turnBlocks       = 3
	turns            = 10
	meanOutputs      = 80
	batchOf          = 5
	interactiveDue   = 2 * time.Second
	batchDue         = 20 * time.Second
	callerGivesUp    = 10 * time.Second
	batchGivesUp     = 60 * time.Second
	customerHashBase = 1 << 40
)

// arrival is one call of the offered work.
type arrival struct {
	at      time.Duration
	request picker.Request
	due     time.Duration
	outputs int
}

type conversation struct {
	customer int
	number   uint64
	turn     int
}

// work makes the arrivals of one run. The same seed makes the same
// conversations whatever the policy is.
type work struct {
	rand    *rand.Rand
	open    []conversation
	started uint64
	calls   int
}

func newWork(seed uint64) *work {
	w := &work{rand: rand.New(rand.NewPCG(seed, seed))}
	for range conversations {
		c := w.begin()
		c.turn = w.rand.IntN(turns)
		w.open = append(w.open, c)
	}
	return w
}

// shares are the customers' shares in the document; calls come in the same
// proportion but for the first customer, which sends twice its part.
func shares() []envdoc.Customer {
	out := make([]envdoc.Customer, 0, customers)
	for i := range customers {
		out = append(out, envdoc.Customer{Name: customerName(i), Share: share(i)})
	}
	return out
}

func share(customer int) int {
	if customer < 2 {
		return 8
	}
	return 2
}

func customerName(i int) string { return fmt.Sprintf("c%d", i) }

func (w *work) begin() conversation {
	total := 0
	for i := range customers {
		total += w.weight(i)
	}
	n := w.rand.IntN(total)
	who := 0
	for n >= w.weight(who) {
		n -= w.weight(who)
		who++
	}
	w.started++
	return conversation{customer: who, number: w.started}
}

func (w *work) weight(customer int) int {
	if customer == 0 {
		return 2 * share(customer)
	}
	return share(customer)
}

// next returns the next call, which arrives after the gap.
func (w *work) next(at time.Duration) arrival {
	i := w.rand.IntN(len(w.open))
	c := &w.open[i]
	a := arrival{at: at, request: w.request(*c), due: interactiveDue}
	if a.request.Priority == picker.PriorityBatch {
		a.due = batchDue
	}
	a.outputs = 1 + int(w.rand.ExpFloat64()*meanOutputs)
	c.turn++
	if c.turn == turns {
		*c = w.begin()
	}
	return a
}

func (w *work) request(c conversation) picker.Request {
	w.calls++
	r := picker.Request{
		ID:       fmt.Sprint(w.calls),
		Customer: customerName(c.customer),
		Service:  "helper",
		Priority: picker.PriorityInteractive,
	}
	if w.rand.IntN(batchOf) == 0 {
		r.Priority = picker.PriorityBatch
	}
	for i := range sharedBlocks {
		r.PrefixHashes = append(r.PrefixHashes, customerHashBase+uint64(c.customer*sharedBlocks+i))
	}
	for i := range (c.turn + 1) * turnBlocks {
		r.PrefixHashes = append(r.PrefixHashes, c.number<<10+uint64(i))
	}
	return r
}
