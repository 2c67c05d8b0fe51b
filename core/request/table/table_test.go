package table

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against admission by priority at services whose requests are all alike, and against
// none where only customers differ.
func TestRanksOfService(t *testing.T) {
	route := func(priority int, services ...string) Route {
		r := Route{Priority: priority}
		for _, s := range services {
			r.TrafficSplit = append(r.TrafficSplit, WeightedService{Service: s, Weight: 1})
		}
		return r
	}
	table := &Table{Routes: []Route{route(2, "a"), route(0, "a", "b"), route(2, "a"), route(5, "c")}}
	tests := []struct {
		name, service string
		customers     []Customer
		want          []int
	}{
		{"routes differ", "a", nil, []int{0, 1}},
		{"a single route", "b", nil, []int{0}},
		{"no route", "d", []Customer{{Priority: new(int)}}, []int{}},
		{"a customer differs", "c", []Customer{{}, {Priority: new(int)}}, []int{0, 1}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			table.Customers = tc.customers
			table.BuildIndex()
			if diff := cmp.Diff(tc.want, table.Ranks(tc.service)); diff != "" {
				t.Errorf("ranks (-want +got):\n%s", diff)
			}
		})
	}
}
