// Package envdoc parses and checks environment documents, and compares two of
// them. In an environment document an operator declares the services, the model
// versions that they serve, and how many replicas run in each zone. The processes
// of an environment read it through the configuration service; the commands check
// and plan read it from files.
package envdoc

import (
	"time"

	"hawthornferry/core/version/chunk"
)

// Document is a checked environment document. Revision is assigned by the
// configuration service; a document with a higher revision always replaces one
// with a lower revision. The lists are sorted by name, so that the same sections
// give the same document in whatever order they were read.
type Document struct {
	Revision  uint64
	Name      string
	Stage     Stage
	Goal      Goal
	Origin    Origin
	Regions   []Region
	Zones     []Zone
	Models    []Model
	Services  []Service
	Customers []Customer
}

// Stage is the kind of environment that a document describes.
type Stage string

// The stages.
const (
	StageTrial      Stage = "trial"
	StageProduction Stage = "production"
)

// Goal is what a rollout optimizes for.
type Goal string

// The goals. GoalOriginBytes downloads as few bytes from the origin as possible.
// GoalTime minimizes the time until all replicas serve the new version, and may
// download further copies from the origin to that end.
const (
	GoalOriginBytes Goal = "originBytes"
	GoalTime        Goal = "time"
)

// Origin is the server from which model weights are downloaded. Region is empty if
// the origin is outside all of the document's regions. MaxCopies is how many
// complete copies of a new version Compare assumes to be downloaded at most if the
// goal is GoalTime. Package spread does not read it: its own limit is
// maxExtraCopies copies besides the first.
type Origin struct {
	Region    string
	MaxCopies int
}

// Region is a set of zones that share one link to other regions. LinkRate is the
// rate of that link in bytes per second in each direction.
type Region struct {
	Name     string
	LinkRate int64
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

// ServiceKind is the kind of a service.
type ServiceKind string

// The kinds of service: an engine service serves a model, a plain service has none.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// Fencing says whether a service's targets reject a load order that carries an
// outdated fencing number.
type Fencing string

// The ways in which targets treat an outdated fencing number.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Service is a service and its placement. Replicas is the desired number of
// replicas in each zone. Floor is the minimum number of replicas in each zone that
// keep serving while a new version is rolled out. Repeatable lists "METHOD /path"
// patterns of requests that may run more than once, in addition to requests with
// safe methods.
type Service struct {
	Name       string
	Kind       ServiceKind
	Model      string
	Fencing    Fencing
	Floor      int
	Replicas   []Placement
	Timeout    time.Duration
	Repeatable []string
}

// Placement is the desired number of replicas in one zone.
type Placement struct {
	Zone     string
	Replicas int
}

// Customer is a customer and its share of the capacity under high load, relative
// to the shares of the other customers.
type Customer struct {
	Name  string
	Share int
}

// ServiceByName returns the service with the given name.
func (d *Document) ServiceByName(name string) (Service, bool) {
	return byName(d.Services, name, func(s Service) string { return s.Name })
}

// ModelByName returns the model with the given name.
func (d *Document) ModelByName(name string) (Model, bool) {
	return byName(d.Models, name, func(m Model) string { return m.Name })
}

// ZoneByName returns the zone with the given name.
func (d *Document) ZoneByName(name string) (Zone, bool) {
	return byName(d.Zones, name, func(z Zone) string { return z.Name })
}

// RegionByName returns the region with the given name.
func (d *Document) RegionByName(name string) (Region, bool) {
	return byName(d.Regions, name, func(r Region) string { return r.Name })
}

func byName[T any](items []T, name string, nameOf func(T) string) (T, bool) {
	for _, item := range items {
		if nameOf(item) == name {
			return item, true
		}
	}
	var zero T
	return zero, false
}
