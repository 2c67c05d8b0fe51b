package space

import (
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a process that holds more than its budget, or never gets back what its
// requests held.
func TestHoldsStayWithinBudget(t *testing.T) {
	b := &Budget{Limit: 100}
	first, second := Hold{Budget: b}, Hold{Budget: b}
	got := []bool{first.Grow(60), second.Grow(50), second.Grow(40), first.Grow(50), first.Grow(61)}
	if diff := cmp.Diff([]bool{true, false, true, true, false}, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
	first.Release()
	if diff := cmp.Diff([]int64{40, 100}, []int64{b.Used(), b.Peak()}); diff != "" {
		t.Errorf("used and peak (-want +got):\n%s", diff)
	}
	if none := (Hold{}); !none.Grow(1 << 40) {
		t.Error("a hold without a budget is limited")
	}
}

// Guards against two requests that take the same bytes at the same time.
func TestBudgetIsSharedSafely(t *testing.T) {
	b := &Budget{Limit: 50}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for range 1000 {
				h := Hold{Budget: b}
				for n := int64(1); n <= 10 && h.Grow(n); n++ {
				}
				h.Release()
			}
		})
	}
	wg.Wait()
	if b.Used() != 0 || b.Peak() > b.Limit {
		t.Errorf("%d bytes used at the end, %d at the peak, want 0 and at most %d", b.Used(), b.Peak(), b.Limit)
	}
}
