// Package audit checks recorded decision logs against the outcomes that the
// system promises. It reads what the processes wrote and takes nothing else
// on trust: each rule is a plain statement over records of one or several
// processes.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hawthornferry/core/process/trail"
)

// DefaultLeaving is how long after the first notice a leaving target may
// still get new work.
const DefaultLeaving = 5 * time.Second

// Settings are the bounds that the rules hold records against.
type Settings struct {
	// Leaving is how long a target that is leaving may still get new work.
	// It must exceed how far apart the processes' clocks are.
	Leaving time.Duration
}

// Outcome is a promised outcome.
type Outcome string

// The outcomes, each checked by a rule of its own.
const (
	OutcomeOnce     Outcome = "a call runs at most once"
	OutcomeNotRun   Outcome = "a call that is said not to have run did not run"
	OutcomeHistory  Outcome = "the outcomes of a call agree with one order of its attempts"
	OutcomeRevision Outcome = "a revision in force never goes back within a boot"
	OutcomeLeaving  Outcome = "a leaving target gets no new work after the bound"
	OutcomeWhole    Outcome = "a load is ordered only of weights that are verified whole"
	OutcomeServed   Outcome = "a target serves the version that was ordered"
	OutcomeStream   Outcome = "no stream goes on with another version"
)

// Miss is one record that breaks a promise.
type Miss struct {
	Record trail.Decision
	Detail string
}

// String names the process and the time, and tells what is wrong.
func (m Miss) String() string {
	return fmt.Sprintf("%s %s: %s", m.Record.Time.Format(time.RFC3339Nano), m.Record.Process, m.Detail)
}

// Result is how one outcome came out. Checked is how many cases the records
// held; with none of them the outcome is neither met nor missed.
type Result struct {
	Outcome Outcome
	Checked int
	Misses  []Miss
}

// miss adds a record that breaks the promise.
func (r *Result) miss(d trail.Decision, format string, args ...any) {
	r.Misses = append(r.Misses, Miss{Record: d, Detail: fmt.Sprintf(format, args...)})
}

// Check holds the records against every outcome. Records of one process must
// be in the order in which they were written.
func Check(set Settings, records []trail.Decision) []Result {
	set.Leaving = cmp.Or(set.Leaving, DefaultLeaving)
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b trail.Decision) int { return a.Time.Compare(b.Time) })
	return []Result{
		once(sorted),
		notRun(sorted),
		history(sorted),
		revisions(sorted),
		leaving(set, sorted),
		whole(sorted),
		served(sorted),
		streams(sorted),
	}
}

// Missed counts the missed promises of results.
func Missed(results []Result) int {
	n := 0
	for _, r := range results {
		n += len(r.Misses)
	}
	return n
}

// boot names one life of a process.
type boot struct {
	process string
	boot    string
}

func bootOf(d trail.Decision) boot { return boot{process: d.Process, boot: d.Boot} }
