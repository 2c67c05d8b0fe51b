package await

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

type verdict struct {
	id, decision string
}

func newDispatcher() *Dispatcher[verdict] {
	return &Dispatcher[verdict]{RequestID: func(v verdict) string { return v.id }}
}

// A verdict that is returned later, for another request's call, must reach the request
// that waits for it.
func TestVerdictReachesItsRequest(t *testing.T) {
	d := newDispatcher()
	got := make(chan verdict)
	go func() {
		v, _ := d.Await(t.Context(), "1", func() []verdict { return nil }, nil)
		got <- v
	}()
	for waiting := false; !waiting; {
		d.DoIfWaiting(func() []verdict {
			waiting = true
			return []verdict{{"2", "for another request"}, {"1", "placed"}}
		})
	}
	if diff := cmp.Diff(verdict{"1", "placed"}, <-got, cmp.AllowUnexported(verdict{})); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

// When a caller disconnects just as its request is granted a place, the request must
// either get the verdict or give the place back. Otherwise the place would count as
// taken forever.
func TestCancelledRequestReturnsGrantedPlace(t *testing.T) {
	granted := []verdict{{"1", "placed"}}
	for range 100 {
		d := newDispatcher()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		returned := false
		_, got := d.Await(ctx, "1", func() []verdict { return granted }, func(v *verdict) []verdict {
			returned = v != nil && *v == granted[0]
			return nil
		})
		if got == returned {
			t.Fatalf("verdict delivered: %v, place returned: %v, want exactly one of them", got, returned)
		}
	}
}

// When a caller disconnects while its request waits, the request must be withdrawn, and
// a later verdict must be dropped.
func TestCancelledRequestIsWithdrawn(t *testing.T) {
	d := newDispatcher()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	withdrawn := false
	_, got := d.Await(ctx, "1", func() []verdict { return nil }, func(v *verdict) []verdict {
		withdrawn = v == nil
		return nil
	})
	if got || !withdrawn {
		t.Errorf("verdict delivered: %v, request withdrawn: %v, want only the latter", got, withdrawn)
	}
	d.Do(func() []verdict { return []verdict{{"1", "placed"}} })
}
