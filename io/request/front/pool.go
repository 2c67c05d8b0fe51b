package front

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/route"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// sweepEvery is the time between two looks for sessions to end.
const sweepEvery = time.Second

// extraIdle is how long a session outside the subset is kept without a call.
const extraIdle = time.Minute

// TargetStatus is how a target stands as the entry sees it.
type TargetStatus struct {
	VM       fleet.VM       `json:"vm"`
	Standing route.Standing `json:"standing"`
	InFlight int            `json:"inFlight"`
	Serving  chunk.Digest   `json:"serving,omitempty"`
	Boot     string         `json:"boot,omitempty"`
}

// memberID names one target process: a VM replaced under the same name has
// another address.
type memberID struct {
	name    string
	address netip.AddrPort
}

// member is one session and what the entry has at the target.
type member struct {
	client *sessn.Client
	cancel context.CancelFunc

	// Guarded by the pool.
	vm       fleet.VM
	chosen   bool
	listed   bool
	inFlight int
	used     time.Time
}

// pool keeps the entry's sessions: a bounded subset of each service's
// targets, and those that tickets and keys need.
type pool struct {
	front *Front

	mu      sync.Mutex
	ctx     context.Context
	wg      sync.WaitGroup
	members map[memberID]*member
}

func newPool(f *Front) *pool {
	return &pool{front: f, members: map[memberID]*member{}}
}

// run follows the view until ctx ends.
func (p *pool) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	tick := p.front.Clock.NewTicker(sweepEvery)
	defer tick.Stop()
	defer p.wg.Wait()
	for {
		moved := p.front.Source.Changed()
		p.follow(p.front.Source.Current())
		select {
		case <-ctx.Done():
			return
		case <-moved:
		case <-tick.Chan():
		}
	}
}

// follow opens the sessions of the subset and ends those no longer needed. A
// session with calls in flight stays until they have ended.
func (p *pool) follow(v view.View) {
	wanted := map[memberID]bool{}
	if v.Document != nil {
		p.front.policy.shares(v.Document.Customers)
	}
	for _, vm := range p.subsets(v) {
		wanted[idOf(vm)] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.chosen, m.listed = false, false
	}
	for _, vm := range v.VMs {
		if vm.Role != fleet.RoleSide {
			continue
		}
		if wanted[idOf(vm)] {
			p.ensureLocked(vm)
		}
		if m := p.members[idOf(vm)]; m != nil {
			m.vm, m.listed, m.chosen = vm, true, wanted[idOf(vm)]
		}
	}
	p.sweepLocked()
}

func (p *pool) sweepLocked() {
	now := p.front.Clock.Now()
	for id, m := range p.members {
		if m.chosen || m.inFlight > 0 {
			continue
		}
		if m.listed && now.Sub(m.used) < extraIdle {
			continue
		}
		m.cancel()
		delete(p.members, id)
	}
}

// subsets returns the targets to keep sessions with. Leaving targets are not
// counted, so their successors have sessions before they are gone.
func (p *pool) subsets(v view.View) []fleet.VM {
	var live []fleet.VM
	services := map[string]bool{}
	for _, vm := range v.VMs {
		if vm.State != fleet.StateLive {
			continue
		}
		live = append(live, vm)
		if vm.Role == fleet.RoleSide {
			services[vm.Service] = true
		}
	}
	var out []fleet.VM
	for name := range services {
		out = append(out, route.Subset(p.front.Self.VM, name, live, p.front.Limits.Subset)...)
	}
	return out
}

func idOf(vm fleet.VM) memberID { return memberID{name: vm.Name, address: vm.Address} }

func (p *pool) ensureLocked(vm fleet.VM) *member {
	if m, ok := p.members[idOf(vm)]; ok {
		return m
	}
	if p.ctx == nil || p.ctx.Err() != nil {
		return nil
	}
	f := p.front
	ctx, cancel := context.WithCancel(p.ctx)
	m := &member{vm: vm, cancel: cancel, listed: true, used: f.Clock.Now()}
	m.client = &sessn.Client{Self: f.Self, Clock: f.Clock, VM: vm, Timing: f.Timing}
	m.client.Changed = func() { p.report(m.client, vm) }
	m.client.Events = func(events []sessn.PrefixEvent) { p.events(vm, events) }
	p.members[idOf(vm)] = m
	p.wg.Go(func() { _ = m.client.Run(ctx) })
	return m
}

// report hands a target's load report on to admission.
func (p *pool) report(c *sessn.Client, vm fleet.VM) {
	s := c.Status()
	if s.Connected && s.Beat.Load.Known {
		p.front.policy.report(vm.Service, vm.Name, reportOf(s))
	}
}

func (p *pool) events(vm fleet.VM, events []sessn.PrefixEvent) {
	for _, e := range events {
		p.front.policy.event(vm.Name, e.Prefix, e.Stored)
	}
}

func reportOf(s sessn.Status) route.Report {
	l := s.Beat.Load
	return route.Report{At: s.At, Running: l.Running, Queued: l.Queued, Capacity: l.Capacity}
}

// take returns the member with the VM's name and counts a call in flight at
// it. A side outside the subset gets a session of its own.
func (p *pool) take(name string) *member {
	vm, ok := p.listed(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byNameLocked(name)
	if m == nil && ok {
		m = p.ensureLocked(vm)
	}
	if m == nil {
		return nil
	}
	m.inFlight++
	return m
}

func (p *pool) byNameLocked(name string) *member {
	var found *member
	for id, m := range p.members {
		if id.name == name && (found == nil || m.listed) {
			found = m
		}
	}
	return found
}

func (p *pool) listed(name string) (fleet.VM, bool) {
	for _, vm := range p.front.Source.Current().VMs {
		if vm.Name == name && vm.Role == fleet.RoleSide {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// isListed reports whether the VM list still names the member's VM.
func (p *pool) isListed(m *member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.listed
}

func (p *pool) release(m *member) {
	p.mu.Lock()
	m.inFlight--
	m.used = p.front.Clock.Now()
	p.mu.Unlock()
}

// candidates returns the service's targets that the entry has sessions with.
func (p *pool) candidates(service string) []route.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []route.Candidate
	for _, m := range p.members {
		if m.vm.Service == service && m.listed {
			out = append(out, m.candidate())
		}
	}
	slices.SortFunc(out, func(a, b route.Candidate) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	return out
}

func (m *member) candidate() route.Candidate {
	s := m.client.Status()
	c := route.Candidate{VM: m.vm, Standing: m.standing(s), InFlight: m.inFlight, Serving: s.Beat.Serving}
	if s.Beat.Load.Known {
		c.Report = reportOf(s)
	}
	return c
}

// standing takes whichever tells first: the VM list, the side, or silence.
func (m *member) standing(s sessn.Status) route.Standing {
	switch {
	case m.vm.State == fleet.StateLeaving || s.Beat.Leaving:
		return route.StandingLeaving
	case !s.Connected:
		return route.StandingSilent
	case !s.Beat.Ready:
		return route.StandingUnserved
	}
	return route.StandingReady
}

func (p *pool) targets() []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]TargetStatus, 0, len(p.members))
	for _, m := range p.members {
		s := m.client.Status()
		out = append(out, TargetStatus{
			VM: m.vm, Standing: m.standing(s), InFlight: m.inFlight,
			Serving: s.Beat.Serving, Boot: s.Beat.Reading.Boot,
		})
	}
	slices.SortFunc(out, func(a, b TargetStatus) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	return out
}
