package roll

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestDelaySpacesLoads(t *testing.T) {
	waiting := Status{Name: "b", Phase: PhaseIdle, Serving: oldVersion, Wanted: newVersion, Revision: 2}
	loading := waiting
	loading.Phase, loading.OrderedVersion, loading.OrderAge = PhaseLoading, newVersion, 300*time.Millisecond
	loaded := waiting
	loaded.Serving, loaded.OrderedVersion, loaded.OrderAge = newVersion, newVersion, 2*time.Second
	asksFirst, asksLater := waiting, waiting
	asksFirst.Phase = PhaseAsking
	asksLater.Phase, asksLater.Rank = PhaseAsking, 2
	earlier := waiting
	earlier.OrderedVersion, earlier.OrderAge = oldVersion, time.Millisecond
	tests := []struct {
		name     string
		deadline Deadline
		answers  []Status
		want     time.Duration
	}{
		{"no bound", Deadline{}, []Status{waiting, loading}, 0},
		{"first of the zone", Deadline{true, 4 * time.Second}, []Status{waiting, waiting}, 0},
		{"one has begun, one waits", Deadline{true, 4 * time.Second}, []Status{loading, waiting}, 1700 * time.Millisecond},
		{"the last one", Deadline{true, time.Second}, []Status{loaded, loading}, 700 * time.Millisecond},
		{"last began long ago", Deadline{true, 4 * time.Second}, []Status{loaded, waiting, waiting}, -2*time.Second + 4*time.Second/3},
		{"one of a better rank asks", Deadline{true, 4 * time.Second}, []Status{asksFirst}, 2 * time.Second},
		{"one of a worse rank asks", Deadline{true, 4 * time.Second}, []Status{asksLater}, 0},
		{"order of another version", Deadline{true, 4 * time.Second}, []Status{earlier}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, tc.deadline.delay(Want{Manifest: newVersion, Rank: 1}, tc.answers)); diff != "" {
				t.Errorf("wait (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against replicas of a zone that all load within a second of each other although
// the old version may be used for seconds more: half of the engines then get all calls,
// and are overloaded.
func TestLoadsSpreadOverTimeLeft(t *testing.T) {
	const (
		replicas = 7
		whole    = 2500 * time.Millisecond
		limit    = 7 * time.Second
		loadTime = 1500 * time.Millisecond
		step     = 10 * time.Millisecond
	)
	zone := make([]simulatedReplica, replicas)
	var began []time.Duration
	for at := whole; at < limit+loadTime; at += step {
		for i := range zone {
			if zone[i].tryLoad(at, limit, i, zone) {
				began = append(began, at)
			}
			zone[i].finish(at, loadTime)
		}
	}
	if len(began) != replicas {
		t.Fatalf("%d replicas loaded, want %d", len(began), replicas)
	}
	even := (limit - whole) / replicas
	for i := 1; i < len(began); i++ {
		if gap := began[i] - began[i-1]; gap < even/2 {
			t.Errorf("loads %d and %d began %v apart, want about %v", i-1, i, gap, even)
		}
	}
	if last := slices.Max(began); last > limit+maxSpacing {
		t.Errorf("last load began after %v, limit %v", last, limit)
	}
}

// simulatedReplica is a side and its engine; a question takes no time.
type simulatedReplica struct {
	machine Machine
	target  Target
	next    time.Duration
}

func (r *simulatedReplica) facts(at, limit time.Duration, rank int) Facts {
	f := facts()
	f.ReadAt = at
	f.Want.Rank = rank
	f.Want.Service.Floor = 1
	if r.target.Serving == "" {
		r.target.Serving = oldVersion
	}
	f.Target = r.target
	f.Deadline = Deadline{Bounded: r.target.Serving == oldVersion, Remaining: limit - at}
	return f
}

// tryLoad takes one step, and reports whether it began a load.
func (r *simulatedReplica) tryLoad(at, limit time.Duration, rank int, zone []simulatedReplica) bool {
	if at < r.next {
		return false
	}
	now := start.Add(at)
	f := r.facts(at, limit, rank)
	a := r.machine.Step(now, f)
	if a.Kind == ActionAsk {
		var answers []Status
		for i := range zone {
			if i != rank {
				answers = append(answers, zone[i].machine.Status(now, zone[i].facts(at, limit, i)))
			}
		}
		a = r.machine.AnswersReceived(now, f, answers)
	}
	r.next = at + r.machine.StepDelay(now, 200*time.Millisecond)
	if a.Kind == ActionOrder {
		r.target.Loading = newVersion
	}
	return a.Kind == ActionOrder
}

func (r *simulatedReplica) finish(at, loadTime time.Duration) {
	if r.target.Loading != "" && start.Add(at).Sub(r.machine.orderedAt) >= loadTime {
		r.target.Serving, r.target.Loading = r.target.Loading, ""
	}
}
