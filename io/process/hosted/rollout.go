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
	"hawthornferry/io/version/adapt"
)

// firstVersion is the version that engines serve before any is announced.
const firstVersion = 1

// maxWantedVersions is how many versions are fetched at once: the newest, and the one
// before it, which the origin still has.
const maxWantedVersions = 2

// minAnnounceGap is how long before the newest version the one before it must have been
// announced to be fetched as well. Both share the links. If they were announced at nearly
// the same time, or were learned of together after an outage of the store, the older one
// is useless and doubles the time until the newest is complete. Fetching and loading a
// version takes about seven of the eight seconds of its time limit, so that the newest
// alone meets the older one's limit as well if it follows within a second.
const minAnnounceGap = time.Second

// olderCutoff is how long before the newest version's time limit the one before it is
// no longer wanted.
const olderCutoff = 3 * time.Second

// loadingDivisor limits how many of a zone's replicas may load at the same time: the
// replicas divided by it. With half of them, a version takes two rounds of about two
// seconds after its weights have arrived, which fits in the time limit for versions; a
// third takes three rounds.
const loadingDivisor = 2

// rolloutView holds the current view from which a side distributes and loads weights:
// the platform's state in the form of an environment document.
type rolloutView struct {
	settings Settings

	mu      sync.Mutex
	view    view.View
	changed chan struct{}
}

func newRolloutView(s Settings) *rolloutView {
	return &rolloutView{settings: s, changed: make(chan struct{})}
}

// Current returns the current view.
func (r *rolloutView) Current() view.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Changed returns a channel that is closed when the view changes next.
func (r *rolloutView) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *rolloutView) set(v view.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = v
	close(r.changed)
	r.changed = make(chan struct{})
}

// wantedRules says until when and since when the version before the newest is wanted. Bound is
// the time limit of a version.
type wantedRules struct {
	Bound       time.Duration
	OlderCutoff time.Duration
	MinGap      time.Duration
}

// unplannedRules apply where the fetches of versions are not planned.
func unplannedRules(bound time.Duration) wantedRules {
	return wantedRules{Bound: bound, OlderCutoff: olderCutoff, MinGap: minAnnounceGap}
}

// wantedVersions is versionsWanted where the fetches of versions are not planned. bound is the
// time limit of a version.
func wantedVersions(f *facts.Facts, service string, now time.Time, bound time.Duration) (string, []uint64, bool) {
	return versionsWanted(f, service, now, unplannedRules(bound))
}

// versionsWanted returns the model of a service and the versions of it that are wanted
// at now, newest first. An older version is useful
// while the newest is not available and the newest's own time limit leaves room for a
// load. After that it would only share the links with the newest, and loading it would
// delay the newest.
func versionsWanted(f *facts.Facts, service string, now time.Time, rules wantedRules) (string, []uint64, bool) {
	if f.Table == nil {
		return "", nil, false
	}
	s, ok := f.Table.ServiceByName(service)
	if !ok || s.Engine == nil || s.Engine.Model == "" {
		return "", nil, false
	}
	// Skips replaced versions that only peers know of: such a version was replaced
	// before this process started, or would have to be fetched from scratch.
	announced := slices.DeleteFunc(f.VersionsOf(s.Engine.Model), func(v facts.ModelVersion) bool { return !v.Read })
	if len(announced) == 0 {
		return s.Engine.Model, []uint64{firstVersion}, true
	}
	out := []uint64{announced[0].Version}
	if rules.Bound > 0 && now.Sub(announced[0].Since) >= rules.Bound-rules.OlderCutoff {
		return s.Engine.Model, out, true
	}
	for _, v := range announced[1:min(len(announced), maxWantedVersions)] {
		if announced[0].Since.Sub(v.Since) >= rules.MinGap {
			out = append(out, v.Version)
		}
	}
	return s.Engine.Model, out, true
}

// newView describes the platform's state as an environment document in which the
// service's model has the given version.
func newView(s Settings, f *facts.Facts, service table.Service, e *adapt.KnownVersion, vms []fleet.VM) view.View {
	d := &envdoc.Document{
		Revision: f.Revision,
		Stage:    envdoc.StageProduction,
		Goal:     envdoc.GoalOriginBytes,
		Origin:   envdoc.Origin{Region: s.Regions[f.Origin.Zone]},
		Models: []envdoc.Model{{
			Name: e.Model, Version: strconv.FormatUint(e.Version, 10), Manifest: e.Digest,
		}},
	}
	svc := envdoc.Service{Name: service.Name, Kind: envdoc.KindEngine, Model: e.Model, Floor: servingFloor(vms)}
	for zone, region := range s.Regions {
		d.Zones = append(d.Zones, envdoc.Zone{Name: zone, Region: region})
		svc.Replicas = append(svc.Replicas, envdoc.Placement{Zone: zone, Replicas: math.MaxInt32})
	}
	d.Services = []envdoc.Service{svc}
	return view.View{Document: d, VMs: vms}
}

// serviceVMs returns the VMs of the sides next to the targets of a service, this one
// first.
func serviceVMs(s Settings, f *facts.Facts, service string) []fleet.VM {
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

// servingFloor returns how many replicas of each zone must keep serving while others
// load, computed from the smallest zone.
func servingFloor(vms []fleet.VM) int {
	zones := map[string]int{}
	for _, vm := range vms {
		if vm.State == fleet.StateLive {
			zones[vm.Zone]++
		}
	}
	smallest := 0
	for _, n := range zones {
		if smallest == 0 || n < smallest {
			smallest = n
		}
	}
	return smallest - max(1, smallest/loadingDivisor)
}
