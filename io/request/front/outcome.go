package front

import (
	"cmp"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/request/calls"
)

// OutcomeCount is the number of a customer's calls to a service that had one outcome.
// Repeated counts those among them that had been received before and did not run again,
// Refused those that admission refused.
type OutcomeCount struct {
	Customer string        `json:"customer"`
	Service  string        `json:"service"`
	Outcome  calls.Outcome `json:"outcome"`
	Count    int64         `json:"count"`
	Repeated int64         `json:"repeated"`
	Refused  int64         `json:"refused"`
}

// maxOutcomeKeys limits the size of the outcome table. Once it is reached, calls of
// further customers and services are counted under otherName.
const (
	maxOutcomeKeys = 4096
	otherName      = "other"
)

type outcomeKey struct {
	customer string
	service  string
	outcome  calls.Outcome
}

type outcomeTable struct {
	metrics tally.Scope

	mu     sync.Mutex
	counts map[outcomeKey]*OutcomeCount
}

func newOutcomeTable(m tally.Scope) *outcomeTable {
	return &outcomeTable{metrics: m, counts: map[outcomeKey]*OutcomeCount{}}
}

func (o *outcomeTable) add(k outcomeKey, res result) {
	o.metrics.Counter("calls." + string(k.outcome)).Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts[k] == nil && len(o.counts) >= maxOutcomeKeys {
		k.customer, k.service = otherName, otherName
	}
	c := o.counts[k]
	if c == nil {
		c = &OutcomeCount{Customer: k.customer, Service: k.service, Outcome: k.outcome}
		o.counts[k] = c
	}
	c.Count++
	if res.repeated {
		c.Repeated++
	}
	if res.refusedAtAdmission {
		c.Refused++
	}
}

func (o *outcomeTable) list() []OutcomeCount {
	o.mu.Lock()
	out := make([]OutcomeCount, 0, len(o.counts))
	for _, c := range o.counts {
		out = append(out, *c)
	}
	o.mu.Unlock()
	slices.SortFunc(out, func(a, b OutcomeCount) int {
		return cmp.Or(
			cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Outcome, b.Outcome),
		)
	})
	return out
}
