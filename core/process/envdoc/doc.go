// Package envdoc is the environment document: what an operator writes to say
// which models and versions serve which services, and where.
package envdoc

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Document is a checked environment document. Revision is the one that the
// configuration service gave it; a higher one always replaces a lower one.
// Its lists are sorted by name, so that the same sections give the same
// document whichever way they came.
type Document struct {
	Revision  uint64
	Name      string
	Stage     Stage
	Weigh     Weigh
	Origin    Origin
	Regions   []Region
	Zones     []Zone
	Models    []Model
	Services  []Service
	Customers []Customer
}

// Stage is the environment that a document is for.
type Stage string

// The stages.
const (
	StageTrial      Stage = "trial"
	StageProduction Stage = "production"
)

// Weigh says which of the two measures of a rollout counts more.
type Weigh string

// The weighings: the fewest bytes from the origin, or the least time until
// all replicas serve, within the copies that the origin's link carries.
const (
	WeighOrigin Weigh = "originBytes"
	WeighTime   Weigh = "time"
)

// Origin is where the weights are drawn from. Region is empty when it lies in
// none of the document's regions. Copies is how many whole copies of a new
// version may be drawn from it during one rollout.
type Origin struct {
	Region string
	Copies int
}

// Region is a set of zones behind one shared link. Link is the rate to other
// regions in bytes a second each way.
type Region struct {
	Name string
	Link int64
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
}

// Model pins the version of a model by the digest of its manifest.
type Model struct {
	Name     string
	Version  string
	Manifest chunk.Digest
}

// Kind says what stands behind a service.
type Kind string

// The kinds of service.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Fencing says whether a service's targets refuse an order that carries an
// old fencing number.
type Fencing string

// The ways in which targets treat an old fencing number.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Service is a service and its placement. Replicas holds the wanted number
// for each zone. Floor is the least number of replicas in each zone that
// keep serving while versions change. Repeatable lists the "METHOD /path"
// patterns, beside the safe methods, which may run more than once.
type Service struct {
	Name       string
	Kind       Kind
	Model      string
	Fencing    Fencing
	Floor      int
	Replicas   []Placement
	Timeout    time.Duration
	Repeatable []string
}

// Placement is the wanted number of replicas in one zone.
type Placement struct {
	Zone     string
	Replicas int
}

// Customer is a customer and its share of capacity under load, relative to
// the other customers' shares.
type Customer struct {
	Name  string
	Share int
}

// ServiceByName returns the service called name.
func (d *Document) ServiceByName(name string) (Service, bool) {
	return byName(d.Services, name, func(s Service) string { return s.Name })
}

// ModelByName returns the model called name.
func (d *Document) ModelByName(name string) (Model, bool) {
	return byName(d.Models, name, func(m Model) string { return m.Name })
}

// ZoneByName returns the zone called name.
func (d *Document) ZoneByName(name string) (Zone, bool) {
	return byName(d.Zones, name, func(z Zone) string { return z.Name })
}

// RegionByName returns the region called name.
func (d *Document) RegionByName(name string) (Region, bool) {
	return byName(d.Regions, name, func(r Region) string { return r.Name })
}

func byName[T any](items []T, name string, of func(T) string) (T, bool) {
	for _, it := range items {
		if of(it) == name {
			return it, true
		}
	}
	var zero T
	return zero, false
}
