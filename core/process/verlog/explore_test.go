//go:build !race

package verlog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/explor"
	"hawthornferry/core/process/facts"
)

// The model has two processes that read the store and one that gets the store's
// state from them. Time advances in ticks of the length of one watch;
// everything else happens instantly. Between ticks a process may be paused
// (messages to it are kept), partitioned (messages under way are lost),
// restarted, or find that the store no longer has the history after its
// revision.

// tick is the time step, and the wait of watches and long polls.
const tick = 500 * time.Millisecond

const (
	storeReaders = 2
	processes    = 3
	lastVersion  = 3
	// followTimeout is how long a silent peer is followed before another one is
	// tried.
	followTimeout = 2 * tick
	// settleTime is how long a process must be undisturbed, and a version
	// announced, for the rules to apply.
	settleTime = 4 * tick
)

// safeguard is a protection of the protocol that an exploration can disable.
type safeguard string

const (
	liveGapCheck         safeguard = "a watch counts as live only right after an answer"
	pauseDetection       safeguard = "a pause is detected"
	lowerBoundWhenLate   safeguard = "a version learned of late counts from the last confirmation"
	earliestExact        safeguard = "the earliest of several exact times is used"
	replacedVersionsSent safeguard = "replaced versions are sent to peers"
	promptReplyCheck     safeguard = "a reply's age counts from its arrival only if prompt"
	unreadAnswerGap      safeguard = "an answer that may have waited unread leaves a gap"
	confirmedWhenAsked   safeguard = "state is confirmed as of the question, not the answer"
	peerAgeAdded         safeguard = "the age of the peer's state is added"
)

// bounds limits an exploration: its length in ticks, and how often each kind of
// disturbance may occur.
type bounds struct {
	ticks         int
	pauses        int
	partitions    int
	restarts      int
	historyLosses int
	replyPauses   int
	storeOutages  int
	callPauses    int
}

type model struct {
	bounds   bounds
	disabled safeguard
	// quietEnd is how long before the end of an exploration the last version
	// may be announced. Later ones could not be checked, as the rules apply
	// only after settleTime.
	quietEnd time.Duration
	// recordsViews is set to check requests also between two states, in the
	// steps that take no time.
	recordsViews bool
}

func (m model) initial() *modelState {
	s := &modelState{now: time.Hour, announced: []time.Duration{0}}
	m.settle(s)
	return s
}

func (m model) nextMoves(s *modelState) []explor.Transition[*modelState] {
	var out []explor.Transition[*modelState]
	add := func(name string, change func(*modelState)) {
		c := s.clone()
		c.views = nil
		m.recordView(c)
		change(c)
		m.settle(c)
		out = append(out, explor.Transition[*modelState]{Name: name, Next: c})
	}
	end := time.Hour + time.Duration(m.bounds.ticks)*tick
	if s.now < end {
		add("a tick passes", advanceTick)
	}
	if s.storeVersion() < lastVersion && s.now+m.quietEnd <= end {
		add(fmt.Sprintf("version %d is announced", s.storeVersion()+1), func(c *modelState) { c.announced = append(c.announced, c.now) })
	}
	for i := range s.processes {
		m.disturbances(s, i, add)
	}
	return out
}

// advanceTick advances the time by a tick. Disturbances that last are counted
// as of the new time.
func advanceTick(s *modelState) {
	s.now += tick
	for i := range s.processes {
		p := &s.processes[i]
		if p.paused || p.partitioned || p.storeUnreachable {
			p.disturbed = s.now
		}
	}
}

func (m model) disturbances(s *modelState, i int, add func(string, func(*modelState))) {
	p := &s.processes[i]
	on := func(name string, change func(*modelState, *process)) {
		add(fmt.Sprintf("process %d %s", i, name), func(c *modelState) {
			q := &c.processes[i]
			q.disturbed = c.now
			change(c, q)
		})
	}
	if p.paused {
		on("resumes", func(c *modelState, p *process) { p.paused, p.resumed = false, c.now })
	} else if s.pauses < m.bounds.pauses {
		on("is paused", func(c *modelState, p *process) {
			c.pauses++
			p.paused = true
		})
		if !p.pausesAfterReply && s.replyPauses < m.bounds.replyPauses {
			on("is paused after its next reply", func(c *modelState, p *process) {
				c.replyPauses++
				p.pausesAfterReply = true
			})
		}
	}
	if !p.paused && !p.pausesAfterCall && s.callPauses < m.bounds.callPauses {
		on("is paused after its next call", func(c *modelState, p *process) {
			c.callPauses++
			p.pausesAfterCall = true
		})
	}
	switch {
	case p.partitioned:
		on("is reconnected", func(_ *modelState, p *process) { p.partitioned = false })
	case s.partitions < m.bounds.partitions:
		on("is partitioned", func(c *modelState, p *process) {
			c.partitions++
			p.partitioned, p.watch = true, nil
			c.dropMessages(i)
		})
	}
	switch {
	case p.storeUnreachable:
		on("reaches the store", func(_ *modelState, p *process) { p.storeUnreachable = false })
	case i < storeReaders && s.storeOutages < m.bounds.storeOutages:
		on("loses the store", func(c *modelState, p *process) {
			c.storeOutages++
			p.storeUnreachable, p.watch = true, nil
		})
	}
	if s.restarts < m.bounds.restarts {
		on("restarts", func(c *modelState, p *process) {
			c.restarts++
			c.dropMessages(i)
			*p = process{disturbed: c.now, partitioned: p.partitioned, storeUnreachable: p.storeUnreachable, pausesAfterCall: p.pausesAfterCall}
		})
	}
	if i < storeReaders && s.historyLosses < m.bounds.historyLosses && !p.historyLost {
		on("loses the store's history", func(c *modelState, p *process) {
			c.historyLosses++
			p.historyLost = true
		})
	}
}

// dropMessages removes all questions and replies under way from and to a
// process.
func (s *modelState) dropMessages(i int) {
	s.questions = slices.DeleteFunc(s.questions, func(q question) bool { return q.from == i || q.to == i })
}

// check is the rule. A process that has a state and was not disturbed for
// settleTime dates no version later than it was announced. Once the time limit
// on a version is over, it requires that version or a newer one.
func (m model) check(s *modelState) error {
	for i := range s.processes {
		p := &s.processes[i]
		if !p.Known || s.now-p.disturbed < settleTime {
			continue
		}
		for n, named := range s.announced[1:] {
			if s.now-named < settleTime {
				continue
			}
			v := uint64(n + 2)
			if err := m.checkVersion(p, v, named); err != nil {
				return errors.Wrapf(err, "process %d", i)
			}
		}
	}
	return nil
}

func (m model) checkVersion(p *process, version uint64, named time.Duration) error {
	var f facts.Facts
	for _, e := range p.entries {
		if e.Version == version && e.Since > named {
			return errors.Newf("dates the announcement of version %d %s too late", version, e.Since-named)
		}
		f.Versions = append(f.Versions, facts.ModelVersion{Model: e.Model, Version: e.Version, Since: time.Time{}.Add(e.Since)})
	}
	if due, _ := f.Due("m", time.Time{}.Add(named+1)); due.Version < version {
		return errors.Newf("requires version %d, want %d or newer after its time limit", due.Version, version)
	}
	return nil
}

func (m model) run() explor.Result {
	return explor.Explore(explor.Model[*modelState]{
		Initial: m.initial(), Transitions: m.nextMoves, Key: (*modelState).key, Check: m.check, MaxStates: 1 << 20,
	})
}

var (
	twoPauses           = bounds{ticks: 7, pauses: 2}
	threePauses         = bounds{ticks: 5, pauses: 3}
	twoPartitions       = bounds{ticks: 6, partitions: 2}
	partitionRestart    = bounds{ticks: 7, partitions: 1, restarts: 1}
	pausePartition      = bounds{ticks: 7, pauses: 1, partitions: 1}
	pauseRestart        = bounds{ticks: 7, pauses: 1, restarts: 1}
	replyPause          = bounds{ticks: 7, pauses: 1, replyPauses: 1}
	replyPauseTwoPauses = bounds{ticks: 5, pauses: 2, replyPauses: 1}
	callPauseRestarts   = bounds{ticks: 6, callPauses: 1, restarts: 2}
	callPausePause      = bounds{ticks: 6, callPauses: 1, pauses: 1}
	callPauseLosses     = bounds{ticks: 6, callPauses: 1, historyLosses: 2}
	pauseLosses         = bounds{ticks: 6, pauses: 1, historyLosses: 2}
	partitionLoss       = bounds{ticks: 6, partitions: 1, historyLosses: 1}
	oneOfEach           = bounds{ticks: 5, pauses: 1, partitions: 1, restarts: 1}
)

// Two versions are announced while processes are paused, partitioned,
// restarted, and learn of them from the store or from each other. A process
// that was undisturbed for a while knows the time of each announcement or an
// earlier one. With a later one, requests would start on weights that are too
// old.
func TestAnnouncementIsNotDelayedInAnyEventOrder(t *testing.T) {
	tests := []struct {
		name   string
		bounds bounds
	}{
		{"two pauses", twoPauses},
		{"three pauses", threePauses},
		{"two partitions", twoPartitions},
		{"a partition and a restart", partitionRestart},
		{"a pause and a partition", pausePartition},
		{"a pause and a restart", pauseRestart},
		{"a delayed reply", replyPause},
		{"a delayed reply and two pauses", replyPauseTwoPauses},
		{"a delayed call and two restarts", callPauseRestarts},
		{"a delayed call and a pause", callPausePause},
		{"a delayed call and lists", callPauseLosses},
		{"a pause and lists", pauseLosses},
		{"a partition and a list", partitionLoss},
		{"a pause, a partition and a restart", oneOfEach},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := model{bounds: tt.bounds, quietEnd: settleTime}.run()
			t.Log(got)
			if !got.Complete {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is disabled in turn; the exploration must then find a
// violation.
func TestEachSafeguardOfNamingsIsNeeded(t *testing.T) {
	tests := []struct {
		dropped safeguard
		bounds  bounds
	}{
		{liveGapCheck, pausePartition},
		{pauseDetection, twoPauses},
		{unreadAnswerGap, twoPauses},
		{lowerBoundWhenLate, threePauses},
		{earliestExact, replyPause},
		{replacedVersionsSent, pauseRestart},
		{promptReplyCheck, replyPause},
	}
	for _, tt := range tests {
		t.Run(string(tt.dropped), func(t *testing.T) {
			t.Parallel()
			got := model{bounds: tt.bounds, disabled: tt.dropped, quietEnd: settleTime}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without it: %v", got)
			}
			t.Log(got)
		})
	}
}
