package front

import (
	"cmp"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/request/calls"
)

// OutcomeCount is how many calls of a customer to a service had an outcome.
// Among them, Repeated were a call that had come before and did not run again,
// and Refused were refused at the door.
type OutcomeCount struct {
	Customer string        `json:"customer"`
	Service  string        `json:"service"`
	Outcome  calls.Outcome `json:"outcome"`
	Count    int64         `json:"count"`
	Repeated int64         `json:"repeated"`
	Refused  int64         `json:"refused"`
}

// maxCounted bounds the table of outcomes; what comes beyond it is counted
// under otherName.
const (
	maxCounted = 4096
	otherName  = "other"
)

type outcomeKey struct {
	customer string
	service  string
	outcome  calls.Outcome
}

type outcomes struct {
	metrics tally.Scope

	mu     sync.Mutex
	counts map[outcomeKey]*OutcomeCount
}

func newOutcomes(m tally.Scope) *outcomes {
	return &outcomes{metrics: m, counts: map[outcomeKey]*OutcomeCount{}}
}

func (o *outcomes) add(k outcomeKey, e ending) {
	o.metrics.Counter("calls." + string(k.outcome)).Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts[k] == nil && len(o.counts) >= maxCounted {
		k.customer, k.service = otherName, otherName
	}
	c := o.counts[k]
	if c == nil {
		c = &OutcomeCount{Customer: k.customer, Service: k.service, Outcome: k.outcome}
		o.counts[k] = c
	}
	c.Count++
	if e.repeated {
		c.Repeated++
	}
	if e.refused {
		c.Refused++
	}
}

func (o *outcomes) list() []OutcomeCount {
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
