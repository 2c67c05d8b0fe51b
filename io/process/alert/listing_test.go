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

// agedBelief is a belief whose age a test sets.
type agedBelief struct {
	facts *facts.Facts
	age   atomic.Int64
}

func (b *agedBelief) Current() *facts.Facts      { return b.facts }
func (b *agedBelief) Age() (time.Duration, bool) { return time.Duration(b.age.Load()), true }

// A target that crashed is still listed by a process that has lost the store: the
// request that crashed it must stay blocked until the list can be trusted.
func TestListIsTrustedOnlyWhileItIsFresh(t *testing.T) {
	born := time.Unix(1000, 0)
	clock := clockwork.NewFakeClock()
	registry := &Registry{Clock: clock, Log: trail.Discard{}, Metrics: tally.NoopScope}
	source := &agedBelief{facts: &facts.Facts{Targets: []facts.Target{{ID: "a", Born: born}, {ID: "b", Born: born}}}}
	source.age.Store(int64(time.Minute))
	for _, id := range []string{"a", "b", "c"} {
		registry.Struck(fatal, poison.StartOf(id, born), 0)
	}
	running(t, (&Listing{Clock: clock, Registry: registry, Source: source}).Run)
	pass := func(d time.Duration) {
		t.Helper()
		for range int(d / lookEvery) {
			if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(lookEvery)
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
		{"it has just returned", time.Second, freshFor - 2*lookEvery, true},
		{"it has been back for a while", time.Second, 4 * lookEvery, false},
	}
	for _, s := range steps {
		source.age.Store(int64(s.age))
		pass(s.pass)
		if diff := cmp.Diff(s.want, isBlocked(registry)); diff != "" {
			t.Errorf("%s: blocked (-want +got):\n%s", s.name, diff)
		}
	}
}
