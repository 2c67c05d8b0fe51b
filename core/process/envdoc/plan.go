package envdoc

import (
	"cmp"
	"slices"

	"hawthornferry/core/version/chunk"
)

// Plan describes what would change if one document replaced another.
type Plan struct {
	Versions []VersionChange `json:"versions"`
	Replicas []ReplicaChange `json:"replicas"`
	Waves    []Wave          `json:"waves"`
	Sections []SectionChange `json:"sections"`
}

// VersionChange is a change of the model or version that a service serves. From is
// empty if the service is new or had no model. Transfer is nil if the manifest of
// the new version is not known.
type VersionChange struct {
	Service  string         `json:"service"`
	Model    string         `json:"model"`
	From     string         `json:"from,omitempty"`
	To       string         `json:"to"`
	Manifest chunk.Digest   `json:"manifest"`
	Replicas int            `json:"replicas"`
	Transfer *TransferBytes `json:"bytes,omitempty"`
}

// TransferBytes is the amount of data that the rollout of a new version transfers.
// Total is the size of the version, and New the size of its chunks that the
// previous version does not have; if the manifest of the previous version is not
// known, all chunks count. Origin and OriginMax are the minimum and the maximum
// downloaded from the origin. Regions has the minimum that crosses the link of each
// region with replicas, except the origin's region.
type TransferBytes struct {
	Total     int64        `json:"whole"`
	New       int64        `json:"new"`
	Origin    int64        `json:"origin"`
	OriginMax int64        `json:"originMost"`
	Regions   []RegionLoad `json:"regions"`
}

// RegionLoad is the number of bytes that cross a region's link, and the minimum
// time that this takes at the link's rate, in milliseconds.
type RegionLoad struct {
	Region string `json:"region"`
	Bytes  int64  `json:"bytes"`
	MinMS  int64  `json:"leastMs"`
}

// ReplicaChange is a change of the desired number of replicas of a service in a
// zone.
type ReplicaChange struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// Wave is a step of a rollout in one zone: Loading replicas load the new version at
// the same time while Serving replicas keep serving. Zones go through their waves
// independently of each other.
type Wave struct {
	Number  int    `json:"number"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Loading int    `json:"loading"`
	Serving int    `json:"serving"`
}

// Compare returns what would change if next replaced old. manifests holds the known
// manifests by digest. old may be nil for an environment without a document.
func Compare(old, next *Document, manifests map[chunk.Digest]chunk.Manifest) Plan {
	if old == nil {
		old = &Document{}
	}
	var p Plan
	for _, s := range next.Services {
		before, _ := old.ServiceByName(s.Name)
		p.Replicas = append(p.Replicas, replicaChanges(s.Name, before.Replicas, s.Replicas)...)
		if c, ok := versionChange(old, next, s, manifests); ok {
			p.Versions = append(p.Versions, c)
			p.Waves = append(p.Waves, planWaves(s)...)
		}
	}
	for _, s := range old.Services {
		if _, ok := next.ServiceByName(s.Name); !ok {
			p.Replicas = append(p.Replicas, replicaChanges(s.Name, s.Replicas, nil)...)
		}
	}
	slices.SortStableFunc(p.Waves, func(a, b Wave) int { return cmp.Compare(a.Number, b.Number) })
	p.Sections = sectionChanges(old, next)
	return p
}

func replicaChanges(service string, old, next []Placement) []ReplicaChange {
	counts := map[string]*ReplicaChange{}
	change := func(zone string) *ReplicaChange {
		if counts[zone] == nil {
			counts[zone] = &ReplicaChange{Service: service, Zone: zone}
		}
		return counts[zone]
	}
	for _, r := range old {
		change(r.Zone).From = r.Replicas
	}
	for _, r := range next {
		change(r.Zone).To = r.Replicas
	}
	var out []ReplicaChange
	for _, c := range counts {
		if c.From != c.To {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(a, b ReplicaChange) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

func versionChange(old, next *Document, s Service, manifests map[chunk.Digest]chunk.Manifest) (VersionChange, bool) {
	m, ok := next.ModelByName(s.Model)
	if s.Kind != KindEngine || !ok {
		return VersionChange{}, false
	}
	var before Model
	if was, ok := old.ServiceByName(s.Name); ok {
		before, _ = old.ModelByName(was.Model)
	}
	if before.Manifest == m.Manifest {
		return VersionChange{}, false
	}
	c := VersionChange{Service: s.Name, Model: m.Name, From: before.Version, To: m.Version, Manifest: m.Manifest}
	for _, r := range s.Replicas {
		c.Replicas += r.Replicas
	}
	if manifest, ok := manifests[m.Manifest]; ok {
		c.Transfer = transferBytes(next, s, manifest, manifests[before.Manifest])
	}
	return c, true
}

func transferBytes(d *Document, s Service, m, before chunk.Manifest) *TransferBytes {
	known := map[chunk.Digest]bool{}
	for _, c := range before.Chunks {
		known[c.Digest] = true
	}
	b := &TransferBytes{Total: m.Size}
	for _, c := range m.Chunks {
		if !known[c.Digest] {
			known[c.Digest] = true
			b.New += c.Size
		}
	}
	b.Origin = b.New
	b.OriginMax = b.New
	if d.Goal == GoalTime {
		b.OriginMax = b.New * int64(d.Origin.MaxCopies)
	}
	b.Regions = regionLoads(d, s, b.New)
	return b
}

func regionLoads(d *Document, s Service, bytes int64) []RegionLoad {
	var out []RegionLoad
	for _, r := range d.Regions {
		if r.Name == d.Origin.Region || !d.hasReplicasIn(s, r.Name) {
			continue
		}
		out = append(out, RegionLoad{Region: r.Name, Bytes: bytes, MinMS: bytes * 1000 / max(1, r.LinkRate)})
	}
	return out
}

// hasReplicasIn reports whether s has replicas in a zone of the region.
func (d *Document) hasReplicasIn(s Service, region string) bool {
	for _, r := range s.Replicas {
		if z, ok := d.ZoneByName(r.Zone); ok && z.Region == region && r.Replicas > 0 {
			return true
		}
	}
	return false
}

// planWaves returns the waves in which the replicas of each zone load, with as many
// replicas at a time as the floor allows, but at least one.
func planWaves(s Service) []Wave {
	var out []Wave
	for _, r := range s.Replicas {
		maxLoading := max(1, r.Replicas-s.Floor)
		left := r.Replicas
		for n := 1; left > 0; n++ {
			loading := min(maxLoading, left)
			out = append(out, Wave{Number: n, Service: s.Name, Zone: r.Zone, Loading: loading, Serving: r.Replicas - loading})
			left -= loading
		}
	}
	return out
}
