package hosted

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Entries share alerts only if all choose the same hubs, whatever the order in which
// they list the sides, and an address that is listed twice must not take two places.
func TestAllProcessesRankSidesAlike(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7")
	want := topRankedSides([]netip.AddrPort{a, b, c}, 2)
	if len(want) != 2 || want[0] == want[1] {
		t.Fatalf("first sides %v, want two", want)
	}
	tests := []struct {
		name  string
		sides []netip.AddrPort
		want  []netip.AddrPort
	}{
		{"other order", []netip.AddrPort{c, a, b}, want},
		{"listed twice", []netip.AddrPort{c, a, c, b, b, a}, want},
		{"one", []netip.AddrPort{a}, []netip.AddrPort{a}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, topRankedSides(tc.sides, 2), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
				t.Errorf("first sides (-want +got):\n%s", diff)
			}
		})
	}
}
