package alert

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/poison"
)

// fakeSource is a source of facts whose age the test sets.
type fakeSource struct {
	facts *facts.Facts
	age   atomic.Int64
}

func (s *fakeSource) Current() *facts.Facts      { return s.facts }
func (s *fakeSource) Age() (time.Duration, bool) { return time.Duration(s.age.Load()), true }

// A process that has lost the store still lists a target that crashed. The request that
// crashed it must stay blocked until the list can be trusted.
func TestListIsTrustedOnlyWhileFresh(t *testing.T) {
	born := time.Unix(1000, 0)
	clock := clockwork.NewFakeClock()
	registry := &Registry{Clock: clock, Log: trail.Discard{}, Metrics: tally.NoopScope}
	source := &fakeSource{facts: &facts.Facts{Targets: []facts.Target{{ID: "a", StartedAt: born}, {ID: "b", StartedAt: born}}}}
	source.age.Store(int64(time.Minute))
	for _, id := range []string{"a", "b", "c"} {
		registry.RecordFailure(registry.Clock.Now(), crashRequest, poison.NewIncarnation(id, born), 0)
	}
	start(t, (&ListChecker{Clock: clock, Registry: registry, Source: source}).Run)
	pass := func(d time.Duration) {
		t.Helper()
		for range int(d / checkInterval) {
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(checkInterval)
		}
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
	}
	steps := []struct {
		name string
		age  time.Duration
		pass time.Duration
		want bool
	}{
		{"the store is lost", time.Minute, time.Minute, true},
		{"it has just returned", time.Second, minFreshTime - 2*checkInterval, true},
		{"it has been back for a while", time.Second, 4 * checkInterval, false},
	}
	for _, step := range steps {
		source.age.Store(int64(step.age))
		pass(step.pass)
		if diff := cmp.Diff(step.want, isBlocked(registry)); diff != "" {
			t.Errorf("%s: blocked (-want +got):\n%s", step.name, diff)
		}
	}
}
