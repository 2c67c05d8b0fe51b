package audit

import (
	"maps"
	"slices"
	"time"

	"hawthornferry/core/process/trail"
)

// Line is one record of an explanation. Background is set for a record of what a
// process knew when it decided, as opposed to a decision on the request itself.
type Line struct {
	Decision   trail.Decision
	Background bool
}

// Explain returns the records that explain the outcome of a request, sorted by
// time: the decisions on it by all processes, and what each of these processes
// knew of the configuration, the store, the versions and the targets that the
// request went to. Of the latter, the last record on each matter from before the
// request is included, and every change while the request was in progress. The
// admission level is included for a request that it has refused. It sorts records
// in place.
func Explain(records []trail.Decision, request string) []Line {
	slices.SortStableFunc(records, func(a, b trail.Decision) int { return a.Time.Compare(b.Time) })
	var out []Line
	processes := map[string]bool{}
	targets := map[string]bool{}
	fingerprints := map[string]bool{}
	levels := map[string]bool{}
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
			fingerprints[d.Fingerprint] = true
		}
		if d.Level != nil {
			levels[d.Service] = true
		}
		last = d
		out = append(out, Line{Decision: d})
	}
	if len(out) == 0 {
		return nil
	}
	start := requestStart(out)
	// latest holds the indexes of the records, so that those of the same time keep their order.
	latest := map[string]int{}
	for i, d := range records {
		if !processes[d.Process] || d.Request != "" || !isRelevantState(d, targets, fingerprints, levels) {
			continue
		}
		switch {
		case d.Time.Before(start):
			latest[d.Process+stateKey(d)] = i
		case !d.Time.After(last.Time):
			out = append(out, Line{Decision: d, Background: true})
		}
	}
	for _, i := range slices.Sorted(maps.Values(latest)) {
		out = append(out, Line{Decision: records[i], Background: true})
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Decision.Time.Compare(b.Decision.Time) })
	return out
}

// requestStart returns when a request arrived. A record is written at the end of
// what it describes, which may be seconds after its beginning, so the duration of
// the record is subtracted from its time.
func requestStart(lines []Line) time.Time {
	start := lines[0].Decision.Time
	for _, l := range lines {
		at := l.Decision.Time.Add(-time.Duration(l.Decision.TookMS) * time.Millisecond)
		if at.Before(start) {
			start = at
		}
	}
	return start
}

// isRelevantState reports whether a record says what a process knows of anything
// that affects a request that was sent to targets, has one of fingerprints and was
// refused by the admission levels of services.
func isRelevantState(d trail.Decision, targets, fingerprints, levels map[string]bool) bool {
	switch d.Area {
	case trail.AreaConfig:
		return true
	case trail.AreaMember:
		// A record without subject and choice is about the process itself, which
		// was paused.
		return d.Subject == "" && d.Choice == "" || targets[d.Subject]
	case trail.AreaRouting:
		return d.Action == "versionDemanded" || fingerprints[d.Fingerprint]
	case trail.AreaAdmission:
		return d.Action == trail.ActionLevelChanged && levels[d.Service]
	default:
		return false
	}
}

// stateKey identifies what a state record is about. A later record with the same
// key replaces it.
func stateKey(d trail.Decision) string {
	switch d.Action {
	case "storeLost", "storeBack", "told":
		return "/store"
	case trail.ActionReadCutOff:
		// What a target has sent does not replace whether it is listed.
		return "/" + d.Action + "/" + d.Subject
	}
	return "/" + string(d.Area) + "/" + d.Subject + d.Fingerprint
}
