package place

import (
	"time"

	"hawthornferry/core/process/facts"
)

// Report is what the process beside an engine reads from it. Active and
// Queued count the requests of all entries; Serving is the version of the
// model that it serves, 0 for none. Alive is false once the engine does not
// answer.
type Report struct {
	Alive   bool
	Active  int
	Queued  int
	Pace    float64
	Serving uint64
	Busy    bool
}

// Times of a target's health.
const (
	// firstPause and mostPause bound how long a target is left alone after a
	// failure; each further one in a row doubles it. A target that fails at
	// once always looks idle: without the pause every request would go to it.
	firstPause = 200 * time.Millisecond
	mostPause  = 3 * time.Second
	// turnedPause is the same after a target has refused to run a request: it
	// is full or is loading, which ends soon.
	turnedPause = 60 * time.Millisecond
	// reportAge is how old a report may be and still count. Reports come ten
	// and more times a second.
	reportAge = 700 * time.Millisecond
)

// target is what the entry knows of one target.
type target struct {
	facts.Target
	distance int

	// own counts this entry's requests at the target, unread the prompt
	// tokens of those that have not begun to be answered.
	own    int
	unread int

	// others is how many requests of other entries the last report showed.
	others     int
	othersWait int
	pace       float64
	reported   time.Time
	alive      bool
	busy       bool
	serving    uint64
	hasServing bool

	failures int
	pausedTo time.Time
	// spent is the usual time of a whole answer, for plain services.
	spent time.Duration
}

func (t *target) learn(_ time.Time, f facts.Target) { t.Target = f }

func (t *target) report(now time.Time, r Report) {
	t.reported = now
	t.alive = r.Alive
	t.busy = r.Busy
	t.pace = r.Pace
	t.serving, t.hasServing = r.Serving, true
	t.others = max(0, r.Active+r.Queued-t.own)
	t.othersWait = min(t.others, r.Queued)
}

func (t *target) fresh(now time.Time) bool {
	return !t.reported.IsZero() && now.Sub(t.reported) <= reportAge
}

// lost reports whether the process beside the target has told of it before and
// does not any more: it may be gone alone, or the machine may be cut off or its
// link choked, in which case what is sent there arrives late or never.
func (t *target) lost(now time.Time) bool {
	return !t.reported.IsZero() && !t.fresh(now)
}

// load is the number of requests at the target, as far as known.
func (t *target) load(now time.Time) int {
	if t.fresh(now) {
		return t.own + t.others
	}
	return t.own
}

func (t *target) answered(time.Time) {
	t.failures = 0
}

// ended takes the end of a request.
func (t *target) ended(now time.Time, result Result, spent time.Duration) {
	switch result {
	case ResultDone:
		t.failures = 0
		t.spent += (spent - t.spent) / 8
	case ResultTurned:
		t.pausedTo = later(t.pausedTo, now.Add(turnedPause))
	case ResultFailed, ResultUnreached:
		pause := min(firstPause<<min(t.failures, 8), mostPause)
		t.failures++
		t.pausedTo = later(t.pausedTo, now.Add(pause))
	case ResultLeft:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serves returns the version of the model that the target serves, 0 for none.
// The report of the process beside it is younger than the platform's list.
func (t *target) serves(now time.Time, model string) uint64 {
	if t.hasServing && now.Sub(t.reported) <= mostPause {
		return t.serving
	}
	return t.Serving[model]
}
