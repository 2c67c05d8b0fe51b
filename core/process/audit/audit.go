// Package audit checks recorded decision logs against the guarantees that the
// system gives, and collects the records that explain a request. The commands
// replay and explain use it. Its only input are the records that the processes
// wrote; each guarantee is checked on the records of one or several processes.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hawthornferry/core/process/trail"
)

// DefaultLeavingGrace is the default of Settings.LeavingGrace.
const DefaultLeavingGrace = 5 * time.Second

// Settings are the limits used by the checks.
type Settings struct {
	// LeavingGrace is how long a target may still get new work after the first
	// process recorded that it is leaving. It must exceed the difference between
	// the processes' clocks, since their records are compared by time. 0 means
	// DefaultLeavingGrace.
	LeavingGrace time.Duration
}

// Guarantee is a property that every set of decision logs must have. Its value is
// the description that replay prints.
type Guarantee string

// The guarantees, each checked by a function of its own.
const (
	GuaranteeAtMostOnce         Guarantee = "a call runs at most once"
	GuaranteeNotRun             Guarantee = "a call that is said not to have run did not run"
	GuaranteeConsistentOutcomes Guarantee = "the outcomes of a call agree with one order of its attempts"
	GuaranteeRevisionOrder      Guarantee = "a revision in force never goes back within a boot"
	GuaranteeLeaving            Guarantee = "a leaving target gets no new work after the bound"
	GuaranteeVerifiedLoad       Guarantee = "a load is ordered only of weights that are verified whole"
	GuaranteeServedVersion      Guarantee = "a target serves the version that was ordered"
	GuaranteeStreamVersion      Guarantee = "no stream goes on with another version"
)

// Violation is a record that violates a guarantee.
type Violation struct {
	Record trail.Decision
	Detail string
}

// String returns the time and process of the record and what is wrong with it.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.Record.Time.Format(time.RFC3339Nano), v.Record.Process, v.Detail)
}

// Result is the result of checking one guarantee. Cases is the number of cases
// found in the records; if it is 0, the check says nothing.
type Result struct {
	Guarantee  Guarantee
	Cases      int
	Violations []Violation
}

// addViolation adds d with a formatted detail.
func (r *Result) addViolation(d trail.Decision, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Record: d, Detail: fmt.Sprintf(format, args...)})
}

// Check checks the records against every guarantee. Records of one process must
// be in the order in which they were written.
func Check(set Settings, records []trail.Decision) []Result {
	set.LeavingGrace = cmp.Or(set.LeavingGrace, DefaultLeavingGrace)
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b trail.Decision) int { return a.Time.Compare(b.Time) })
	return []Result{
		checkAtMostOnce(sorted),
		checkNotRun(sorted),
		checkConsistentOutcomes(sorted),
		checkRevisions(sorted),
		checkLeaving(set, sorted),
		checkVerifiedLoads(sorted),
		checkServedVersions(sorted),
		checkStreams(sorted),
	}
}

// CountViolations returns the number of violations in results.
func CountViolations(results []Result) int {
	n := 0
	for _, r := range results {
		n += len(r.Violations)
	}
	return n
}

// boot identifies one run of a process, from its start to its end.
type boot struct {
	process string
	boot    string
}

func bootOf(d trail.Decision) boot { return boot{process: d.Process, boot: d.Boot} }
