package place

import (
	"slices"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/lease"
)

// LoadReport is what the side, the process beside an engine, reports of it. Active and
// Queued count the requests of all entries; ServedVersion is the version of the model
// that it serves, 0 for none. Alive is false once the engine does not answer. Slowness
// is how many times longer than declared the engine's steps take, and Loading is set
// while it loads a version or waits to.
type LoadReport struct {
	Alive         bool
	Active        int
	Queued        int
	Slowness      float64
	ServedVersion uint64
	Loading       bool
	// Listeners is how many entries listen to the same reports, and TotalEntries the
	// estimated number of all entries.
	Listeners    int
	TotalEntries int
	// StartedAt is when the engine started, zero if unknown.
	StartedAt time.Time
	// Cold is set if the engine has started so recently that it tolerates few requests.
	Cold bool
	// Rate is the limit that the engine names.
	Rate lease.RateReport
}

// Parameters of a target's health and load.
const (
	// firstPause and maxPause bound how long a target gets no requests after a failure;
	// each further one in a row doubles the pause. A target that fails at once always
	// looks idle, and without the pause every request would go to it. maxPause is also
	// the age up to which the served version in a report counts (servedVersion).
	firstPause = 200 * time.Millisecond
	maxPause   = 3 * time.Second
	// rejectionPause is the pause after a target has rejected a request. It is full or
	// is loading, which ends soon.
	rejectionPause = 60 * time.Millisecond
	// maxReportAge is how old a report may be and still count. Reports come ten and
	// more times a second.
	maxReportAge = 700 * time.Millisecond
	// reportLag is how old a request must be for a report to include it: the round trip
	// to a nearby target.
	reportLag = 10 * time.Millisecond
	// othersShare is how many requests each other entry is assumed to have sent to a
	// target since the last report, as a share of this entry's own. It is below 1 since
	// each entry prefers targets of its own zone.
	othersShare = 0.5
)

// target is the state of one target as this entry knows it.
type target struct {
	facts.Target
	distance int
	// region is empty if the target's zone is unknown.
	region string
	// inSubset is set while the target is listed and in the entry's subset.
	inSubset bool
	// extraRoundTrip is how much longer than baseRoundTrip its answers take on the
	// network.
	extraRoundTrip time.Duration

	// ownRequests counts this entry's requests at the target, unreadPrompt the prompt
	// tokens of those whose answers have not begun.
	ownRequests  int
	unreadPrompt int

	// otherRequests is how many requests of other entries the last report included,
	// otherQueued how many of those were queued. entries is how many entries share the
	// target.
	otherRequests int
	otherQueued   int
	entries       int
	// unreported holds this entry's requests that are too recent for the last report to
	// include.
	unreported       []sentRequest
	reportedSlowness float64
	reportedAt       time.Time
	alive            bool
	loading          bool
	reportedVersion  uint64
	versionReported  bool

	// cold says whether the target takes only a limited number of requests since it has just
	// started. permits are for such a target, or one that has named a limit.
	cold    coldState
	permits permitState
	// notice is what the target has said of itself.
	notice *noticeState

	failures    int
	pausedUntil time.Time
	lastFailure failureSnapshot
	// answerTime is a moving mean of the time of a whole answer, for plain services.
	answerTime time.Duration
}

// update sets what the platform lists of the target. warmup is how long targets of its
// service are cold.
func (t *target) update(now time.Time, f facts.Target, warmup time.Duration) {
	t.cold.extend(f.ColdUntil)
	if t.Evacuated && !f.Evacuated {
		// It may have turned cold since it was last listed.
		t.cold.extend(now.Add(warmup))
	}
	t.Target = f
}

// isLeaving reports whether the target is about to stop, by the list or by its own
// responses. The list may be late: the platform's store may be away.
func (t *target) isLeaving() bool { return t.Leaving || t.notice.leaving }

// sentRequest is a request that was sent to a target recently.
type sentRequest struct {
	at     time.Time
	prompt int
}

func (t *target) applyReport(now time.Time, r LoadReport, warmup time.Duration) {
	if !t.StartedAt.IsZero() && !r.StartedAt.IsZero() && !r.StartedAt.Equal(t.StartedAt) {
		if r.StartedAt.Before(t.StartedAt) {
			return
		}
		// Another engine runs at this address. The one in the list has ended, though
		// the list does not show it yet.
		r = LoadReport{Listeners: r.Listeners}
	}
	t.reportedAt = now
	t.cold.report(now, r.Cold, warmup)
	if t.notice.rate.applyReport(now, r.Rate) {
		t.permits.reset()
	}
	t.unreported = slices.DeleteFunc(t.unreported, func(s sentRequest) bool { return now.Sub(s.at) > reportLag+t.extraRoundTrip })
	t.entries = r.Listeners
	t.alive = r.Alive
	t.loading = r.Loading
	t.reportedSlowness = r.Slowness
	t.reportedVersion, t.versionReported = r.ServedVersion, true
	t.otherRequests = max(0, r.Active+r.Queued-(t.ownRequests-len(t.unreported)))
	t.otherQueued = min(t.otherRequests, r.Queued)
}

func (t *target) reportFresh(now time.Time) bool {
	return !t.reportedAt.IsZero() && now.Sub(t.reportedAt) <= maxReportAge
}

// reportsLost reports whether the target's side has sent reports before and has
// stopped. The side may have ended on its own, or the machine may be cut off or its
// link congested, in which case requests sent there arrive late or never.
func (t *target) reportsLost(now time.Time) bool {
	return !t.reportedAt.IsZero() && !t.reportFresh(now)
}

// load is the number of requests at the target, as far as known.
func (t *target) load(now time.Time) int {
	if !t.reportFresh(now) {
		return t.ownRequests
	}
	n, _ := t.unseen()
	return t.ownRequests + t.otherRequests + n
}

// slowness is how many times longer than declared the target's steps take.
func (t *target) slowness(now time.Time) float64 {
	if t.reportFresh(now) && t.reportedSlowness > 1 {
		return t.reportedSlowness
	}
	return 1
}

// unseen estimates the requests, and their prompt tokens, that other entries
// have sent since the last report. Entries see the same report and choose alike.
// Without this estimate each of them would fill a target that has just become free up
// to its slots, and its prompts would take seconds to read.
func (t *target) unseen() (requests, prompt int) {
	others := othersShare * float64(max(t.entries-1, 0))
	for _, s := range t.unreported {
		prompt += s.prompt
	}
	return int(others * float64(len(t.unreported))), int(others * float64(prompt))
}

func (t *target) resetFailures(time.Time) {
	t.failures = 0
}

// recordEnd updates the target's health with the result of a request.
func (t *target) recordEnd(now time.Time, result Result, answerTime time.Duration) {
	switch result {
	case ResultDone:
		t.failures = 0
		t.answerTime += (answerTime - t.answerTime) / 8
	case ResultRejected:
		t.pausedUntil = later(t.pausedUntil, now.Add(rejectionPause))
	case ResultFailed, ResultUnreached:
		t.snapshotFailure(now)
		pause := min(firstPause<<min(t.failures, 8), maxPause)
		t.failures++
		t.pausedUntil = later(t.pausedUntil, now.Add(pause))
	case ResultCallerGone:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// servedVersion returns the version of the model that the target serves, 0 for none. A
// report of its side is more recent than the platform's list.
func (t *target) servedVersion(now time.Time, model string) uint64 {
	if t.versionReported && now.Sub(t.reportedAt) <= maxPause {
		return t.reportedVersion
	}
	return t.Serving[model]
}
