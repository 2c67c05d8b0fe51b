package audit

import (
	"hawthornferry/core/process/trail"
)

// Actions and outcomes of calls, as entries and sides write them.
const (
	actionRun    = "run"
	actionSettle = "settle"
	actionAnswer = "answer"
	actionStream = "stream"

	outcomeDone    = "done"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"

	// reasonOtherRequest refuses a ticket or key that was used for another
	// request; what is said not to have run is this request, not the call.
	reasonOtherRequest = "otherRequest"
)

// runs are the begun runs, by call and by request. A run that its side
// settled as not run reached no target and is left out.
type runs struct {
	byCall    map[string][]trail.Decision
	byRequest map[string][]trail.Decision
}

func newRuns(records []trail.Decision) runs {
	type at struct {
		boot boot
		call string
	}
	never := map[at]bool{}
	for _, d := range records {
		if isCall(d, actionSettle) && d.Outcome == outcomeNotRun {
			never[at{bootOf(d), d.Subject}] = true
		}
	}
	out := runs{byCall: map[string][]trail.Decision{}, byRequest: map[string][]trail.Decision{}}
	for _, d := range records {
		if !isCall(d, actionRun) || never[at{bootOf(d), d.Subject}] {
			continue
		}
		out.byCall[d.Subject] = append(out.byCall[d.Subject], d)
		if d.Request != "" {
			out.byRequest[d.Request] = append(out.byRequest[d.Request], d)
		}
	}
	return out
}

func isCall(d trail.Decision, action string) bool {
	return d.Area == trail.AreaCall && d.Action == action
}

// once: the same call, or two calls of the same request, begin at a target
// once at most. A side logs a run before its target hears of it.
func once(records []trail.Decision) Result {
	r := Result{Outcome: OutcomeOnce}
	begun := newRuns(records)
	first := map[string]trail.Decision{}
	for _, d := range records {
		if !isCall(d, actionRun) {
			continue
		}
		if _, ok := first[d.Subject]; !ok {
			first[d.Subject] = d
			r.Checked++
		}
	}
	for _, d := range records {
		if !isCall(d, actionRun) {
			continue
		}
		if all := begun.byCall[d.Subject]; len(all) > 1 && sameRecord(all[1], d) {
			r.miss(d, "call %s began at %s and at %s", d.Subject, all[0].Process, d.Process)
			continue
		}
		if all := begun.byRequest[d.Request]; len(all) > 1 && sameRecord(all[1], d) && all[0].Subject != d.Subject {
			r.miss(d, "request %s began at %s and at %s", d.Request, all[0].Process, d.Process)
		}
	}
	return r
}

func sameRecord(a, b trail.Decision) bool {
	return a.Process == b.Process && a.Boot == b.Boot && a.Subject == b.Subject && a.Time.Equal(b.Time)
}

// notRun: neither the call nor the request that a caller was told had not
// run has a run, before or after.
func notRun(records []trail.Decision) Result {
	r := Result{Outcome: OutcomeNotRun}
	begun := newRuns(records)
	for _, d := range records {
		if !isCall(d, actionAnswer) || d.Outcome != outcomeNotRun {
			continue
		}
		r.Checked++
		all := begun.byRequest[d.Request]
		if d.Subject != "" && d.Reason != reasonOtherRequest {
			all = append(all[:len(all):len(all)], begun.byCall[d.Subject]...)
		}
		if len(all) > 0 {
			r.miss(d, "request %s was said not to have run; it began at %s", d.Request, all[0].Process)
		}
	}
	return r
}

// streams: once a part of a stream has left, what goes on is of the same
// version. Entries write a record when a target begins to answer a stream;
// its subject is the version, and its outcome is resumed when a part has left
// before.
func streams(records []trail.Decision) Result {
	r := Result{Outcome: OutcomeStream}
	version := map[string]string{}
	for _, d := range records {
		if !isCall(d, actionStream) {
			continue
		}
		r.Checked++
		if was := version[d.Request]; d.Outcome == "resumed" && was != d.Subject {
			r.miss(d, "request %s began on version %s and went on with %s", d.Request, was, d.Subject)
		}
		version[d.Request] = d.Subject
	}
	return r
}
