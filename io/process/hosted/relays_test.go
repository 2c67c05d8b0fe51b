package hosted

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/table"
)

// Guards against relays where a new configuration, or the state that keys are checked by,
// would come too late through them.
func TestRelaysNeedLongBounds(t *testing.T) {
	tests := []struct {
		name           string
		config, revoke time.Duration
		strict, want   bool
	}{
		{"long", 5 * time.Second, 5 * time.Second, true, true},
		{"short for configurations", 3 * time.Second, 5 * time.Second, true, false},
		{"short for keys", 5 * time.Second, 4 * time.Second, true, false},
		{"short for keys, not strict", 5 * time.Second, 4 * time.Second, false, true},
		{"none", 0, 0, false, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := Bounds{ConfigDelay: tc.config, RevocationDelay: tc.revoke, StrictKeys: tc.strict}
			if diff := cmp.Diff(tc.want, allowsRelays(b)); diff != "" {
				t.Errorf("relays allowed (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against relays that follow each other, and against processes that follow sides of
// other zones.
func TestUpstreamsOfRelays(t *testing.T) {
	tb := &table.Table{Services: []table.Service{{Name: "svc", Engine: &table.Engine{}}}}
	tb.BuildIndex()
	known := &facts.Facts{Table: tb}
	for i := range 200 {
		known.Targets = append(known.Targets, facts.Target{
			ID: fmt.Sprint(i), Service: "svc", Zone: fmt.Sprintf("z%d", i%2),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 2), 0, byte(i)}), 80),
		})
	}
	counts := map[bool]int{}
	for _, target := range known.Targets {
		r := &relays{
			vm:       fleet.VM{Zone: target.Zone, Address: netip.AddrPortFrom(target.Address.Addr(), 7)},
			sidePort: 7, current: func() *facts.Facts { return known },
		}
		counts[r.includesSelf()]++
		upstreams := r.upstreams()
		if r.includesSelf() != (len(upstreams) == 0) {
			t.Errorf("%s: a relay: %t, follows %d relays", target.Address, r.includesSelf(), len(upstreams))
		}
		for _, p := range upstreams {
			if p.Address.Addr().As4()[1] != target.Address.Addr().As4()[1] {
				t.Errorf("%s follows %s of another zone", target.Address, p.Address)
			}
		}
	}
	if diff := cmp.Diff(map[bool]int{true: 6, false: 194}, counts); diff != "" {
		t.Errorf("relays and others (-want +got):\n%s", diff)
	}
}
