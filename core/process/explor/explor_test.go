package explor

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// counter counts up by one or two, modulo ten.
func counter(broken int) Model[int] {
	return Model[int]{
		Moves: func(n int) []Move[int] {
			return []Move[int]{{Name: "one", Next: (n + 1) % 10}, {Name: "two", Next: (n + 2) % 10}}
		},
		Key: func(n int) string { return fmt.Sprint(n) },
		Check: func(n int) error {
			if n == broken {
				return errors.New("broken")
			}
			return nil
		},
		Max: 100,
	}
}

func TestExploreSeesEveryState(t *testing.T) {
	want := Result{States: 10, Moves: 20, Depth: 5, Whole: true}
	if diff := cmp.Diff(want, Explore(counter(-1))); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

func TestExploreFindsTheShortestWay(t *testing.T) {
	got := Explore(counter(5))
	if got.Err == nil {
		t.Fatalf("no rule broken: %v", got)
	}
	if diff := cmp.Diff([]string{"one", "two", "two"}, got.Trace); diff != "" {
		t.Errorf("trace (-want +got):\n%s", diff)
	}
}

// A model too large for the bound must not pass as checked.
func TestExploreIsNotWholeAtTheBound(t *testing.T) {
	m := counter(-1)
	m.Max = 4
	if got := Explore(m); got.Whole {
		t.Errorf("result is whole at the bound: %v", got)
	}
}
