package place

import (
	"slices"
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
	// Entries is how many entries hear the same reports, and Fleet how many there
	// are in all, as far as known.
	Entries int
	Fleet   int
	// Born is when the engine started, zero when it does not tell.
	Born time.Time
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
	// onTheWay is how old a request must be for a report to show it: the way
	// to a near target and back.
	onTheWay = 10 * time.Millisecond
	// alikeShare is the part of its own requests that an entry takes each other
	// entry to have sent to the same target meanwhile: less than all, since
	// each prefers targets of its own zone.
	alikeShare = 0.5
)

// target is what the entry knows of one target.
type target struct {
	facts.Target
	distance int
	// kept is set while the target is listed and the entry keeps to it.
	kept bool
	// way is how much longer than hop its answers are on their way.
	way time.Duration

	// own counts this entry's requests at the target, unread the prompt
	// tokens of those that have not begun to be answered.
	own    int
	unread int

	// others is how many requests of other entries the last report showed,
	// othersWait those of them that waited. entries is how many entries share
	// the target.
	others     int
	othersWait int
	entries    int
	// sent are this entry's requests that the last report cannot show yet.
	sent       []sending
	pace       float64
	reported   time.Time
	alive      bool
	busy       bool
	serving    uint64
	hasServing bool

	failures int
	pausedTo time.Time
	// last is the last failure.
	last failure
	// spent is the usual time of a whole answer, for plain services.
	spent time.Duration
}

func (t *target) learn(_ time.Time, f facts.Target) { t.Target = f }

// sending is a request that was sent to a target lately.
type sending struct {
	at     time.Time
	prompt int
}

func (t *target) report(now time.Time, r Report) {
	if !t.Born.IsZero() && !r.Born.IsZero() && !r.Born.Equal(t.Born) {
		if r.Born.Before(t.Born) {
			return
		}
		// Another engine runs at this address: this one has ended, though the
		// list does not tell yet.
		r = Report{Entries: r.Entries}
	}
	t.reported = now
	t.sent = slices.DeleteFunc(t.sent, func(s sending) bool { return now.Sub(s.at) > onTheWay+t.way })
	t.entries = r.Entries
	t.alive = r.Alive
	t.busy = r.Busy
	t.pace = r.Pace
	t.serving, t.hasServing = r.Serving, true
	t.others = max(0, r.Active+r.Queued-(t.own-len(t.sent)))
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
	if !t.fresh(now) {
		return t.own
	}
	n, _ := t.unseen()
	return t.own + t.others + n
}

// slowness is how many times longer than declared the target's steps take.
func (t *target) slowness(now time.Time) float64 {
	if t.fresh(now) && t.pace > 1 {
		return t.pace
	}
	return 1
}

// unseen estimates the requests, and their prompt tokens, that other entries
// have sent since the last report. Entries see the same report and choose
// alike: without this all of them fill the target that has just become free,
// each up to its slots, and the prompts take seconds to read.
func (t *target) unseen() (requests, prompt int) {
	others := alikeShare * float64(max(t.entries-1, 0))
	for _, s := range t.sent {
		prompt += s.prompt
	}
	return int(others * float64(len(t.sent))), int(others * float64(prompt))
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
		t.noteFailure(now)
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
