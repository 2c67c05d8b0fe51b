package audit

import (
	"slices"

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
	var last trail.Decision
	for _, d := range records {
		if d.Request != request {
			continue
		}
		processes[d.Process] = true
		targets[d.Choice] = true
		last = d
		out = append(out, Line{Decision: d})
	}
	if len(out) == 0 {
		return nil
	}
	first := out[0].Decision
	latest := map[string]trail.Decision{}
	for _, d := range records {
		if !processes[d.Process] || d.Request != "" || !isBelief(d, targets) {
			continue
		}
		switch {
		case d.Time.Before(first.Time):
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

// isBelief reports whether a record says what a process believes of anything
// that bears on a request to the targets.
func isBelief(d trail.Decision, targets map[string]bool) bool {
	switch d.Area {
	case trail.AreaConfig:
		return true
	case trail.AreaMember:
		return targets[d.Subject]
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
	return "/" + string(d.Area) + "/" + d.Subject
}
