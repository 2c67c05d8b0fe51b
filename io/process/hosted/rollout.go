package hosted

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/table"
	"hawthornferry/io/version/shelf"
)

// firstVersion is the version that engines hold before any is named.
const firstVersion = 1

// mostWanted is how many versions are fetched at a time: the newest, and the
// one before it, which the origin still has.
const mostWanted = 2

// leastLead is how much sooner than the newest version the one before it must
// have been named to be fetched as well. Both share the links; named at nearly the
// same time, or heard of together after an outage of the store, the older one is of
// no use and doubles the time until the newest is whole. Bringing and loading a
// version takes about seven of the eight seconds that it has, so that the newest
// alone is in time for the older one's bound when it follows within a second.
const leastLead = time.Second

// olderCutoff is how long before the newest version's bound the one before it is
// not wanted any more.
const olderCutoff = 3 * time.Second

// loadingPart is the part of a zone's replicas that may load at once. With
// half, a version takes two rounds of about two seconds after its weights
// have come, which the bound on versions leaves; with a third it takes three.
const loadingPart = 2

// rollout is the view by which a side distributes and loads weights: the
// platform's facts in the terms of an environment document.
type rollout struct {
	settings Settings

	mu      sync.Mutex
	view    view.View
	changed chan struct{}
}

func newRollout(s Settings) *rollout { return &rollout{settings: s, changed: make(chan struct{})} }

// Current returns the view.
func (r *rollout) Current() view.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Changed returns a channel that is closed at the next change.
func (r *rollout) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *rollout) set(v view.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = v
	close(r.changed)
	r.changed = make(chan struct{})
}

// wantedOf returns the model of a service and the versions that are wanted at now,
// the newest first: older ones are of use while the newest cannot be had and its own
// time, bound, leaves room for a load. From then on they would only share the links
// with the newest, and a load of one would hold up that of the newest.
func wantedOf(f *facts.Facts, service string, now time.Time, bound time.Duration) (string, []uint64, bool) {
	if f.Table == nil {
		return "", nil, false
	}
	s, ok := f.Table.ServiceByName(service)
	if !ok || s.Engine == nil || s.Engine.Model == "" {
		return "", nil, false
	}
	// A replaced version that only peers know of is of no use here: it was over
	// before this process started, or it would have to be brought anew.
	named := slices.DeleteFunc(f.Named(s.Engine.Model), func(v facts.Named) bool { return !v.Read })
	if len(named) == 0 {
		return s.Engine.Model, []uint64{firstVersion}, true
	}
	out := []uint64{named[0].Version}
	if bound > 0 && now.Sub(named[0].Since) >= bound-olderCutoff {
		return s.Engine.Model, out, true
	}
	for _, v := range named[1:min(len(named), mostWanted)] {
		if named[0].Since.Sub(v.Since) >= leastLead {
			out = append(out, v.Version)
		}
	}
	return s.Engine.Model, out, true
}

// viewOf puts the facts into the terms of an environment document in which
// the service's model has the given edition.
func viewOf(s Settings, f *facts.Facts, service table.Service, e *shelf.Edition, vms []fleet.VM) view.View {
	d := &envdoc.Document{
		Revision: f.Revision,
		Stage:    envdoc.StageProduction,
		Weigh:    envdoc.WeighOrigin,
		Origin:   envdoc.Origin{Region: s.Regions[f.Origin.Zone]},
		Models: []envdoc.Model{{
			Name: e.Model, Version: strconv.FormatUint(e.Version, 10), Manifest: e.Digest,
		}},
	}
	sv := envdoc.Service{Name: service.Name, Kind: envdoc.KindEngine, Model: e.Model, Floor: floorOf(vms)}
	for zone, region := range s.Regions {
		d.Zones = append(d.Zones, envdoc.Zone{Name: zone, Region: region})
		sv.Replicas = append(sv.Replicas, envdoc.Placement{Zone: zone, Replicas: math.MaxInt32})
	}
	d.Services = []envdoc.Service{sv}
	return view.View{Document: d, VMs: vms}
}

// vmsOf lists the sides beside the targets of a service, this one included.
func vmsOf(s Settings, f *facts.Facts, service string) []fleet.VM {
	out := []fleet.VM{s.VM}
	for _, t := range f.Targets {
		name := t.Address.Addr().String()
		if t.Service != service || name == s.VM.Name {
			continue
		}
		state := fleet.StateLive
		if t.Leaving {
			state = fleet.StateLeaving
		}
		out = append(out, fleet.VM{
			Name: name, Role: fleet.RoleSide, Zone: t.Zone, Region: s.Regions[t.Zone], Service: service,
			Address: netip.AddrPortFrom(t.Address.Addr(), s.SidePort), State: state,
		})
	}
	return out
}

// floorOf is how many replicas of each zone keep serving while others load.
func floorOf(vms []fleet.VM) int {
	zones := map[string]int{}
	for _, vm := range vms {
		if vm.State == fleet.StateLive {
			zones[vm.Zone]++
		}
	}
	least := 0
	for _, n := range zones {
		if least == 0 || n < least {
			least = n
		}
	}
	return least - max(1, least/loadingPart)
}
