package resend

import (
	"slices"
	"testing"
)

// attempts is the type under test: AttemptTracker, or a variant without a safeguard.
type attempts interface {
	Sent()
	Ended(o Outcome) bool
	MayRefuse() bool
}

// attemptResult is what happened in one attempt: its outcome as the entry sees it,
// whether the request was sent, and whether it ran at the target.
type attemptResult struct {
	outcome Outcome
	sent    bool
	ran     bool
}

// attemptResults lists everything that can happen in an attempt, as far as the entry
// and the target can see it. After a broken connection or an answer to another request
// it is open whether the request ran.
var attemptResults = []attemptResult{
	{Unreached, false, false},
	{NotRun, true, false},
	{Broken, true, false},
	{Broken, true, true},
	{TargetFailure, true, true},
	{MismatchedReply, true, false},
	{MismatchedReply, true, true},
	{Relayed, true, true},
	{CallerGone, true, true},
	{CallerGone, true, false},
}

// maxAttempts bounds the length of a sequence. Unreached attempts end after
// maxUnreached.
const maxAttempts = 8

// explore tries every sequence of attempt results and returns the first that breaks a
// rule, or nil if none does.
func explore(newTries func() attempts, repeatable bool, maxTargets int) []attemptResult {
	var counterexample []attemptResult
	var extend func(prefix []attemptResult)
	extend = func(prefix []attemptResult) {
		if counterexample != nil || len(prefix) > maxAttempts {
			return
		}
		for _, f := range attemptResults {
			sequence := append(slices.Clone(prefix), f)
			t := newTries()
			more, runs, reached := true, 0, 0
			for _, m := range sequence {
				if m.sent {
					t.Sent()
					reached++
				}
				if m.ran {
					runs++
				}
				more = t.Ended(m.outcome)
			}
			switch {
			case !repeatable && runs > 1, reached > maxTargets, runs > 0 && t.MayRefuse():
				counterexample = sequence
				return
			}
			if more {
				extend(sequence)
			}
		}
	}
	extend(nil)
	return counterexample
}

// Guards against running a request twice that may run once, such as a payment, in every
// order in which targets reject it, break off, answer another request or cannot be
// reached. It also reaches no more targets than its route allows, and its caller is
// told that it has not run only if that is true.
func TestEveryOrderOfOutcomes(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		for most := 1; most <= 3; most++ {
			newTries := func() attempts { return &AttemptTracker{Repeatable: repeatable, MaxAttempts: most} }
			if bad := explore(newTries, repeatable, most); bad != nil {
				t.Errorf("repeatable %v, %d targets: broken by %v", repeatable, most, bad)
			}
		}
	}
}

// Variants of AttemptTracker, each without one safeguard.
type (
	alwaysRepeats     struct{ AttemptTracker }
	alwaysRefuses     struct{ AttemptTracker }
	forgetsEarlierRun struct{ AttemptTracker }
	trustsBroken      struct{ AttemptTracker }
	countsNoTargets   struct{ AttemptTracker }
)

func (v *alwaysRepeats) Ended(o Outcome) bool {
	v.Repeatable = true
	return v.AttemptTracker.Ended(o)
}

func (v *alwaysRefuses) MayRefuse() bool { return true }

// forgetsEarlierRun treats a rejection by the last target as one by all targets.
func (v *forgetsEarlierRun) Ended(o Outcome) bool {
	more := v.AttemptTracker.Ended(o)
	if o == NotRun {
		v.mayHaveRun = false
	}
	return more
}

// trustsBroken treats a broken connection as proof that the request did not run.
func (v *trustsBroken) Ended(o Outcome) bool {
	if o == Broken {
		o = NotRun
	}
	return v.AttemptTracker.Ended(o)
}

func (v *countsNoTargets) Sent() {
	v.AttemptTracker.Sent()
	v.reached = 0
}

// Guards against an exploration that finds nothing at all: it must find a broken rule
// for each safeguard that is left out.
func TestSafeguardsAreNeeded(t *testing.T) {
	once := AttemptTracker{MaxAttempts: 3}
	often := AttemptTracker{Repeatable: true, MaxAttempts: 2}
	tests := []struct {
		name       string
		newTries   func() attempts
		repeatable bool
		most       int
	}{
		{"a request that may run once is repeated", func() attempts { return &alwaysRepeats{once} }, false, 3},
		{"a refusal is always taken for true", func() attempts { return &alwaysRefuses{once} }, false, 3},
		{"an earlier run is forgotten", func() attempts { return &forgetsEarlierRun{often} }, true, 2},
		{"a broken connection is taken for a refusal", func() attempts { return &trustsBroken{once} }, false, 3},
		{"targets are not counted", func() attempts { return &countsNoTargets{often} }, true, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if bad := explore(tc.newTries, tc.repeatable, tc.most); bad == nil {
				t.Error("no counterexample")
			} else {
				t.Logf("counterexample of %d attempts: %v", len(bad), bad)
			}
		})
	}
}
