//go:build !race

package verlog

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/explor"
	"hawthornferry/core/process/facts"
)

// The model of explore_test.go with another rule: each change of the store
// revokes a key, and requests that use the key arrive at any time.

// maxKeyAge is the oldest that a process's state may be for it to accept a key.
const maxKeyAge = tick

const ageReadFirst safeguard = "the age is read before the state"

// changingSource is a facts.Source whose state changes after the first of its
// two calls.
type changingSource struct {
	before, after view
	process       int
	calls         int
}

func (b *changingSource) next() (time.Duration, Contact) {
	b.calls++
	v := b.before
	if b.calls > 1 {
		v = b.after
	}
	return v.now, v.contacts[b.process]
}

// Current returns facts with only the revision set; the check needs nothing
// else.
func (b *changingSource) Current() *facts.Facts {
	_, p := b.next()
	return &facts.Facts{Revision: p.Revision}
}

// Age returns how long ago the state was confirmed.
func (b *changingSource) Age() (time.Duration, bool) {
	now, p := b.next()
	return now - p.Confirmed, p.Known
}

// ageModel is a model in which a request arrives at every step, and the state
// may change while the request reads it.
type ageModel struct{ model }

func (m ageModel) nextMoves(s *modelState) []explor.Transition[*modelState] {
	out := m.model.nextMoves(s)
	for _, mv := range out {
		c := mv.Next
		for n := range c.views {
			for i := range c.processes {
				b := &changingSource{before: c.views[n], after: c.views[min(n+1, len(c.views)-1)], process: i}
				if err := m.checkRequest(c.announced, b); err != nil {
					c.violation = errors.Wrapf(err, "process %d", i)
				}
			}
		}
		c.views = nil
	}
	return out
}

// checkRequest reads the facts and their age for one request and checks the
// rule: no key is accepted that was revoked more than maxKeyAge before the
// request was sent.
func (m ageModel) checkRequest(named []time.Duration, b *changingSource) error {
	var f *facts.Facts
	var age facts.Age
	if m.disabled == ageReadFirst {
		f = b.Current()
		age.Max, age.Known = b.Age()
	} else {
		f, age = facts.Snapshot(b)
	}
	if age.OlderThan(maxKeyAge) || f.Revision == 0 {
		return nil
	}
	for n, revoked := range named {
		since := b.before.now - revoked
		if v := uint64(n + 1); v > f.Revision && since > maxKeyAge {
			return errors.Newf("accepts a key that revision %d revoked %s ago", v, since)
		}
	}
	return nil
}

func (m ageModel) run() explor.Result {
	m.quietEnd, m.recordsViews = maxKeyAge+tick, true
	return explor.Explore(explor.Model[*modelState]{
		Initial: m.initial(), Transitions: m.nextMoves, Key: (*modelState).key, MaxStates: 1 << 20,
		Check: func(s *modelState) error { return s.violation },
	})
}

var (
	ageTwoPauses        = bounds{ticks: 5, pauses: 2}
	ageTwoPartitions    = bounds{ticks: 5, partitions: 2}
	ageTwoOutages       = bounds{ticks: 5, storeOutages: 2}
	ageOutagePause      = bounds{ticks: 5, storeOutages: 1, pauses: 1}
	ageOutageReplyPause = bounds{ticks: 3, storeOutages: 1, pauses: 1, replyPauses: 1}
	agePausePartition   = bounds{ticks: 5, pauses: 1, partitions: 1}
	agePauseRestart     = bounds{ticks: 5, pauses: 1, restarts: 1}
	ageReplyPause       = bounds{ticks: 5, pauses: 1, replyPauses: 1}
	ageCallPause        = bounds{ticks: 5, callPauses: 1, restarts: 1}
	agePartitionLoss    = bounds{ticks: 5, partitions: 1, historyLosses: 1}
)

// Two keys are revoked while processes are paused, partitioned, restarted, and
// get the news from each other, late or from one that is itself disconnected.
// No process accepts a key that was revoked longer ago than maxKeyAge.
func TestRevokedKeyIsRejectedInEveryEventOrder(t *testing.T) {
	tests := []struct {
		name   string
		bounds bounds
	}{
		{"two pauses", ageTwoPauses},
		{"two partitions", ageTwoPartitions},
		{"two store outages", ageTwoOutages},
		{"a pause and a store outage", ageOutagePause},
		{"a delayed reply and a store outage", ageOutageReplyPause},
		{"a pause and a partition", agePausePartition},
		{"a pause and a restart", agePauseRestart},
		{"a delayed reply", ageReplyPause},
		{"a delayed call and a restart", ageCallPause},
		{"a partition and a list", agePartitionLoss},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got := ageModel{model{bounds: tt.bounds}}.run()
			t.Log(got)
			if !got.Complete {
				t.Errorf("exploration: %v", got)
			}
		})
	}
}

// Each safeguard is disabled in turn; the exploration must then find a
// violation.
func TestEachSafeguardOfAgesIsNeeded(t *testing.T) {
	tests := []struct {
		dropped safeguard
		bounds  bounds
	}{
		{confirmedWhenAsked, ageTwoPauses},
		{peerAgeAdded, ageTwoOutages},
		{ageReadFirst, ageTwoPartitions},
	}
	for _, tt := range tests {
		t.Run(string(tt.dropped), func(t *testing.T) {
			t.Parallel()
			got := ageModel{model{bounds: tt.bounds, disabled: tt.dropped}}.run()
			if got.Err == nil {
				t.Fatalf("no rule was broken without it: %v", got)
			}
			t.Log(got)
		})
	}
}
