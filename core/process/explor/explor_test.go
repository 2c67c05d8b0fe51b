package explor

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// counterModel is a counter that counts up by one or two, modulo ten. Its check
// fails at the value broken.
func counterModel(broken int) Model[int] {
	return Model[int]{
		Transitions: func(n int) []Transition[int] {
			return []Transition[int]{{Name: "one", Next: (n + 1) % 10}, {Name: "two", Next: (n + 2) % 10}}
		},
		Key: func(n int) string { return fmt.Sprint(n) },
		Check: func(n int) error {
			if n == broken {
				return errors.New("broken")
			}
			return nil
		},
		MaxStates: 100,
	}
}

func TestExploreChecksEveryState(t *testing.T) {
	want := Result{States: 10, Transitions: 20, Depth: 5, Complete: true}
	if diff := cmp.Diff(want, Explore(counterModel(-1))); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

func TestExploreFindsTheShortestTrace(t *testing.T) {
	got := Explore(counterModel(5))
	if got.Err == nil {
		t.Fatalf("no violation found: %v", got)
	}
	if diff := cmp.Diff([]string{"one", "two", "two"}, got.Trace); diff != "" {
		t.Errorf("trace (-want +got):\n%s", diff)
	}
}

// A model with more states than the limit must not be reported as checked.
func TestExploreIsIncompleteAtTheStateLimit(t *testing.T) {
	m := counterModel(-1)
	m.MaxStates = 4
	if got := Explore(m); got.Complete {
		t.Errorf("result is complete at the state limit: %v", got)
	}
}
