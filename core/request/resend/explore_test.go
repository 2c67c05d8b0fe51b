package resend

import (
	"slices"
	"testing"
)

// tries is what the exploration plays: Tries, or a variant without a safeguard.
type tries interface {
	Sent()
	After(o Outcome) bool
	MayRefuse() bool
}

// fate is what an attempt was for the target: whether the request ran there.
type fate struct {
	outcome Outcome
	sent    bool
	ran     bool
}

// fates are all that can happen to an attempt, as far as the entry and the target
// can see it. A connection that breaks, and an answer to another request, leave
// open whether the request ran.
var fates = []fate{
	{Unsent, false, false},
	{NotRun, true, false},
	{Broken, true, false},
	{Broken, true, true},
	{Failure, true, true},
	{LateReply, true, false},
	{LateReply, true, true},
	{Relayed, true, true},
	{Caller, true, true},
	{Caller, true, false},
}

// mostMoves bounds a play; Unsent attempts end after maxUnreached.
const mostMoves = 8

// explore plays every sequence of fates and returns the first that breaks a rule,
// nil when none does.
func explore(newTries func() tries, repeatable bool, most int) []fate {
	var bad []fate
	var play func(done []fate)
	play = func(done []fate) {
		if bad != nil || len(done) > mostMoves {
			return
		}
		for _, f := range fates {
			moves := append(slices.Clone(done), f)
			t := newTries()
			more, runs, reached := true, 0, 0
			for _, m := range moves {
				if m.sent {
					t.Sent()
					reached++
				}
				if m.ran {
					runs++
				}
				more = t.After(m.outcome)
			}
			switch {
			case !repeatable && runs > 1, reached > most, runs > 0 && t.MayRefuse():
				bad = moves
				return
			}
			if more {
				play(moves)
			}
		}
	}
	play(nil)
	return bad
}

// A payment is sent to targets that turn it away, break off, answer another
// request or cannot be reached, in every order. It runs once at the most, reaches
// no more targets than its route allows, and its caller is told that it has not run
// only when that is true.
func TestEveryOrderOfEnds(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		for most := 1; most <= 3; most++ {
			newTries := func() tries { return &Tries{Repeatable: repeatable, Most: most} }
			if bad := explore(newTries, repeatable, most); bad != nil {
				t.Errorf("repeatable %v, %d targets: broken by %v", repeatable, most, bad)
			}
		}
	}
}

// Variants of Tries, each without one safeguard.
type (
	repeatsAll   struct{ Tries }
	refusesAll   struct{ Tries }
	forgetsSent  struct{ Tries }
	trustsBroken struct{ Tries }
	countsNone   struct{ Tries }
)

func (v *repeatsAll) After(o Outcome) bool {
	v.Repeatable = true
	return v.Tries.After(o)
}

func (v *refusesAll) MayRefuse() bool { return true }

// forgetsSent takes a refusal of the last target for one of all.
func (v *forgetsSent) After(o Outcome) bool {
	more := v.Tries.After(o)
	if o == NotRun {
		v.ran = false
	}
	return more
}

// trustsBroken takes a connection that broke for one on which nothing ran.
func (v *trustsBroken) After(o Outcome) bool {
	if o == Broken {
		o = NotRun
	}
	return v.Tries.After(o)
}

func (v *countsNone) Sent() {
	v.Tries.Sent()
	v.reached = 0
}

// Each safeguard left out must show: a check that finds nothing without them
// would find nothing at all.
func TestSafeguardsAreNeeded(t *testing.T) {
	once := Tries{Most: 3}
	often := Tries{Repeatable: true, Most: 2}
	tests := []struct {
		name       string
		newTries   func() tries
		repeatable bool
		most       int
	}{
		{"a request that may run once is repeated", func() tries { return &repeatsAll{once} }, false, 3},
		{"a refusal is always taken for true", func() tries { return &refusesAll{once} }, false, 3},
		{"an earlier run is forgotten", func() tries { return &forgetsSent{often} }, true, 2},
		{"a broken connection is taken for a refusal", func() tries { return &trustsBroken{once} }, false, 3},
		{"targets are not counted", func() tries { return &countsNone{often} }, true, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if bad := explore(tc.newTries, tc.repeatable, tc.most); bad == nil {
				t.Error("no counterexample")
			} else {
				t.Logf("counterexample of %d moves: %v", len(bad), bad)
			}
		})
	}
}
