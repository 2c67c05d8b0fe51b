// Package table holds what callers may call at one version of the
// configuration: routes, the services behind them, and the customers with
// their keys. A Table is never changed once it is handed out.
package table

import (
	"strings"
	"time"

	"hawthornferry/core/process/envdoc"
)

// Repeat says how often a route's requests may run.
type Repeat string

// The kinds of route. A stream may be taken up by a second target only where
// its route says that it can be resumed.
const (
	RepeatIdempotent Repeat = "idempotent"
	RepeatOnce       Repeat = "once"
	RepeatStream     Repeat = "stream"
)

// Route is one route. Timeout bounds the whole answer; Objective is the time
// to the answer, or to a stream's first event, that callers are promised, and
// Gap the longest pause between the events of a stream.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Repeat    Repeat
	Timeout   time.Duration
	Objective time.Duration
	Gap       time.Duration
	Priority  int
	Shares    []Share
	Attempts  int
	Anonymous bool
	Resume    bool
}

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Resumable reports whether a second target may go on with an answer that
// the first one broke off.
func (r Route) Resumable() bool { return r.Repeat == RepeatStream && r.Resume }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool { return r.Repeat == RepeatIdempotent || r.Resumable() }

// Service is a group of targets. MaxConns is how many connections each target
// takes from all callers; Engine is nil for a plain service.
type Service struct {
	Name     string
	MaxConns int
	Engine   *Engine
}

// Engine is what a model engine can do, as its operator declares it.
type Engine struct {
	Model string
	// Slots is how many requests are written at once; Memory, in tokens, is
	// what they and their prompts may take.
	Slots  int
	Memory int
	// A pass with writers makes Stride tokens for each; one step takes Step
	// and PerSequence more for each writer.
	Stride      int
	Step        time.Duration
	PerSequence time.Duration
	// PerContext is for each thousand tokens of a writer's context.
	PerContext time.Duration
	// ReadRate is prompt tokens a second.
	ReadRate float64
	// UsualPrompt and UsualAnswer are mean tokens of a request.
	UsualPrompt int
	UsualAnswer int
}

// Customer is a tenant of the system and the keys that name it. A nil
// Priority leaves that of the route.
type Customer struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits bound what a caller may send; zero is no limit.
type Limits struct {
	MaxBody int64
	Idle    time.Duration
}

// Table is the routing configuration of one version.
type Table struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits

	hosts    map[string][]int
	keys     map[string]int
	services map[string]int
}

// Index prepares the look-ups; call it once before the table is shared.
func (t *Table) Index() {
	t.hosts = make(map[string][]int, len(t.Routes))
	for i, r := range t.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], i)
	}
	t.keys = map[string]int{}
	for i, c := range t.Customers {
		for _, k := range c.Keys {
			t.keys[k] = i
		}
	}
	t.services = make(map[string]int, len(t.Services))
	for i, s := range t.Services {
		t.services[s.Name] = i
	}
}

// Match returns the route of host with the longest prefix of path.
func (t *Table) Match(host, path string) (Route, bool) {
	best := -1
	for _, i := range t.hosts[host] {
		p := t.Routes[i].Prefix
		if strings.HasPrefix(path, p) && (best < 0 || len(p) > len(t.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return t.Routes[best], true
}

// Keyed reports whether requests are to name a customer by a key.
func (t *Table) Keyed() bool { return len(t.Customers) > 0 }

// CustomerOf returns the customer that holds key.
func (t *Table) CustomerOf(key string) (Customer, bool) {
	i, ok := t.keys[key]
	if !ok || key == "" {
		return Customer{}, false
	}
	return t.Customers[i], true
}

// ServiceByName returns the service called name.
func (t *Table) ServiceByName(name string) (Service, bool) {
	i, ok := t.services[name]
	if !ok {
		return Service{}, false
	}
	return t.Services[i], true
}

// Kind returns the kind of a service in the terms of an environment document.
func (s Service) Kind() envdoc.Kind {
	if s.Engine != nil {
		return envdoc.KindEngine
	}
	return envdoc.KindPlain
}
