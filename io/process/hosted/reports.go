package hosted

import (
	"context"
	"net/netip"
	"sync"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/lease"
	"hawthornferry/core/request/place"
	"hawthornferry/io/process/feed"
	"hawthornferry/io/process/loads"
)

// loadReports connects an entry to the sides of the engines in its subset of the
// targets, and passes their load reports to the placement of requests.
type loadReports struct {
	entry    fleet.VM
	sidePort uint16
	// setSides sets the sides to which to keep connections, and report passes on the load
	// report of one target.
	setSides func(sides []netip.AddrPort)
	report   func(target string, r place.LoadReport)
	// addCollectors returns the sides to which to keep connections, given those whose load
	// reports this entry needs: the same and the collectors of demand.
	addCollectors func(f *facts.Facts, sides []netip.AddrPort) []netip.AddrPort
	// requestLease asks a side for permits, and addPermits passes on those for one target.
	requestLease func(side netip.AddrPort, want int, limit lease.RateLimit)
	addPermits   func(target string, g lease.Grant)

	mu  sync.Mutex
	vms map[netip.Addr]sideVM
	// sideOf holds the address of each target's VM.
	sideOf map[string]netip.Addr
	census place.EntryEstimator
}

// sideVM is a VM with a side to whose load reports this entry listens.
type sideVM struct {
	targets []string
	// zoneTargets is the number of targets of the same service in the VM's zone, and
	// zones the number of zones that have such targets.
	zoneTargets int
	zones       int
}

// watchTargets updates the sides to listen to at each change of the platform's state,
// until ctx ends.
func (r *loadReports) watchTargets(ctx context.Context, f *feed.Feed) error {
	for {
		changed := f.Changed()
		if known := f.Current(); known.Table != nil {
			r.selectSides(known)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (r *loadReports) selectSides(f *facts.Facts) {
	vms := map[netip.Addr]sideVM{}
	var sides []netip.AddrPort
	for _, targets := range engineTargets(f) {
		zoneTargets := map[string]int{}
		for _, t := range targets {
			zoneTargets[t.Zone]++
		}
		for i, kept := range place.Subset(r.entry.Name, r.entry.Zone, targets) {
			if !kept {
				continue
			}
			addr := targets[i].Address.Addr()
			vm, known := vms[addr]
			if !known {
				sides = append(sides, netip.AddrPortFrom(addr, r.sidePort))
			}
			vm.zoneTargets, vm.zones = zoneTargets[targets[i].Zone], len(zoneTargets)
			vm.targets = append(vm.targets, targets[i].ID)
			vms[addr] = vm
		}
	}
	r.setVMs(vms)
	r.setSides(r.addCollectors(f, sides))
}

func (r *loadReports) setVMs(vms map[netip.Addr]sideVM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr := range r.vms {
		if _, kept := vms[addr]; !kept {
			r.census.Forget(addr)
		}
	}
	r.vms = vms
	r.sideOf = map[string]netip.Addr{}
	for addr, vm := range vms {
		for _, id := range vm.targets {
			r.sideOf[id] = addr
		}
	}
}

// engineTargets returns the targets of each service that has engines, by service name.
func engineTargets(f *facts.Facts) map[string][]facts.Target {
	out := map[string][]facts.Target{}
	for _, t := range f.Targets {
		if s, ok := f.Table.ServiceByName(t.Service); ok && s.Engine != nil {
			out[t.Service] = append(out[t.Service], t)
		}
	}
	return out
}

// receive passes on the load report that a side sends for the engine on its VM.
func (r *loadReports) receive(side netip.AddrPort, l loads.Load) {
	r.mu.Lock()
	vm, known := r.vms[side.Addr()]
	if known {
		r.census.Record(side.Addr(), l.OwnZone, l.OtherZones, vm.zoneTargets, vm.zones)
	}
	entries := r.census.Entries()
	r.mu.Unlock()
	for _, id := range vm.targets {
		r.report(id, place.LoadReport{
			Alive: l.Alive, Active: l.Active, Queued: l.Queued, Slowness: l.Slowness, ServedVersion: l.ServedVersion, Loading: l.Loading,
			Listeners: l.OwnZone + l.OtherZones, TotalEntries: entries, StartedAt: l.StartedAt, Cold: l.Cold,
			Rate: l.Rate,
		})
	}
}

// askForPermits asks the side next to a target for permits to send it requests, and tells it
// the limit that the target names.
func (r *loadReports) askForPermits(target string, want int, limit lease.RateLimit) {
	r.mu.Lock()
	addr, known := r.sideOf[target]
	r.mu.Unlock()
	if known {
		r.requestLease(netip.AddrPortFrom(addr, r.sidePort), want, limit)
	}
}

// receivePermits passes on the permits that a side has granted for the engine on its VM. If
// several targets are listed there, only one of them gets the permits, which hold for them
// together.
func (r *loadReports) receivePermits(side netip.AddrPort, g lease.Grant) {
	r.mu.Lock()
	vm := r.vms[side.Addr()]
	r.mu.Unlock()
	if len(vm.targets) > 0 {
		r.addPermits(vm.targets[len(vm.targets)-1], g)
	}
}
