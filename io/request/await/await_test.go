package await

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

type verdict struct {
	id, what string
}

func newDesk() *Desk[verdict] {
	return &Desk[verdict]{ID: func(v verdict) string { return v.id }}
}

// A verdict that comes later, with another request's event, reaches the request
// that waits for it.
func TestVerdictReachesItsRequest(t *testing.T) {
	d := newDesk()
	got := make(chan verdict)
	go func() {
		v, _ := d.Await(t.Context(), "1", func() []verdict { return nil }, nil)
		got <- v
	}()
	for waits := false; !waits; {
		d.Tick(func() []verdict {
			waits = true
			return []verdict{{"2", "of another"}, {"1", "placed"}}
		})
	}
	if diff := cmp.Diff(verdict{"1", "placed"}, <-got, cmp.AllowUnexported(verdict{})); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

// A caller leaves as its request is granted a place. Either it gets the verdict
// or the place is given back; lost, the target would count it as taken for good.
func TestLeavingGivesBackWhatWasGranted(t *testing.T) {
	granted := []verdict{{"1", "placed"}}
	for range 100 {
		d := newDesk()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		back := false
		_, got := d.Await(ctx, "1", func() []verdict { return granted }, func(v *verdict) []verdict {
			back = v != nil && *v == granted[0]
			return nil
		})
		if got == back {
			t.Fatalf("the verdict reached its caller: %v, was given back: %v, want one of both", got, back)
		}
	}
}

// A caller leaves while its request waits: the request is withdrawn, and a verdict
// that comes later reaches nobody.
func TestLeavingWithdraws(t *testing.T) {
	d := newDesk()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	withdrawn := false
	_, got := d.Await(ctx, "1", func() []verdict { return nil }, func(v *verdict) []verdict {
		withdrawn = v == nil
		return nil
	})
	if got || !withdrawn {
		t.Errorf("got a verdict: %v, withdrawn: %v, want only the latter", got, withdrawn)
	}
	d.Do(func() []verdict { return []verdict{{"1", "placed"}} })
}
