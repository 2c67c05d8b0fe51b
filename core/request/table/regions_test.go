package table

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a request that is served in a region which only one of its route and
// its customer allows.
func TestIntersectionOfAllowedRegions(t *testing.T) {
	all := AllowedRegions{}
	tests := []struct {
		name string
		a, b AllowedRegions
		want []string
	}{
		{"no limits", all, all, []string{"", "north", "south", "west"}},
		{"only the route", OnlyRegions("north"), all, []string{"north"}},
		{"only the customer", all, OnlyRegions("south", "north"), []string{"north", "south"}},
		{"both", OnlyRegions("north", "west"), OnlyRegions("north", "south"), []string{"north"}},
		{"nothing in common", OnlyRegions("north"), OnlyRegions("south"), nil},
		{"empty set", OnlyRegions(), all, nil},
		{"an unnamed region", OnlyRegions(""), all, nil},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var got []string
			for _, region := range []string{"", "north", "south", "west"} {
				if tc.a.Intersect(tc.b).Allows(region) {
					got = append(got, region)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("allowed regions (-want +got):\n%s", diff)
			}
			if !tc.a.Intersect(tc.b).Equal(tc.b.Intersect(tc.a)) {
				t.Error("the order of the sets matters")
			}
		})
	}
}
