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
	"hawthornferry/core/request/picker"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/sessn"
)

// sweepInterval is the time between two checks for sessions that can be closed, if the
// view doesn't change.
const sweepInterval = time.Second

// extraSessionIdle is how long a session outside the subset stays open without calls.
const extraSessionIdle = time.Minute

// TargetStatus is the state of a target as seen by the entry.
type TargetStatus struct {
	VM           fleet.VM            `json:"vm"`
	Availability picker.Availability `json:"standing"`
	InFlight     int                 `json:"inFlight"`
	Serving      chunk.Digest        `json:"serving,omitempty"`
	Boot         string              `json:"boot,omitempty"`
}

// memberID identifies a target process. A VM that replaces another of the same name has
// a different address.
type memberID struct {
	name    string
	address netip.AddrPort
}

// member is a target in the pool with the session to its side.
type member struct {
	client *sessn.Client
	cancel context.CancelFunc

	// The fields below are guarded by pool.mu. inSubset: the target belongs to the
	// entry's subset of its service. listed: the VM list contains the VM. inFlight: the
	// number of this entry's calls at the target. lastUsed: when the latest call ended.
	vm       fleet.VM
	inSubset bool
	listed   bool
	inFlight int
	lastUsed time.Time
}

// pool keeps the entry's sessions. These are to a subset of each service's targets, of
// limited size, and to sides outside it that the calls of tickets and keys need.
type pool struct {
	front *Server

	mu      sync.Mutex
	ctx     context.Context
	wg      sync.WaitGroup
	members map[memberID]*member
}

func newPool(f *Server) *pool {
	return &pool{front: f, members: map[memberID]*member{}}
}

// run updates the sessions whenever the view changes, and every sweepInterval, until
// ctx ends.
func (p *pool) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	tick := p.front.Clock.NewTicker(sweepInterval)
	defer tick.Stop()
	defer p.wg.Wait()
	for {
		viewChanged := p.front.Source.Changed()
		p.updateSessions(p.front.Source.Current())
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		case <-tick.Chan():
		}
	}
}

// updateSessions opens the sessions of the subset and closes those no longer needed. A
// session with calls in flight stays open until they have ended.
func (p *pool) updateSessions(v view.View) {
	subset := map[memberID]bool{}
	if v.Document != nil {
		p.front.policy.setShares(v.Document.Customers)
	}
	for _, vm := range p.subsetVMs(v) {
		subset[idOf(vm)] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.inSubset, m.listed = false, false
	}
	for _, vm := range v.VMs {
		if vm.Role != fleet.RoleSide {
			continue
		}
		if subset[idOf(vm)] {
			p.openLocked(vm)
		}
		if m := p.members[idOf(vm)]; m != nil {
			m.vm, m.listed, m.inSubset = vm, true, subset[idOf(vm)]
		}
	}
	p.sweepLocked()
}

func (p *pool) sweepLocked() {
	now := p.front.Clock.Now()
	for id, m := range p.members {
		if m.inSubset || m.inFlight > 0 {
			continue
		}
		if m.listed && now.Sub(m.lastUsed) < extraSessionIdle {
			continue
		}
		m.cancel()
		delete(p.members, id)
	}
}

// subsetVMs returns the targets to keep sessions with. Leaving targets don't count
// towards the limit, so that there are sessions with their successors before they are
// gone.
func (p *pool) subsetVMs(v view.View) []fleet.VM {
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
		out = append(out, picker.Subset(p.front.Self.VM, name, live, p.front.Limits.SubsetSize)...)
	}
	return out
}

func idOf(vm fleet.VM) memberID { return memberID{name: vm.Name, address: vm.Address} }

func (p *pool) openLocked(vm fleet.VM) *member {
	if m, ok := p.members[idOf(vm)]; ok {
		return m
	}
	if p.ctx == nil || p.ctx.Err() != nil {
		return nil
	}
	f := p.front
	ctx, cancel := context.WithCancel(p.ctx)
	m := &member{vm: vm, cancel: cancel, listed: true, lastUsed: f.Clock.Now()}
	m.client = &sessn.Client{Self: f.Self, Clock: f.Clock, VM: vm, Timing: f.Timing}
	m.client.OnChange = func() { p.reportLoad(m.client, vm) }
	m.client.OnCacheEvents = func(cacheEvents []sessn.PrefixEvent) { p.cacheEvents(vm, cacheEvents) }
	p.members[idOf(vm)] = m
	p.wg.Go(func() { _ = m.client.Run(ctx) })
	return m
}

// reportLoad passes a target's load report to the admitter.
func (p *pool) reportLoad(c *sessn.Client, vm fleet.VM) {
	s := c.Status()
	if s.Connected && s.Heartbeat.Load.Known {
		p.front.policy.reportLoad(vm.Service, vm.Name, loadReportOf(s))
	}
}

func (p *pool) cacheEvents(vm fleet.VM, cacheEvents []sessn.PrefixEvent) {
	for _, e := range cacheEvents {
		p.front.policy.reportCacheEvent(vm.Name, e.Prefix, e.Stored)
	}
}

func loadReportOf(s sessn.Status) picker.LoadReport {
	l := s.Heartbeat.Load
	return picker.LoadReport{ReceivedAt: s.ReceivedAt, Running: l.Running, Queued: l.Queued, Capacity: l.Capacity}
}

// acquire returns the member for the named VM and counts a call in flight at it, or
// returns nil. For a side outside the subset it opens a session.
func (p *pool) acquire(name string) *member {
	vm, ok := p.findSide(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byNameLocked(name)
	if m == nil && ok {
		m = p.openLocked(vm)
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

func (p *pool) findSide(name string) (fleet.VM, bool) {
	for _, vm := range p.front.Source.Current().VMs {
		if vm.Name == name && vm.Role == fleet.RoleSide {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// isListed reports whether the VM list still contains the member's VM.
func (p *pool) isListed(m *member) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.listed
}

func (p *pool) release(m *member) {
	p.mu.Lock()
	m.inFlight--
	m.lastUsed = p.front.Clock.Now()
	p.mu.Unlock()
}

// candidates returns the service's targets that the entry has sessions with, sorted by
// name.
func (p *pool) candidates(service string) []picker.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []picker.Candidate
	for _, m := range p.members {
		if m.vm.Service == service && m.listed {
			out = append(out, m.candidate())
		}
	}
	slices.SortFunc(out, func(a, b picker.Candidate) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	return out
}

func (m *member) candidate() picker.Candidate {
	s := m.client.Status()
	c := picker.Candidate{VM: m.vm, Availability: m.availability(s), InFlight: m.inFlight, ServedVersion: s.Heartbeat.ServedVersion}
	if s.Heartbeat.Load.Known {
		c.Report = loadReportOf(s)
	}
	return c
}

// availability combines what the VM list, the side's heartbeat and the state of the
// session say. The first that excludes the target determines the result.
func (m *member) availability(s sessn.Status) picker.Availability {
	switch {
	case m.vm.State == fleet.StateLeaving || s.Heartbeat.Leaving:
		return picker.AvailabilityLeaving
	case !s.Connected:
		return picker.AvailabilitySilent
	case !s.Heartbeat.Ready:
		return picker.AvailabilityUnserved
	}
	return picker.AvailabilityReady
}

func (p *pool) targets() []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]TargetStatus, 0, len(p.members))
	for _, m := range p.members {
		s := m.client.Status()
		out = append(out, TargetStatus{
			VM: m.vm, Availability: m.availability(s), InFlight: m.inFlight,
			Serving: s.Heartbeat.ServedVersion, Boot: s.Heartbeat.Reading.Boot,
		})
	}
	slices.SortFunc(out, func(a, b TargetStatus) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	return out
}
