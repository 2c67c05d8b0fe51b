package main

import (
	"math/rand/v2"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/picker"
)

// policy decides which calls an entry admits and which target each call goes to. The
// other methods inform it about calls that are done, load reports, cache events and
// times between tokens; tick lets it act as time passes.
type policy interface {
	offer(now time.Time, r picker.Request) []admit.Verdict
	choose(now time.Time, r picker.Request, cs []picker.Candidate) string
	done(now time.Time, d admit.Done) []admit.Verdict
	report(now time.Time, target string, r picker.LoadReport)
	event(now time.Time, target string, block uint64, stored bool)
	observeTokenInterval(now time.Time, target string, pace time.Duration)
	tick(now time.Time) []admit.Verdict
}

// admitAll is the part of a policy that admits every call at once and ignores all
// information.
type admitAll struct{}

func (admitAll) offer(_ time.Time, r picker.Request) []admit.Verdict {
	return []admit.Verdict{{ID: r.ID, Decision: admit.Admitted}}
}
func (admitAll) done(time.Time, admit.Done) []admit.Verdict            { return nil }
func (admitAll) report(time.Time, string, picker.LoadReport)           {}
func (admitAll) event(time.Time, string, uint64, bool)                 {}
func (admitAll) observeTokenInterval(time.Time, string, time.Duration) {}
func (admitAll) tick(time.Time) []admit.Verdict                        { return nil }

// roundRobin chooses the targets in turn.
type roundRobin struct {
	admitAll
	n int
}

func (p *roundRobin) choose(_ time.Time, _ picker.Request, cs []picker.Candidate) string {
	p.n++
	return cs[p.n%len(cs)].VM.Name
}

// leastInFlight chooses the target with the fewest calls of this entry in flight. It
// starts its search at a random target, so that the entries do not all choose the
// first of several equal ones.
type leastInFlight struct {
	admitAll
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

// pickerPolicy chooses targets with picker.Chooser and admits every call.
type pickerPolicy struct {
	admitAll
	chooser *picker.Chooser
}

func (p *pickerPolicy) choose(now time.Time, r picker.Request, cs []picker.Candidate) string {
	got, err := p.chooser.Choose(now, r, cs)
	if err != nil {
		panic(err)
	}
	return got.VM.Name
}

func (p *pickerPolicy) observeTokenInterval(now time.Time, target string, pace time.Duration) {
	p.chooser.ObserveTokenInterval(now, target, pace)
}

func (p *pickerPolicy) event(now time.Time, target string, block uint64, stored bool) {
	if stored {
		p.chooser.PrefixStored(now, target, block)
		return
	}
	p.chooser.PrefixEvicted(now, target, block)
}

// pickerAndAdmitPolicy chooses targets with picker.Chooser and admits calls with
// admit.Admitter, as the entries do.
type pickerAndAdmitPolicy struct {
	pickerPolicy
	admitter *admit.Admitter
}

func (p *pickerAndAdmitPolicy) offer(now time.Time, r picker.Request) []admit.Verdict {
	return p.admitter.Offer(now, admit.Offer{
		ID:       r.ID,
		Customer: r.Customer,
		Service:  r.Service,
		Priority: r.Priority,
		Deadline: r.Deadline,
	})
}

func (p *pickerAndAdmitPolicy) done(now time.Time, d admit.Done) []admit.Verdict {
	return p.admitter.Done(now, d)
}

func (p *pickerAndAdmitPolicy) report(now time.Time, target string, r picker.LoadReport) {
	p.admitter.Report(now, "helper", target, r)
}

func (p *pickerAndAdmitPolicy) tick(now time.Time) []admit.Verdict { return p.admitter.Tick(now) }

// namedPolicy holds the constructor of a policy and the name that the results show.
type namedPolicy struct {
	name string
	make func(fleet.VM, *rand.Rand) policy
}

// policies returns the policies that are compared; measureCapacity uses the one at
// index 2.
func policies() []namedPolicy {
	return []namedPolicy{
		{name: "roundRobin", make: func(fleet.VM, *rand.Rand) policy { return &roundRobin{} }},
		{name: "leastInFlight", make: func(_ fleet.VM, r *rand.Rand) policy { return &leastInFlight{rand: r} }},
		{name: "choiceOnly", make: func(vm fleet.VM, r *rand.Rand) policy { return newPickerPolicy(vm, r) }},
		{name: "hawthornferry", make: func(vm fleet.VM, r *rand.Rand) policy {
			a := &admit.Admitter{}
			a.SetShares(shares())
			return &pickerAndAdmitPolicy{pickerPolicy: *newPickerPolicy(vm, r), admitter: a}
		}},
	}
}

func newPickerPolicy(vm fleet.VM, r *rand.Rand) *pickerPolicy {
	return &pickerPolicy{chooser: &picker.Chooser{Entry: vm, Rand: r}}
}
