package envdoc

import (
	"cmp"
	"slices"

	"hawthornferry/core/version/chunk"
)

// Plan is what promoting one document over another would change.
type Plan struct {
	Versions []VersionChange `json:"versions"`
	Replicas []ReplicaChange `json:"replicas"`
	Waves    []Wave          `json:"waves"`
	Sections []SectionChange `json:"sections"`
}

// VersionChange is a service's change of model or version. From is empty for
// a service or model that is new. Bytes is nil unless the manifests are
// known.
type VersionChange struct {
	Service  string       `json:"service"`
	Model    string       `json:"model"`
	From     string       `json:"from,omitempty"`
	To       string       `json:"to"`
	Manifest chunk.Digest `json:"manifest"`
	Replicas int          `json:"replicas"`
	Bytes    *Bytes       `json:"bytes,omitempty"`
}

// Bytes is what a new version brings to the links. Whole is the size of the
// version and New the part of it in chunks that the version before does not
// have. Origin is the least and OriginMost the most that the rollout draws
// from the origin; Regions is the least that crosses the link of each region
// apart from the origin's.
type Bytes struct {
	Whole      int64        `json:"whole"`
	New        int64        `json:"new"`
	Origin     int64        `json:"origin"`
	OriginMost int64        `json:"originMost"`
	Regions    []RegionLoad `json:"regions"`
}

// RegionLoad is the bytes that cross a region's link, and the least time
// that its rate allows, in milliseconds.
type RegionLoad struct {
	Region  string `json:"region"`
	Bytes   int64  `json:"bytes"`
	LeastMs int64  `json:"leastMs"`
}

// ReplicaChange is a change of the wanted replicas of a service in a zone.
type ReplicaChange struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// Wave is the replicas that may load at the same time. Each zone goes on to
// its next wave by itself; none waits for another zone.
type Wave struct {
	Number  int    `json:"number"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Loading int    `json:"loading"`
	Serving int    `json:"serving"`
}

// Compare returns what promoting next over old would change. manifests holds
// the manifests that are known, by digest. old may be nil for an environment
// without a document.
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
			p.Waves = append(p.Waves, waves(s)...)
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
	at := func(zone string) *ReplicaChange {
		if counts[zone] == nil {
			counts[zone] = &ReplicaChange{Service: service, Zone: zone}
		}
		return counts[zone]
	}
	for _, r := range old {
		at(r.Zone).From = r.Replicas
	}
	for _, r := range next {
		at(r.Zone).To = r.Replicas
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
		c.Bytes = bytesOf(next, s, manifest, manifests[before.Manifest])
	}
	return c, true
}

func bytesOf(d *Document, s Service, m, before chunk.Manifest) *Bytes {
	have := map[chunk.Digest]bool{}
	for _, c := range before.Chunks {
		have[c.Digest] = true
	}
	b := &Bytes{Whole: m.Size}
	for _, c := range m.Chunks {
		if !have[c.Digest] {
			have[c.Digest] = true
			b.New += c.Size
		}
	}
	b.Origin = b.New
	b.OriginMost = b.New
	if d.Weigh == WeighTime {
		b.OriginMost = b.New * int64(d.Origin.Copies)
	}
	b.Regions = regionLoads(d, s, b.New)
	return b
}

func regionLoads(d *Document, s Service, bytes int64) []RegionLoad {
	var out []RegionLoad
	for _, r := range d.Regions {
		if r.Name == d.Origin.Region || !d.servesIn(s, r.Name) {
			continue
		}
		out = append(out, RegionLoad{Region: r.Name, Bytes: bytes, LeastMs: bytes * 1000 / max(1, r.Link)})
	}
	return out
}

// servesIn reports whether s has replicas in a zone of the region.
func (d *Document) servesIn(s Service, region string) bool {
	for _, r := range s.Replicas {
		if z, ok := d.ZoneByName(r.Zone); ok && z.Region == region && r.Replicas > 0 {
			return true
		}
	}
	return false
}

// waves lists how the replicas of each zone load within the floor.
func waves(s Service) []Wave {
	var out []Wave
	for _, r := range s.Replicas {
		width := max(1, r.Replicas-s.Floor)
		left := r.Replicas
		for n := 1; left > 0; n++ {
			loading := min(width, left)
			out = append(out, Wave{Number: n, Service: s.Name, Zone: r.Zone, Loading: loading, Serving: r.Replicas - loading})
			left -= loading
		}
	}
	return out
}
