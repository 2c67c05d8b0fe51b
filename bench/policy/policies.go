package main

import (
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/picker"
)

// policy is what an entry asks.
type policy interface {
	offer(now time.Time, r picker.Request) []admit.Verdict
	choose(now time.Time, r picker.Request, cs []picker.Candidate) string
	done(now time.Time, d admit.Done) []admit.Verdict
	report(now time.Time, target string, r picker.LoadReport)
	event(now time.Time, target string, block uint64, stored bool)
	paced(now time.Time, target string, pace time.Duration)
	tick(now time.Time) []admit.Verdict
}

// open admits every call at once and learns nothing.
type open struct{}

func (open) offer(_ time.Time, r picker.Request) []admit.Verdict {
	return []admit.Verdict{{ID: r.ID, Decision: admit.Admitted}}
}
func (open) done(time.Time, admit.Done) []admit.Verdict  { return nil }
func (open) report(time.Time, string, picker.LoadReport) {}
func (open) event(time.Time, string, uint64, bool)       {}
func (open) paced(time.Time, string, time.Duration)      {}
func (open) tick(time.Time) []admit.Verdict              { return nil }

// roundRobin takes the targets in turn.
type roundRobin struct {
	open
	n int
}

func (p *roundRobin) choose(_ time.Time, _ picker.Request, cs []picker.Candidate) string {
	p.n++
	return cs[p.n%len(cs)].VM.Name
}

// leastInFlight takes the target with the fewest of the entry's own calls,
// beginning at a drawn place so that entries do not all take the first.
type leastInFlight struct {
	open
	rand *rand.Rand
}

func (p *leastInFlight) choose(_ time.Time, _ picker.Request, cs []picker.Candidate) string {
	from := p.rand.IntN(len(cs))
	best := cs[from]
	for i := range cs {
		if c := cs[(from+i)%len(cs)]; c.InFlight < best.InFlight {
			best = c
		}
	}
	return best.VM.Name
}

// chosen is the project's choice of target without admission.
type chosen struct {
	open
	c *picker.Chooser
}

func (p *chosen) choose(now time.Time, r picker.Request, cs []picker.Candidate) string {
	got, err := p.c.Choose(now, r, cs)
	if err != nil {
		panic(err)
	}
	return got.VM.Name
}

func (p *chosen) paced(now time.Time, target string, pace time.Duration) {
	p.c.ObserveTokenInterval(now, target, pace)
}

func (p *chosen) event(now time.Time, target string, block uint64, stored bool) {
	if stored {
		p.c.PrefixStored(now, target, block)
		return
	}
	p.c.PrefixEvicted(now, target, block)
}

// whole is the project's choice of target and its admission.
type whole struct {
	chosen
	a *admit.Admitter
}

func (p *whole) offer(now time.Time, r picker.Request) []admit.Verdict {
	return p.a.Offer(now, admit.Offer{
		ID:       r.ID,
		Customer: r.Customer,
		Service:  r.Service,
		Priority: r.Priority,
		Deadline: r.Deadline,
	})
}

func (p *whole) done(now time.Time, d admit.Done) []admit.Verdict { return p.a.Done(now, d) }

func (p *whole) report(now time.Time, target string, r picker.LoadReport) {
	p.a.Report(now, "helper", target, r)
}

func (p *whole) tick(now time.Time) []admit.Verdict { return p.a.Tick(now) }

// named is a policy under the name that the results show.
type named struct {
	name string
	make func(fleet.VM, *rand.Rand) policy
}

func policies() []named {
	return []named{
		{name: "roundRobin", make: func(fleet.VM, *rand.Rand) policy { return &roundRobin{} }},
		{name: "leastInFlight", make: func(_ fleet.VM, r *rand.Rand) policy { return &leastInFlight{rand: r} }},
		{name: "choiceOnly", make: func(vm fleet.VM, r *rand.Rand) policy { return newChosen(vm, r) }},
		{name: "hawthornferry", make: func(vm fleet.VM, r *rand.Rand) policy {
			a := &admit.Admitter{}
			a.SetShares(shares())
			return &whole{chosen: *newChosen(vm, r), a: a}
		}},
	}
}

func newChosen(vm fleet.VM, r *rand.Rand) *chosen {
	return &chosen{c: &picker.Chooser{Entry: vm, Rand: r}}
}
