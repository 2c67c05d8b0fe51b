package table

import (
	"cmp"
	"slices"
)

// maxRank is the highest rank. Engines distinguish ten priorities.
const maxRank = 9

// priorityPair orders the requests of a service: by the priority of the customer, and
// among customers with the same one by that of the route.
type priorityPair struct{ customer, route int }

func comparePriorities(a, b priorityPair) int {
	return cmp.Or(cmp.Compare(a.customer, b.customer), cmp.Compare(a.route, b.route))
}

// pairOf returns the pair of a request. A customer without a priority of its own has that
// of the route.
func pairOf(customer *int, route int) priorityPair {
	if customer == nil {
		return priorityPair{route, route}
	}
	return priorityPair{*customer, route}
}

// rankPriorities lists, for each service, the different pairs that its requests may have,
// the most urgent first.
func (t *Table) rankPriorities() map[string][]priorityPair {
	routes := map[string][]Route{}
	for _, r := range t.Routes {
		for _, s := range r.TrafficSplit {
			known := slices.ContainsFunc(routes[s.Service], func(o Route) bool {
				return o.Priority == r.Priority && o.AllowAnonymous == r.AllowAnonymous
			})
			if !known {
				routes[s.Service] = append(routes[s.Service], r)
			}
		}
	}
	out := map[string][]priorityPair{}
	for service, rs := range routes {
		var pairs []priorityPair
		for _, r := range rs {
			pairs = append(pairs, t.pairsOf(r)...)
		}
		slices.SortFunc(pairs, comparePriorities)
		out[service] = slices.Compact(pairs)
	}
	return out
}

// pairsOf lists the pairs that requests of a route may have.
func (t *Table) pairsOf(r Route) []priorityPair {
	if r.AllowAnonymous || !t.RequiresKey() {
		return []priorityPair{pairOf(nil, r.Priority)}
	}
	var out []priorityPair
	for _, c := range t.Customers {
		if p := pairOf(c.Priority, r.Priority); !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// Ranks returns the different ranks that requests to a service may have, in order.
func (t *Table) Ranks(service string) []int {
	out := make([]int, min(len(t.ranksByService[service]), maxRank+1))
	for i := range out {
		out[i] = i
	}
	return out
}

// RoutesDiffer reports whether routes to a service have different priorities.
func (t *Table) RoutesDiffer(service string) bool {
	pairs := t.ranksByService[service]
	return slices.ContainsFunc(pairs, func(p priorityPair) bool { return p.route != pairs[0].route })
}

// SameRanks reports whether the requests to a service have the same ranks by both tables.
func (t *Table) SameRanks(o *Table, service string) bool {
	return slices.Equal(t.ranksByService[service], o.ranksByService[service])
}

// Rank returns the rank of a request among those of its service, 0 for the most urgent.
// The customer's priority goes before the route's, which orders the requests of customers
// with the same priority. customer is nil for a customer without one. Ranks above 9 count as
// 9.
func (t *Table) Rank(service string, customer *int, route int) int {
	at, _ := slices.BinarySearchFunc(t.ranksByService[service], pairOf(customer, route), comparePriorities)
	return min(at, maxRank)
}
