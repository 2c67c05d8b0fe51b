package audit

import (
	"hawthornferry/core/process/trail"
)

// Actions and outcomes in the call records that entries and sides write.
const (
	actionRun    = "run"
	actionSettle = "settle"
	actionAnswer = "answer"
	actionStream = "stream"

	outcomeDone    = "done"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"

	// reasonOtherRequest is the reason for refusing a request whose ticket or key
	// was already used for another request. The outcome notRun then applies to
	// this request only, not to the call.
	reasonOtherRequest = "otherRequest"
)

// runIndex holds the records of started runs, by call and by request. Runs that
// their side later settled as notRun reached no target and are omitted.
type runIndex struct {
	byCall    map[string][]trail.Decision
	byRequest map[string][]trail.Decision
}

func indexRuns(records []trail.Decision) runIndex {
	type runKey struct {
		boot boot
		call string
	}
	notRun := map[runKey]bool{}
	for _, d := range records {
		if isCall(d, actionSettle) && d.Outcome == outcomeNotRun {
			notRun[runKey{bootOf(d), d.Subject}] = true
		}
	}
	index := runIndex{byCall: map[string][]trail.Decision{}, byRequest: map[string][]trail.Decision{}}
	for _, d := range records {
		if !isCall(d, actionRun) || notRun[runKey{bootOf(d), d.Subject}] {
			continue
		}
		index.byCall[d.Subject] = append(index.byCall[d.Subject], d)
		if d.Request != "" {
			index.byRequest[d.Request] = append(index.byRequest[d.Request], d)
		}
	}
	return index
}

func isCall(d trail.Decision, action string) bool {
	return d.Area == trail.AreaCall && d.Action == action
}

// checkAtMostOnce checks that the same call, or two calls of the same request,
// start at a target at most once. A side records a run before it sends the call to
// its target.
func checkAtMostOnce(records []trail.Decision) Result {
	r := Result{Guarantee: GuaranteeAtMostOnce}
	index := indexRuns(records)
	first := map[string]trail.Decision{}
	for _, d := range records {
		if !isCall(d, actionRun) {
			continue
		}
		if _, ok := first[d.Subject]; !ok {
			first[d.Subject] = d
			r.Cases++
		}
	}
	for _, d := range records {
		if !isCall(d, actionRun) {
			continue
		}
		if all := index.byCall[d.Subject]; len(all) > 1 && sameRecord(all[1], d) {
			r.addViolation(d, "call %s began at %s and at %s", d.Subject, all[0].Process, d.Process)
			continue
		}
		if all := index.byRequest[d.Request]; len(all) > 1 && sameRecord(all[1], d) && all[0].Subject != d.Subject {
			r.addViolation(d, "request %s began at %s and at %s", d.Request, all[0].Process, d.Process)
		}
	}
	return r
}

func sameRecord(a, b trail.Decision) bool {
	return a.Process == b.Process && a.Boot == b.Boot && a.Subject == b.Subject && a.Time.Equal(b.Time)
}

// checkNotRun checks that if a caller was told that its request did not run, there
// is no run of that request or its call, neither before nor after the answer.
func checkNotRun(records []trail.Decision) Result {
	r := Result{Guarantee: GuaranteeNotRun}
	index := indexRuns(records)
	for _, d := range records {
		if !isCall(d, actionAnswer) || d.Outcome != outcomeNotRun {
			continue
		}
		r.Cases++
		all := index.byRequest[d.Request]
		if d.Subject != "" && d.Reason != reasonOtherRequest {
			all = append(all[:len(all):len(all)], index.byCall[d.Subject]...)
		}
		if len(all) > 0 {
			r.addViolation(d, "request %s was said not to have run; it began at %s", d.Request, all[0].Process)
		}
	}
	return r
}

// checkStreams checks that a stream of which a part was already sent resumes on
// the same version. Entries write a record when a target begins to answer a
// stream; its subject is the version, and its outcome is "resumed" if a part was
// sent before.
func checkStreams(records []trail.Decision) Result {
	r := Result{Guarantee: GuaranteeStreamVersion}
	versions := map[string]string{}
	for _, d := range records {
		if !isCall(d, actionStream) {
			continue
		}
		r.Cases++
		if previous := versions[d.Request]; d.Outcome == "resumed" && previous != d.Subject {
			r.addViolation(d, "request %s began on version %s and went on with %s", d.Request, previous, d.Subject)
		}
		versions[d.Request] = d.Subject
	}
	return r
}
