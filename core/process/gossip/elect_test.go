package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("side-%d", i))
	}
	return out
}

// withPeer returns a node that has one peer of its zone.
func withPeer(now time.Time) *Node {
	n := &Node{Zone: "z", Accept: func(Topic, State) error { return nil }}
	n.Start(now)
	n.Connected(1, "z", now)
	return n
}

func readersAt(members []string, now time.Time) []string {
	n := withPeer(now)
	var out []string
	for _, m := range members {
		if n.IsReader(m, members, now) {
			out = append(out, m)
		}
	}
	return out
}

func TestReadersDoNotGrowWithTheZone(t *testing.T) {
	mid := epoch.Truncate(Turn).Add(Turn / 2)
	for _, size := range []int{1, 3, 10, 50, 280} {
		got := readersAt(names(size), mid)
		if diff := cmp.Diff(min(size, Readers), len(got)); diff != "" {
			t.Errorf("readers of %d (-want +got):\n%s", size, diff)
		}
	}
}

// The readers of a turn go on for a while after it, so that processes whose
// clocks disagree by less than the overlap never leave a zone unread: of the
// new readers some are late to start, of the old ones some stop early.
func TestTurnsOverlap(t *testing.T) {
	members := names(40)
	turn := epoch.Truncate(Turn).Add(Turn)
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

// All readers of a zone die at once and the VM list, which they read, goes
// on to name them. The others hear of no live reader any more; the one that
// ranks first among them steps in first, and the rest only if it does not.
func TestNextInRankStepsIn(t *testing.T) {
	members := names(12)
	turn := epoch.Truncate(Turn).Add(turnOverlap + time.Second)
	n := withPeer(turn)
	readers := map[string]bool{}
	for _, m := range readersAt(members, turn) {
		readers[m] = true
	}
	firstAt := func(self string) time.Duration {
		for d := time.Duration(0); d < Turn-turnOverlap-2*time.Second; d += time.Second {
			if n.IsReader(self, members, turn.Add(d)) {
				return d
			}
		}
		return Turn
	}
	var steps []time.Duration
	for _, m := range members {
		if !readers[m] {
			steps = append(steps, firstAt(m))
		}
	}
	earliest := Turn
	for _, d := range steps {
		earliest = min(earliest, d)
	}
	if earliest <= standInAfter || earliest >= Turn {
		t.Errorf("the first steps in after %v, want after %v and within a turn", earliest, standInAfter)
	}
	together := 0
	for _, d := range steps {
		if d == earliest {
			together++
		}
	}
	if diff := cmp.Diff(1, together); diff != "" {
		t.Errorf("processes that step in first (-want +got):\n%s", diff)
	}
}

// A zone's readers are alive but the platform is down for long. Nobody else
// starts to read: the news of live readers keeps arriving, and the platform
// must not meet every process of the fleet when it comes back.
func TestLiveReaderKeepsOthersFromReading(t *testing.T) {
	members := names(12)
	now := epoch.Truncate(Turn).Add(turnOverlap + time.Second)
	n := withPeer(now)
	readers := map[string]bool{}
	for _, m := range readersAt(members, now) {
		readers[m] = true
	}
	for range 15 {
		now = now.Add(time.Second)
		n.Marks(1, Marks{ReaderAge: 2 * time.Second}, now)
		for _, m := range members {
			if !readers[m] && n.IsReader(m, members, now) {
				t.Fatalf("%s reads beside live readers", m)
			}
		}
	}
}

// The VM list restarts and answers with nothing, then with all again. Taken
// at once, it would leave every entry without a target.
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
			t.Errorf("%s: VMs held (-want +got):\n%s", tc.name, diff)
		}
	}
}

// Two readers see the list with different lags: one has seen that a VM is
// leaving, the other still answers that it is live. The VM gets no new work
// again, until it has left the list and come back, or is live in three
// answers running because it has been restarted where it was.
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
		known, err := new(VMs).Decode(held)
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
		t.Errorf("states of a (-want +got):\n%s", diff)
	}
}
