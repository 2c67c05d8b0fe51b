//go:build !race

package naming

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/explor"
	"hawthornferry/core/process/facts"
)

// The model of the namings with another rule: each change of the store revokes a
// key, and requests with it come at any moment.

// keyAge is how old the belief may be for a key to be honoured.
const keyAge = tick

const dropOrder dropped = "the age is read before the belief"

// between is a source whose belief changes after the first of the two calls.
type between struct {
	before, after view
	process       int
	calls         int
}

func (b *between) look() (time.Duration, Contact) {
	b.calls++
	v := b.before
	if b.calls > 1 {
		v = b.after
	}
	return v.now, v.contacts[b.process]
}

// Current returns a belief of which the request needs the revision alone.
func (b *between) Current() *facts.Facts {
	_, p := b.look()
	return &facts.Facts{Revision: p.Revision}
}

// Age returns the belief's age.
func (b *between) Age() (time.Duration, bool) {
	now, p := b.look()
	return now - p.Confirmed, p.Known
}

// agedModel has requests come at each moment, and beliefs change while they are
// taken.
type agedModel struct{ model }

func (m agedModel) moves(s *fleet) []explor.Move[*fleet] {
	out := m.model.moves(s)
	for _, mv := range out {
		c := mv.Next
		for n := range c.views {
			for i := range c.processes {
				b := &between{before: c.views[n], after: c.views[min(n+1, len(c.views)-1)], process: i}
				if err := m.request(c.named, b); err != nil {
					c.broken = errors.Wrapf(err, "process %d", i)
				}
			}
		}
		c.views = nil
	}
	return out
}

// request takes the belief that a request is served by. It is the rule: no key is
// honoured that had been revoked for longer than the bound when the request was
// sent.
func (m agedModel) request(named []time.Duration, b *between) error {
	var f *facts.Facts
	var age facts.Age
	if m.dropped == dropOrder {
		f = b.Current()
		age.Most, age.Known = b.Age()
	} else {
		f, age = facts.Take(b)
	}
	if age.OlderThan(keyAge) || f.Revision == 0 {
		return nil
	}
	for n, revoked := range named {
		since := b.before.now - revoked
		if v := uint64(n + 1); v > f.Revision && since > keyAge {
			return errors.Newf("honours a key that revision %d revoked %s ago", v, since)
		}
	}
	return nil
}

func (m agedModel) run() explor.Result {
	m.spare, m.looks = keyAge+tick, true
	return explor.Explore(explor.Model[*fleet]{
		Initial: m.initial(), Moves: m.moves, Key: (*fleet).key, Max: 1 << 20,
		Check: func(s *fleet) error { return s.broken },
	})
}

var (
	agedFreezes = bounds{ticks: 5, freezes: 2}
	agedCuts    = bounds{ticks: 5, cuts: 2}
	agedDark    = bounds{ticks: 5, darks: 2}
	darkFreeze  = bounds{ticks: 5, darks: 1, freezes: 1}
	darkTrap    = bounds{ticks: 3, darks: 1, freezes: 1, traps: 1}
	agedBoth    = bounds{ticks: 5, freezes: 1, cuts: 1}
	agedStart   = bounds{ticks: 5, freezes: 1, restarts: 1}
	agedTrap    = bounds{ticks: 5, freezes: 1, traps: 1}
	agedStall   = bounds{ticks: 5, stalls: 1, restarts: 1}
	agedLoss    = bounds{ticks: 5, cuts: 1, losses: 1}
)

// Two keys are revoked while processes stand still, are cut off, start anew and are
// told by each other, late or by one that is itself out of touch. No process honours
// a key that was revoked longer ago than its belief may be old.
func TestNoOrderOfEventsHonoursARevokedKey(t *testing.T) {
	tests := []struct {
		name   string
		bounds bounds
	}{
		{"two standstills", agedFreezes},
		{"two cuts", agedCuts},
		{"two lose the store", agedDark},
		{"a standstill and a lost store", darkFreeze},
		{"an answer that is held up and a lost store", darkTrap},
		{"a standstill and a cut", agedBoth},
		{"a standstill and a start", agedStart},
		{"an answer that is held up", agedTrap},
		{"a call that is held up and a start", agedStall},
		{"a cut and a list", agedLoss},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := agedModel{model{bounds: tt.bounds}}.run()
			t.Log(got)
			if !got.Whole {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is left out once; the checker must find what it prevents.
func TestEachSafeguardOfAgesIsNeeded(t *testing.T) {
	tests := []struct {
		dropped dropped
		bounds  bounds
	}{
		{dropAsked, agedFreezes},
		{dropAge, agedDark},
		{dropOrder, agedCuts},
	}
	for _, tt := range tests {
		t.Run(string(tt.dropped), func(t *testing.T) {
			t.Parallel()
			got := agedModel{model{bounds: tt.bounds, dropped: tt.dropped}}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without it: %v", got)
			}
			t.Log(got)
		})
	}
}
