package relay

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func sides(n int) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range n {
		out = append(out, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7))
	}
	return out
}

// Guards against relays whose followers grow with the fleet, and against zones with a
// single relay.
func TestFollowersDoNotGrowWithTheZone(t *testing.T) {
	tests := []struct{ sides, want int }{
		{0, 0},
		{24, 0},
		{63, 0},
		{64, 2},
		{137, 4},
		{256, 8},
		{1000, 31},
	}
	for _, tc := range tests {
		if diff := cmp.Diff(tc.want, len(InZone("z", sides(tc.sides)))); diff != "" {
			t.Errorf("%d sides: relays (-want +got):\n%s", tc.sides, diff)
		}
	}
}

// Guards against processes that take different sides for relays, or most of whose relays
// change when a side ends.
func TestProcessesAgreeOnRelays(t *testing.T) {
	all := sides(137)
	compare := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	want := InZone("z", all)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	if diff := cmp.Diff(want, InZone("z", append(reversed, all[:20]...)), compare); diff != "" {
		t.Errorf("another order, with sides listed twice (-want +got):\n%s", diff)
	}
	without := slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool { return a == want[0] })
	if diff := cmp.Diff(want[1:], InZone("z", without)[:3], compare); diff != "" {
		t.Errorf("without the first (-want +got):\n%s", diff)
	}
	if cmp.Equal(want, InZone("y", all), compare) {
		t.Error("every zone has the same relays")
	}
}
