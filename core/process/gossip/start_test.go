package gossip

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
)

// Operators see a new fleet draw the weights once for each side: the VM list
// lags behind the fleet's start and answers empty, each process holds that as
// the list's first version and, not being named in it, leaves the next read
// to readers that do not exist. The list stayed empty for 10 s and each side
// took itself for the only one.
func TestEmptyListAtStartIsReadAgain(t *testing.T) {
	var o Observer
	_, changed, err := o.Observe(State{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(false, changed); diff != "" {
		t.Errorf("empty answer at the start is a version (-want +got):\n%s", diff)
	}
	tests := []struct {
		name    string
		members []string
		want    bool
	}{
		{"zone not in the list", nil, true},
		{"zone read by others", names(Readers), false},
	}
	for _, tc := range tests {
		n := withPeer(epoch)
		got := n.IsReader("new", tc.members, epoch.Add(aloneAfter/2))
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: reads (-want +got):\n%s", tc.name, diff)
		}
	}
}

// A list that held VMs and answers empty once is still doubted, as before.
func TestEmptyListLaterIsDoubted(t *testing.T) {
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
		t.Errorf("empty answer believed at once (-want +got):\n%s", diff)
	}
}
