package calls

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/view"
)

func ownerView(vms ...fleet.VM) view.View {
	s := envdoc.Service{Name: "s", Replicas: []envdoc.Placement{{Zone: "y", Replicas: 2}, {Zone: "z", Replicas: 1}}}
	return view.View{Document: &envdoc.Document{Services: []envdoc.Service{s}}, VMs: vms}
}

func sideVM(name, zone string, state fleet.State) fleet.VM {
	return fleet.VM{
		Name: name, Role: fleet.RoleSide, Zone: zone, Region: "r", Service: "s", State: state,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}
}

// Guards against two owners of one key, by which a call would run twice. Two entries
// with different VM lists must find the same owner of a key, or at least one of them
// none. A VM that is leaving, or a zone that is missing from the list, must not
// change the owner.
func TestOwnersAgreeAcrossVMLists(t *testing.T) {
	y1, y2 := sideVM("y1", "y", fleet.StateLive), sideVM("y2", "y", fleet.StateLive)
	z1 := sideVM("z1", "z", fleet.StateLive)
	whole := ownerView(y1, y2, z1)
	others := []struct {
		name string
		view view.View
	}{
		{"one VM is leaving", ownerView(sideVM("y1", "y", fleet.StateLeaving), y2, z1)},
		{"one VM is missing", ownerView(y2, z1)},
		{"one VM too many", ownerView(y1, y2, sideVM("y0", "y", fleet.StateLive), z1)},
		{"a zone is missing", ownerView(y1, y2)},
		{"other order", ownerView(z1, y2, y1)},
	}
	for _, tc := range others {
		t.Run(tc.name, func(t *testing.T) {
			for i := range 100 {
				id := KeyID("customer", "s", fmt.Sprint(i))
				a, members, err := Owner(whole, "s", id)
				if err != nil {
					t.Fatal(err)
				}
				if members != OwnerMembers(whole, "s", a.Zone) {
					t.Errorf("key %d: a side in zone %s computes other members", i, a.Zone)
				}
				b, _, err := Owner(tc.view, "s", id)
				if !errors.Is(err, ErrNoOwner) && b.Name != a.Name {
					t.Errorf("key %d: different owners: %s and %s", i, a.Name, b.Name)
				}
			}
		})
	}
}
