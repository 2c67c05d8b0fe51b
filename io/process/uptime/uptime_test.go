package uptime

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/trail"
)

// decisions records the decisions that are logged.
type decisions []trail.Decision

// Record records d.
func (l *decisions) Record(d trail.Decision) { *l = append(*l, d) }

// A process is frozen for four seconds and resumes in the middle of an answer, before the
// detector's next check. It must know of the stall at once, since it would otherwise take old
// data for data that has just arrived, and operators must find the stall in the log.
func TestStallIsDetectedBeforeTheNextCheck(t *testing.T) {
	now := time.Hour
	log := &decisions{}
	d := &StallDetector{Clock: clockwork.NewFakeClock(), Now: func() time.Duration { return now }, Log: log, Metrics: tally.NoopScope}
	since := now
	for range 10 {
		d.check()
		now += 2 * checkInterval
	}
	if !d.RanSince(since) {
		t.Error("reports a stall of a process that ran all the time")
	}
	now += 4 * time.Second
	if d.RanSince(since) {
		t.Error("reports no stall of a process that stalled")
	}
	since = now
	now += checkInterval
	if !d.RanSince(since) {
		t.Error("reports a stall for a time after its end")
	}
	want := &decisions{{Area: trail.AreaMember, Action: "stoodStill", TookMS: 4000}}
	if diff := cmp.Diff(want, log); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}
