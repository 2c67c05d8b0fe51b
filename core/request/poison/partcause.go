package poison

import (
	"slices"
	"time"
)

// maxOtherCauses is how many other parts together may be the cause of a part's failures.
// With more, any failures can be explained, as each crash breaks off requests with many
// parts.
const maxOtherCauses = 2

// othersMayBeCause reports whether all failures of a part may be due to a few other parts that
// the request, which has the given parts, lacks. Such a request is let through: it shows which
// of them is the cause.
func (l *PartLedger) othersMayBeCause(now time.Time, r *record, parts []PartID) bool {
	failures := r.unexplainedFailures()
	for range maxOtherCauses {
		other, ok := mostFrequent(l.countOthers(now, failures, parts))
		if !ok {
			return false
		}
		failures = slices.DeleteFunc(failures, func(f failure) bool { return l.mayHaveCaused(now, other, f) })
		if len(failures) == 0 {
			return true
		}
	}
	return false
}

// mostFrequent returns the part with the highest count, the first one by ID if several have it.
func mostFrequent(counts map[PartID]int) (part PartID, ok bool) {
	most := 0
	for p, n := range counts {
		if n > most || n == most && p < part {
			part, most = p, n
		}
	}
	return part, most > 0
}

// countOthers returns how many of the failures each part may have caused that is not among the
// given ones.
func (l *PartLedger) countOthers(now time.Time, failures []failure, parts []PartID) map[PartID]int {
	n := map[PartID]int{}
	for _, f := range failures {
		for _, other := range l.FailedAt(now, f.start) {
			if !slices.Contains(parts, other) && l.mayHaveCaused(now, other, f) {
				n[other]++
			}
		}
	}
	return n
}

// mayHaveCaused reports whether a part may be the cause of a failure of another part: it failed in
// the same crash, and no request with it has ever completed, or it is likely to crash targets.
func (l *PartLedger) mayHaveCaused(now time.Time, other PartID, f failure) bool {
	r := l.record(now, other)
	if r == nil || r.hasSucceeded() && !r.mayCrashTargets() {
		return false
	}
	g, ok := r.failures[f.start]
	return ok && g.unexplained(r.lastSuccess) && f.at.Sub(g.at).Abs() <= sameFailureWindow
}

// mayCrashTargets reports whether the attempts with a part have broken off so often that it
// may be the cause.
func (r *record) mayCrashTargets() bool {
	moments := r.crashMoments()
	if r.hasSucceeded() {
		return moments >= maxSoundCrashMoments
	}
	n, _ := r.suspectedCrashes()
	return n >= blockThreshold || moments >= maxCrashMoments
}

// hasSucceeded reports whether a request with the subject has ever completed.
func (r *record) hasSucceeded() bool { return !r.lastSuccess.IsZero() }

// crashMoments returns at how many distinct moments attempts have broken off.
func (r *record) crashMoments() int {
	n := 0
	var since time.Time
	for _, f := range r.unexplainedFailures() {
		if n == 0 || f.at.Sub(since) > momentDuration {
			n++
			since = f.at
		}
	}
	return n
}
