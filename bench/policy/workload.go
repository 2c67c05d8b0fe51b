package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/picker"
)

// Parameters of the workload: conversations of a few large and many small customers.
// The prompt of each turn repeats the customer's instructions and the earlier turns.
// One call in batchOneIn is a batch call. The deadlines are those of the first byte,
// measured from the arrival; a caller without a first byte goes away after its
// timeout. customerHashBase keeps the hashes of instructions apart from those of
// turns.
const (
	customers                = 10
	conversations            = 600
	instructionBlocks        = 8
	blocksPerTurn            = 3
	turnsPerConversation     = 10
	meanOutputTokens         = 80
	batchOneIn               = 5
	interactiveDeadline      = 2 * time.Second
	batchDeadline            = 20 * time.Second
	interactiveCallerTimeout = 10 * time.Second
	batchCallerTimeout       = 60 * time.Second
	customerHashBase         = 1 << 40
)

// arrival is one call of the workload. It arrives at the time at since the start of
// the run, and its first byte is due within deadline of that.
type arrival struct {
	at           time.Duration
	request      picker.Request
	deadline     time.Duration
	outputTokens int
}

// conversation is a conversation of a customer; turn is the number of its next turn,
// from 0.
type conversation struct {
	customer int
	number   uint64
	turn     int
}

// workload generates the calls of one run. The same seed gives the same
// conversations whatever the policy is. active holds the conversations in progress.
type workload struct {
	rand              *rand.Rand
	active            []conversation
	conversationCount uint64
	callCount         int
}

func newWorkload(seed uint64) *workload {
	w := &workload{rand: rand.New(rand.NewPCG(seed, seed))}
	for range conversations {
		c := w.newConversation()
		c.turn = w.rand.IntN(turnsPerConversation)
		w.active = append(w.active, c)
	}
	return w
}

// shares returns the customers' shares as the environment document would have them.
// Calls come in proportion to them, except that the first customer sends twice as
// many.
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

// newConversation starts a conversation of a customer drawn by callWeight.
func (w *workload) newConversation() conversation {
	total := 0
	for i := range customers {
		total += w.callWeight(i)
	}
	n := w.rand.IntN(total)
	index := 0
	for n >= w.callWeight(index) {
		n -= w.callWeight(index)
		index++
	}
	w.conversationCount++
	return conversation{customer: index, number: w.conversationCount}
}

// callWeight is proportional to how many conversations a customer starts.
func (w *workload) callWeight(customer int) int {
	if customer == 0 {
		return 2 * share(customer)
	}
	return share(customer)
}

// nextCall returns the next turn of a random conversation as a call that arrives at
// the given time since the start of the run.
func (w *workload) nextCall(at time.Duration) arrival {
	i := w.rand.IntN(len(w.active))
	c := &w.active[i]
	a := arrival{at: at, request: w.request(*c), deadline: interactiveDeadline}
	if a.request.Priority == picker.PriorityBatch {
		a.deadline = batchDeadline
	}
	a.outputTokens = 1 + int(w.rand.ExpFloat64()*meanOutputTokens)
	c.turn++
	if c.turn == turnsPerConversation {
		*c = w.newConversation()
	}
	return a
}

func (w *workload) request(c conversation) picker.Request {
	w.callCount++
	r := picker.Request{
		ID:       fmt.Sprint(w.callCount),
		Customer: customerName(c.customer),
		Service:  "helper",
		Priority: picker.PriorityInteractive,
	}
	if w.rand.IntN(batchOneIn) == 0 {
		r.Priority = picker.PriorityBatch
	}
	for i := range instructionBlocks {
		r.PrefixHashes = append(r.PrefixHashes, customerHashBase+uint64(c.customer*instructionBlocks+i))
	}
	for i := range (c.turn + 1) * blocksPerTurn {
		r.PrefixHashes = append(r.PrefixHashes, c.number<<10+uint64(i))
	}
	return r
}
