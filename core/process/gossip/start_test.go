package gossip

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
)

// Guards against every process of a new fleet taking itself for the only one
// and downloading the weights itself. The VM list lags behind the start of the
// fleet and is empty at first. If that is accepted as the first version, each
// process, not being in the list, leaves the next read to readers that do not
// exist, and the list stays empty for 10 s.
func TestEmptyListAtStartIsReadAgain(t *testing.T) {
	var o Observer
	_, changed, err := o.Observe(State{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(false, changed); diff != "" {
		t.Errorf("empty answer at the start is accepted (-want +got):\n%s", diff)
	}
	tests := []struct {
		name    string
		members []string
		want    bool
	}{
		{"zone not in the list", nil, true},
		{"zone read by others", sideNames(ReadersPerZone), false},
	}
	for _, tc := range tests {
		n := nodeWithPeer(epoch)
		got := n.IsReader("new", tc.members, epoch.Add(noPeersTimeout/2))
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: IsReader (-want +got):\n%s", tc.name, diff)
		}
	}
}

// A list that held VMs and is then empty once is not accepted at once.
func TestEmptyListAfterVMsMustRepeat(t *testing.T) {
	var o Observer
	vms := []fleet.VM{{
		Name: "a", Role: fleet.RoleEntry, Zone: "z", Region: "r",
		Address: netip.MustParseAddrPort("127.0.0.1:1"), State: fleet.StateLive,
	}}
	held, changed, err := o.Observe(State{}, vms)
	if err != nil || !changed {
		t.Fatalf("first list: changed %v, err %v", changed, err)
	}
	_, changed, err = o.Observe(held, nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(false, changed); diff != "" {
		t.Errorf("empty answer is accepted at once (-want +got):\n%s", diff)
	}
}
