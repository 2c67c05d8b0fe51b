package hosted

import (
	"context"
	"net/netip"
	"sync"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/place"
	"hawthornferry/io/process/feed"
	"hawthornferry/io/process/pulse"
)

// audience hears the sides of the targets that an entry keeps to, and hands on what
// they tell.
type audience struct {
	entry    fleet.VM
	sidePort uint16
	// listen takes the sides to hear from now on, and report what one of them tells
	// of a target.
	listen func(sides []netip.AddrPort)
	report func(target string, r place.Report)

	mu     sync.Mutex
	vms    map[netip.Addr]sideVM
	census place.Census
}

// sideVM is a VM on which a side is heard.
type sideVM struct {
	targets []string
	// near is how many VMs its zone has of the same service, and zones how many
	// zones have any.
	near  int
	zones int
}

// follow keeps to the sides of the engines there are.
func (a *audience) follow(ctx context.Context, f *feed.Feed) error {
	for {
		changed := f.Changed()
		if known := f.Current(); known.Table != nil {
			a.choose(known)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (a *audience) choose(f *facts.Facts) {
	vms := map[netip.Addr]sideVM{}
	var sides []netip.AddrPort
	for _, targets := range enginesOf(f) {
		near := map[string]int{}
		for _, t := range targets {
			near[t.Zone]++
		}
		for i, kept := range place.Subset(a.entry.Name, a.entry.Zone, targets) {
			if !kept {
				continue
			}
			addr := targets[i].Address.Addr()
			m, known := vms[addr]
			if !known {
				sides = append(sides, netip.AddrPortFrom(addr, a.sidePort))
			}
			m.near, m.zones = near[targets[i].Zone], len(near)
			m.targets = append(m.targets, targets[i].ID)
			vms[addr] = m
		}
	}
	a.set(vms)
	a.listen(sides)
}

func (a *audience) set(vms map[netip.Addr]sideVM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for addr := range a.vms {
		if _, kept := vms[addr]; !kept {
			a.census.Forget(addr)
		}
	}
	a.vms = vms
}

// enginesOf are the targets of each service whose targets are engines.
func enginesOf(f *facts.Facts) map[string][]facts.Target {
	out := map[string][]facts.Target{}
	for _, t := range f.Targets {
		if s, ok := f.Table.ServiceByName(t.Service); ok && s.Engine != nil {
			out[t.Service] = append(out[t.Service], t)
		}
	}
	return out
}

// take hands on what a side tells of the engine on its VM.
func (a *audience) take(side netip.AddrPort, l pulse.Load) {
	a.mu.Lock()
	m, known := a.vms[side.Addr()]
	if known {
		a.census.Note(side.Addr(), l.Near, l.Far, m.near, m.zones)
	}
	entries := a.census.Entries()
	a.mu.Unlock()
	for _, id := range m.targets {
		a.report(id, place.Report{
			Alive: l.Alive, Active: l.Active, Queued: l.Queued, Pace: l.Pace, Serving: l.Serving, Busy: l.Loading,
			Entries: l.Near + l.Far, Fleet: entries, Born: l.Born,
		})
	}
}
