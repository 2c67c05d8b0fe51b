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
		likeliest, explained := PartID(""), 0
		for other, n := range l.countOthers(now, failures, parts) {
			if n > explained || n == explained && other < likeliest {
				likeliest, explained = other, n
			}
		}
		if explained == 0 {
			return false
		}
		failures = slices.DeleteFunc(failures, func(f failure) bool { return l.mayHaveCaused(now, likeliest, f) })
		if len(failures) == 0 {
			return true
		}
	}
	return false
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
