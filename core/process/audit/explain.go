package audit

import (
	"slices"
	"time"

	"hawthornferry/core/process/trail"
)

// Line is one record of an explanation. Belief marks what a process believed
// when it decided, as opposed to a decision on the request itself.
type Line struct {
	Decision trail.Decision
	Belief   bool
}

// Explain returns what became of a request, in order: the decisions on it by
// all processes, and before them what each of those processes had last come to
// believe of the configuration, the store, the versions, and the targets that
// the request went to. What changed of these while the request was on its way
// comes in between.
func Explain(records []trail.Decision, request string) []Line {
	slices.SortStableFunc(records, func(a, b trail.Decision) int { return a.Time.Compare(b.Time) })
	var out []Line
	processes := map[string]bool{}
	targets := map[string]bool{}
	prints := map[string]bool{}
	var last trail.Decision
	for _, d := range records {
		if d.Request != request {
			continue
		}
		processes[d.Process] = true
		if d.Choice != "" {
			targets[d.Choice] = true
		}
		if d.Fingerprint != "" {
			prints[d.Fingerprint] = true
		}
		last = d
		out = append(out, Line{Decision: d})
	}
	if len(out) == 0 {
		return nil
	}
	began := beginOf(out)
	latest := map[string]trail.Decision{}
	for _, d := range records {
		if !processes[d.Process] || d.Request != "" || !isBelief(d, targets, prints) {
			continue
		}
		switch {
		case d.Time.Before(began):
			latest[d.Process+beliefKey(d)] = d
		case !d.Time.After(last.Time):
			out = append(out, Line{Decision: d, Belief: true})
		}
	}
	for _, d := range latest {
		out = append(out, Line{Decision: d, Belief: true})
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Decision.Time.Compare(b.Decision.Time) })
	return out
}

// beginOf is when a request came: a line is written at the end of what it tells,
// which may be seconds after its begin.
func beginOf(lines []Line) time.Time {
	began := lines[0].Decision.Time
	for _, l := range lines {
		at := l.Decision.Time.Add(-time.Duration(l.Decision.TookMS) * time.Millisecond)
		if at.Before(began) {
			began = at
		}
	}
	return began
}

// isBelief reports whether a record says what a process believes of anything
// that bears on a request to the targets with one of the fingerprints.
func isBelief(d trail.Decision, targets, prints map[string]bool) bool {
	switch d.Area {
	case trail.AreaConfig:
		return true
	case trail.AreaMember:
		// One without a subject is about the process itself: it stood still.
		return d.Subject == "" && d.Choice == "" || targets[d.Subject]
	case trail.AreaRouting:
		return d.Action == "versionDemanded" || prints[d.Fingerprint]
	default:
		return false
	}
}

// beliefKey names what a belief is about; a later one takes its place.
func beliefKey(d trail.Decision) string {
	switch d.Action {
	case "storeLost", "storeBack", "told":
		return "/store"
	}
	return "/" + string(d.Area) + "/" + d.Subject + d.Fingerprint
}
