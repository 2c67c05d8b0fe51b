// Package table holds the routing table: the routes that callers may use, the
// services behind them, and the customers with their API keys, at one version of the
// configuration.
//
// Package platform builds a Table from the configuration, and entries look up each
// request in it. A Table must not be changed once it is shared.
package table

import (
	"strings"
	"time"

	"hawthornferry/core/process/envdoc"
)

// RouteKind says whether a route's requests may run more than once.
type RouteKind string

// The kinds of route. Requests of an idempotent route may be repeated, those of a
// once route must run at most once. A stream may be continued by a second target only
// if its route says that it can be resumed.
const (
	KindIdempotent RouteKind = "idempotent"
	KindAtMostOnce RouteKind = "once"
	KindStream     RouteKind = "stream"
)

// Route configures the requests of one host and path prefix.
//
// Timeout bounds the whole answer. Objective is the promised time to the answer, or
// to the first event of a stream, and MaxEventGap the longest promised pause between
// two events of a stream. MaxAttempts is the most targets to which a request is sent.
// AllowAnonymous routes need no API key. Regions are those in which requests may be
// served. A route whose TrafficSplit is empty can't be served, because its services couldn't be
// read.
type Route struct {
	Name           string
	Host           string
	Prefix         string
	Kind           RouteKind
	Timeout        time.Duration
	Objective      time.Duration
	MaxEventGap    time.Duration
	Priority       int
	TrafficSplit   []WeightedService
	MaxAttempts    int
	AllowAnonymous bool
	AllowResume    bool
	Regions        AllowedRegions
}

// WeightedService is a service that gets part of a route's requests, in proportion to
// Weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Resumable reports whether a second target may continue an answer that the first one
// broke off.
func (r Route) Resumable() bool { return r.Kind == KindStream && r.AllowResume }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool { return r.Kind == KindIdempotent || r.Resumable() }

// Service is a group of targets. MaxConnsPerTarget is the most connections that each
// target accepts from all callers together. Engine is nil for a plain service. Unreadable is set
// if it couldn't be read which engines the service has, so that it must get no requests.
type Service struct {
	Name              string
	MaxConnsPerTarget int
	Engine            *Engine
	Warmup            Warmup
	Unreadable        bool
}

// Warmup describes targets that have just started. They are cold for Duration, and
// tolerate about MaxRate requests a second from all entries meanwhile; 0 means that they
// need no limit.
type Warmup struct {
	Duration time.Duration
	MaxRate  float64
}

// Engine describes the capacity and speed of a service's model engines, as configured
// by the operator.
type Engine struct {
	Model string
	// Slots is the number of requests that an engine generates answers for at the
	// same time. KVCacheTokens is the number of tokens that these and their prompts
	// may occupy.
	Slots         int
	KVCacheTokens int
	// A pass generates TokensPerPass tokens for each active request, one step per
	// token. A step takes StepTime, and StepTimePerSequence more for each active
	// request.
	TokensPerPass       int
	StepTime            time.Duration
	StepTimePerSequence time.Duration
	// StepTimePerThousandTokens is the time added to a step for each thousand tokens
	// of context of the active requests.
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens read per second.
	PrefillTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of tokens of a
	// request's prompt and answer.
	MeanPromptTokens int
	MeanAnswerTokens int
}

// Customer is a tenant of the system, identified by any of its API keys. Its Priority goes
// before that of the route; nil means that of the route. Regions are those in which its requests may be served,
// besides what the route allows.
type Customer struct {
	Name     string
	APIKeys  []string
	Priority *int
	Regions  AllowedRegions
}

// Limits bound what a caller may send. Zero means no limit.
type Limits struct {
	MaxBodyBytes int64
	IdleTimeout  time.Duration
}

// Unreadable says of which lists of the configuration a part couldn't be read, so that what a
// Table lacks may exist nevertheless.
type Unreadable struct {
	Routes    bool
	Services  bool
	Customers bool
}

// Table is the routing configuration at one version. ListsCustomers is set if the
// configuration has a list of customers, which may be empty.
type Table struct {
	Version        uint64
	Routes         []Route
	Services       []Service
	Customers      []Customer
	ListsCustomers bool
	Limits         Limits
	Unreadable     Unreadable

	routesByHost   map[string][]int
	customersByKey map[string]int
	servicesByName map[string]int
	ranksByService map[string][]priorityPair
}

// BuildIndex builds the look-up maps. It must be called once before the table is
// shared.
func (t *Table) BuildIndex() {
	t.routesByHost = make(map[string][]int, len(t.Routes))
	for i, r := range t.Routes {
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], i)
	}
	t.customersByKey = map[string]int{}
	for i, c := range t.Customers {
		for _, k := range c.APIKeys {
			t.customersByKey[k] = i
		}
	}
	t.ranksByService = t.rankPriorities()
	t.servicesByName = make(map[string]int, len(t.Services))
	for i, s := range t.Services {
		t.servicesByName[s.Name] = i
	}
}

// Match returns the route of host with the longest prefix that matches path.
func (t *Table) Match(host, path string) (Route, bool) {
	best := -1
	for _, i := range t.routesByHost[host] {
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

// RequiresKey reports whether requests must have an API key. They need none if the
// configuration has no list of customers.
func (t *Table) RequiresKey() bool { return t.ListsCustomers || len(t.Customers) > 0 }

// CustomerByKey returns the customer to which an API key belongs.
func (t *Table) CustomerByKey(key string) (Customer, bool) {
	i, ok := t.customersByKey[key]
	if !ok || key == "" {
		return Customer{}, false
	}
	return t.Customers[i], true
}

// ServiceByName returns the service with the given name.
func (t *Table) ServiceByName(name string) (Service, bool) {
	i, ok := t.servicesByName[name]
	if !ok {
		return Service{}, false
	}
	return t.Services[i], true
}

// Kind returns the kind of the service as environment documents name it.
func (s Service) Kind() envdoc.ServiceKind {
	if s.Engine != nil {
		return envdoc.KindEngine
	}
	return envdoc.KindPlain
}
