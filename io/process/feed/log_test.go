package feed

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/trail"
)

// actionCounter counts the actions of decisions.
type actionCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *actionCounter) Record(d trail.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[d.Action]++
}

func (c *actionCounter) count(action string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[action]
}

// Guards against logs of a start that grow with the square of the fleet, with a line in each
// process for each target, and against changes after the start that are not logged.
func TestFirstStateIsOneLine(t *testing.T) {
	s := newFakeStore()
	for i := range 100 {
		s.set(fmt.Sprintf("target/%d", i), "", false)
	}
	log := &actionCounter{}
	f := newFeed(s)
	f.Log = log
	runFeed(t, f)
	eventually(t, "the targets are known", func() bool { return len(f.Current().Targets) == 100 })
	s.set("target/new", "", false)
	eventually(t, "the new target is known", func() bool { return len(f.Current().Targets) == 101 })
	if diff := cmp.Diff([]int{1, 1}, []int{log.count("listed"), log.count("gained")}); diff != "" {
		t.Errorf("lines of the first state and of the new target (-want +got):\n%s", diff)
	}
}
