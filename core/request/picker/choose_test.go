package picker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

var startTime = time.Unix(1_000_000, 0)

func newCandidate(name, zone string) Candidate {
	return Candidate{
		VM: fleet.VM{
			Name:    name,
			Role:    fleet.RoleSide,
			Zone:    zone,
			Region:  zone[:1],
			Service: "helper",
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			State:   fleet.StateLive,
		},
		Availability: AvailabilityReady,
		Report:       LoadReport{Capacity: 8},
	}
}

func newChooser() *Chooser {
	return &Chooser{
		Entry: fleet.VM{Name: "e1", Role: fleet.RoleEntry, Zone: "a1", Region: "a"},
		Rand:  rand.New(rand.NewPCG(1, 2)),
	}
}

func TestChooseExcludesCandidates(t *testing.T) {
	with := func(c Candidate, change func(*Candidate)) Candidate {
		change(&c)
		return c
	}
	v1, v2 := chunk.DigestOf([]byte("1")), chunk.DigestOf([]byte("2"))
	tests := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       string
		reason     Reason
		left       []trail.Exclusion
	}{
		{
			name: "standing",
			candidates: []Candidate{
				with(newCandidate("t1", "a1"), func(c *Candidate) { c.Availability = AvailabilitySilent }),
				with(newCandidate("t2", "a1"), func(c *Candidate) { c.VM.State = fleet.StateLeaving }),
				with(newCandidate("t3", "a1"), func(c *Candidate) { c.Availability = AvailabilityUnserved }),
				newCandidate("t4", "a1"),
			},
			want: "t4", reason: ReasonOnlyCandidate,
			left: []trail.Exclusion{{Name: "t1", Reason: "silent"}, {Name: "t2", Reason: "leaving"}, {Name: "t3", Reason: "unserved"}},
		},
		{
			name:    "version and avoided",
			request: Request{Version: v2, FailedTargets: []string{"t2"}},
			candidates: []Candidate{
				with(newCandidate("t1", "a1"), func(c *Candidate) { c.ServedVersion = v1 }),
				with(newCandidate("t2", "a1"), func(c *Candidate) { c.ServedVersion = v2 }),
				with(newCandidate("t3", "a1"), func(c *Candidate) { c.ServedVersion = v2 }),
			},
			want: "t3", reason: ReasonOnlyCandidate,
			left: []trail.Exclusion{{Name: "t1", Reason: "otherVersion"}, {Name: "t2", Reason: "failedThisCall"}},
		},
		{
			name:       "own zone preferred",
			candidates: []Candidate{newCandidate("t1", "b1"), newCandidate("t2", "a1")},
			want:       "t2", reason: ReasonOnlyCandidate,
			left: []trail.Exclusion{{Name: "t1", Reason: "otherZone"}},
		},
		{
			name: "spill to the region and not beyond",
			candidates: []Candidate{
				newCandidate("t1", "b1"),
				newCandidate("t2", "a2"),
				with(newCandidate("t3", "a1"), func(c *Candidate) { c.InFlight = 8 }),
			},
			want: "t2", reason: ReasonLessLoaded,
			left: []trail.Exclusion{{Name: "t1", Reason: "otherZone"}, {Name: "t3", Reason: "moreLoaded"}},
		},
		{
			name: "lower load of two targets",
			candidates: []Candidate{
				with(newCandidate("t1", "a1"), func(c *Candidate) { c.InFlight = 3 }),
				newCandidate("t2", "a1"),
			},
			want: "t2", reason: ReasonLessLoaded,
			left: []trail.Exclusion{{Name: "t1", Reason: "moreLoaded"}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := newChooser().Choose(startTime, tt.request, tt.candidates)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, got.VM.Name); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.reason, got.Reason); diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.left, got.Excluded); diff != "" {
				t.Errorf("excluded (-want +got):\n%s", diff)
			}
		})
	}
}

// If all targets are leaving, Choose must return NoTargetError with the reason for
// each, and not a target that is about to stop.
func TestChooseNoTarget(t *testing.T) {
	c := newCandidate("t1", "a1")
	c.Availability = AvailabilityLeaving
	_, err := newChooser().Choose(startTime, Request{Service: "helper"}, []Candidate{c})
	var none *NoTargetError
	if !errors.As(err, &none) {
		t.Fatalf("error is %v, want a NoTarget", err)
	}
	want := []trail.Exclusion{{Name: "t1", Reason: "leaving"}}
	if diff := cmp.Diff(want, none.Excluded); diff != "" {
		t.Errorf("excluded (-want +got):\n%s", diff)
	}
}

// Many calls have the same prefix. Guards against all of them going to the target
// that holds it, where they would wait for their first token while other targets are
// idle.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	c := newChooser()
	cands := []Candidate{newCandidate("t1", "a1"), newCandidate("t2", "a1"), newCandidate("t3", "a1"), newCandidate("t4", "a1")}
	used := map[string]int{}
	for range 32 {
		got, err := c.Choose(startTime, Request{PrefixHashes: []uint64{7}}, cands)
		if err != nil {
			t.Fatal(err)
		}
		used[got.VM.Name]++
		for i := range cands {
			cands[i].InFlight = used[cands[i].VM.Name]
		}
	}
	for _, cand := range cands {
		if cand.InFlight == 0 || cand.InFlight > 12 {
			t.Errorf("%s has %d of 32 calls, want 1 to 12", cand.VM.Name, cand.InFlight)
		}
	}
}

// Guards against sending all calls between two load reports to the target that was
// least loaded in the last report: the entry's own calls since the report must be
// counted.
func TestLoadIncludesOwnCallsSinceReport(t *testing.T) {
	c := newChooser()
	cands := []Candidate{newCandidate("t1", "a1"), newCandidate("t2", "a1")}
	cands[0].Report = LoadReport{ReceivedAt: startTime, Running: 0, Capacity: 8}
	cands[1].Report = LoadReport{ReceivedAt: startTime, Running: 4, Capacity: 8}
	for range 8 {
		got, err := c.Choose(startTime, Request{}, cands)
		if err != nil {
			t.Fatal(err)
		}
		for i := range cands {
			if cands[i].VM.Name == got.VM.Name {
				cands[i].InFlight++
			}
		}
	}
	if diff := cmp.Diff([]int{6, 2}, []int{cands[0].InFlight, cands[1].InFlight}); diff != "" {
		t.Errorf("calls in flight (-want +got):\n%s", diff)
	}
}

// When a target leaves a subset, the other targets must stay in it, so that their
// sessions are kept.
func TestSubsetKeepsRemainingTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 60).Draw(t, "targets")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		var vms []fleet.VM
		for i := range n {
			zone := rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "zone")
			vms = append(vms, newCandidate(fmt.Sprintf("t%d", i), zone).VM)
		}
		entry := fleet.VM{Name: "e1", Zone: "a1", Region: "a"}
		before := Subset(entry, "helper", vms, size)
		if len(before) != min(n, size) {
			t.Fatalf("%d targets in the subset, want %d", len(before), min(n, size))
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		name := vms[gone].Name
		after := Subset(entry, "helper", append(vms[:gone:gone], vms[gone+1:]...), size)
		kept := map[string]bool{}
		for _, vm := range after {
			kept[vm.Name] = true
		}
		for _, vm := range before {
			if vm.Name != name && !kept[vm.Name] {
				t.Fatalf("%s left the subset when %s was removed", vm.Name, name)
			}
		}
	})
}

// One of three targets has four times the time between tokens of the others, and
// reports as much free capacity. While the others have capacity, it must get only
// occasional probes. Once it has recovered, it must get its share of calls again.
func TestSlowTargetIsProbed(t *testing.T) {
	c := newChooser()
	cands := []Candidate{newCandidate("t1", "a1"), newCandidate("t2", "a1"), newCandidate("t3", "a1")}
	now := startTime
	run := func(slowest time.Duration) int {
		slow := 0
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			got, err := c.Choose(now, Request{}, cands)
			if err != nil {
				t.Fatal(err)
			}
			pace := 25 * time.Millisecond
			if got.VM.Name == "t1" {
				slow++
				pace = slowest
			}
			c.ObserveTokenInterval(now, got.VM.Name, pace)
		}
		return slow
	}
	run(100 * time.Millisecond)
	if got := run(100 * time.Millisecond); got > 7 {
		t.Errorf("the slow target got %d of 600 calls in a minute, want at most 7", got)
	}
	run(25 * time.Millisecond)
	if got := run(25 * time.Millisecond); got < 100 {
		t.Errorf("the recovered target got %d of 600 calls, want at least 100", got)
	}
}
