package table

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against routes of different priorities counting the same because all customers
// have a priority of their own, and against a route's priority going before a customer's.
func TestRankOrdersByCustomerThenRoute(t *testing.T) {
	zero, one := 0, 1
	route := func(priority int) Route {
		return Route{Priority: priority, TrafficSplit: []WeightedService{{Service: "svc", Weight: 1}}}
	}
	type request struct {
		customer *int
		route    int
	}
	tests := []struct {
		name      string
		customers []Customer
		// requests lists requests, the most urgent first; the ranks are those expected.
		requests []request
		ranks    []int
	}{
		{
			name:      "customers with the same priority",
			customers: []Customer{{Name: "a", Priority: &one}, {Name: "b", Priority: &one}},
			requests:  []request{{&one, 0}, {&one, 1}, {&one, 2}}, ranks: []int{0, 1, 2},
		},
		{
			name:      "customer before route",
			customers: []Customer{{Name: "a", Priority: &zero}, {Name: "b", Priority: &one}},
			requests:  []request{{&zero, 0}, {&zero, 2}, {&one, 0}}, ranks: []int{0, 2, 3},
		},
		{
			name:      "customer without a priority",
			customers: []Customer{{Name: "a"}, {Name: "b", Priority: &one}},
			requests:  []request{{nil, 0}, {&one, 0}, {&one, 1}, {nil, 1}, {nil, 2}}, ranks: []int{0, 1, 2, 2, 4},
		},
		{name: "no customers", requests: []request{{nil, 0}, {nil, 1}, {nil, 2}}, ranks: []int{0, 1, 2}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			tb := &Table{Routes: []Route{route(2), route(0), route(1)}, Customers: c.customers, Services: []Service{{Name: "svc"}}}
			tb.BuildIndex()
			var ranks []int
			for _, r := range c.requests {
				ranks = append(ranks, tb.Rank("svc", r.customer, r.route))
			}
			if diff := cmp.Diff(c.ranks, ranks); diff != "" {
				t.Error(diff)
			}
		})
	}
}
