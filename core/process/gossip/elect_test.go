package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
)

func sideNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("side-%d", i))
	}
	return out
}

// nodeWithPeer returns a node that has one peer of its zone.
func nodeWithPeer(now time.Time) *Node {
	n := &Node{Zone: "z", Accept: func(Topic, State) error { return nil }}
	n.Start(now)
	n.Connected(1, "z", now)
	return n
}

func readersAt(members []string, now time.Time) []string {
	n := nodeWithPeer(now)
	var out []string
	for _, m := range members {
		if n.IsReader(m, members, now) {
			out = append(out, m)
		}
	}
	return out
}

func TestReadersDoNotGrowWithTheZone(t *testing.T) {
	mid := epoch.Truncate(ReaderTurn).Add(ReaderTurn / 2)
	for _, size := range []int{1, 3, 10, 50, 280} {
		got := readersAt(sideNames(size), mid)
		if diff := cmp.Diff(min(size, ReadersPerZone), len(got)); diff != "" {
			t.Errorf("number of readers among %d processes (-want +got):\n%s", size, diff)
		}
	}
}

// Readers continue for a while after their turn, so that processes whose clocks
// differ by less than the overlap never leave a zone without readers, when some
// new readers start late and some old ones stop early.
func TestTurnsOverlap(t *testing.T) {
	members := sideNames(40)
	turn := epoch.Truncate(ReaderTurn).Add(ReaderTurn)
	before := readersAt(members, turn.Add(-time.Second))
	after := readersAt(members, turn.Add(time.Second))
	held := map[string]bool{}
	for _, m := range after {
		held[m] = true
	}
	for _, m := range before {
		if !held[m] {
			t.Errorf("%s stops reading at the turn, want an overlap", m)
		}
	}
}

// All readers of a zone die at once, and the VM list still names them, as only
// they read it. The other processes no longer hear of a live reader. The one
// that ranks first among them takes over, and the rest only if it does not.
func TestNextInRankTakesOverReading(t *testing.T) {
	members := sideNames(12)
	turn := epoch.Truncate(ReaderTurn).Add(turnOverlap + time.Second)
	n := nodeWithPeer(turn)
	readers := map[string]bool{}
	for _, m := range readersAt(members, turn) {
		readers[m] = true
	}
	firstAt := func(self string) time.Duration {
		for d := time.Duration(0); d < ReaderTurn-turnOverlap-2*time.Second; d += time.Second {
			if n.IsReader(self, members, turn.Add(d)) {
				return d
			}
		}
		return ReaderTurn
	}
	var steps []time.Duration
	for _, m := range members {
		if !readers[m] {
			steps = append(steps, firstAt(m))
		}
	}
	earliest := ReaderTurn
	for _, d := range steps {
		earliest = min(earliest, d)
	}
	if earliest <= failoverDelay || earliest >= ReaderTurn {
		t.Errorf("the first process takes over after %v, want after %v and within a turn", earliest, failoverDelay)
	}
	together := 0
	for _, d := range steps {
		if d == earliest {
			together++
		}
	}
	if diff := cmp.Diff(1, together); diff != "" {
		t.Errorf("number of processes that take over first (-want +got):\n%s", diff)
	}
}

// A zone's readers are alive, but the platform is down for long. Nobody else
// starts to read while news of live readers keeps arriving; otherwise the
// platform would be hit by every process of the fleet when it comes back.
func TestLiveReaderKeepsOthersFromReading(t *testing.T) {
	members := sideNames(12)
	now := epoch.Truncate(ReaderTurn).Add(turnOverlap + time.Second)
	n := nodeWithPeer(now)
	readers := map[string]bool{}
	for _, m := range readersAt(members, now) {
		readers[m] = true
	}
	for range 15 {
		now = now.Add(time.Second)
		n.Marks(1, Marks{ReaderAge: 2 * time.Second}, now)
		for _, m := range members {
			if !readers[m] && n.IsReader(m, members, now) {
				t.Fatalf("%s reads although readers are alive", m)
			}
		}
	}
}

// The VM list service restarts and returns an empty list, then all VMs again.
// Accepted at once, the empty list would leave every entry without a target.
func TestShrunkenListMustRepeat(t *testing.T) {
	vm := func(name string, s fleet.State) fleet.VM {
		return fleet.VM{Name: name, Role: fleet.RoleSide, Zone: "z", Region: "r", Address: testAddr, State: s}
	}
	full := []fleet.VM{vm("a", fleet.StateLive), vm("b", fleet.StateLive), vm("c", fleet.StateLeaving)}
	tests := []struct {
		name    string
		answers [][]fleet.VM
		want    []int
	}{
		{name: "empty once", answers: [][]fleet.VM{full, nil, full}, want: []int{3, 3, 3}},
		{name: "empty for good", answers: [][]fleet.VM{full, nil, nil, nil}, want: []int{3, 3, 3, 0}},
		{name: "one gone", answers: [][]fleet.VM{full, full[:2]}, want: []int{3, 2}},
	}
	for _, tc := range tests {
		var o Observer
		var held State
		var got []int
		for _, a := range tc.answers {
			next, changed, err := o.Observe(held, a)
			if err != nil {
				t.Fatal(err)
			}
			if changed {
				held = next
			}
			got = append(got, len(held.Items))
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: number of VMs held (-want +got):\n%s", tc.name, diff)
		}
	}
}

// Two readers see the list with different lags: one has seen that a VM is
// leaving, the other still reports it as live. The VM gets no new work again
// until it has left the list and come back, or is live in three consecutive
// answers because it was restarted in place.
func TestLeavingStaysLeaving(t *testing.T) {
	live := fleet.VM{Name: "a", Role: fleet.RoleSide, Zone: "z", Region: "r", Address: testAddr, State: fleet.StateLive}
	other := live
	other.Name = "b"
	leaving := live
	leaving.State = fleet.StateLeaving
	var o Observer
	var held State
	var got []fleet.State
	answers := [][]fleet.VM{
		{live, other},
		{leaving, other},
		{live, other},
		{other},
		{live, other},
		{leaving, other},
		{live, other},
		{live, other},
		{live, other},
	}
	for _, vms := range answers {
		next, changed, err := o.Observe(held, vms)
		if err != nil {
			t.Fatal(err)
		}
		if changed {
			held = next
		}
		known, err := new(VMDecoder).Decode(held)
		if err != nil {
			t.Fatal(err)
		}
		state := fleet.State("gone")
		if known[0].Name == "a" {
			state = known[0].State
		}
		got = append(got, state)
	}
	want := []fleet.State{
		fleet.StateLive, fleet.StateLeaving, fleet.StateLeaving, "gone", fleet.StateLive,
		fleet.StateLeaving, fleet.StateLeaving, fleet.StateLeaving, fleet.StateLive,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states of VM a (-want +got):\n%s", diff)
	}
}
