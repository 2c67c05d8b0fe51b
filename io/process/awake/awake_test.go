package awake

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/trail"
)

// lines collects decisions.
type lines []trail.Decision

// Decide keeps d.
func (l *lines) Decide(d trail.Decision) { *l = append(*l, d) }

// A process is frozen for four seconds and takes up its work in the middle of
// an answer, before the watch has had its turn. What it concludes then from
// "this just came" is wrong, so it has to know at once, and operators have to
// find the standstill in the log.
func TestStandstillShowsBeforeTheNextLook(t *testing.T) {
	now := time.Hour
	log := &lines{}
	w := &Watch{Clock: clockwork.NewFakeClock(), Now: func() time.Duration { return now }, Log: log, Metrics: tally.NoopScope}
	asked := now
	for range 10 {
		w.look()
		now += 2 * beatEvery
	}
	if !w.RanSince(asked) {
		t.Error("a process that ran all the while is said to have stood still")
	}
	now += 4 * time.Second
	if w.RanSince(asked) {
		t.Error("a process that stood still is said to have run")
	}
	asked = now
	now += beatEvery
	if !w.RanSince(asked) {
		t.Error("the standstill counts for what began after it")
	}
	want := &lines{{Area: trail.AreaMember, Action: "stoodStill", TookMS: 4000}}
	if diff := cmp.Diff(want, log); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}
