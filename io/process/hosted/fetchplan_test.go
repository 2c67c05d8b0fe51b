package hosted

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/plan"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/loads"
	"hawthornferry/io/version/adapt"
	"hawthornferry/io/version/swarm"
)

// decisions records the decisions that are logged.
type decisions []trail.Decision

// Record records d.
func (l *decisions) Record(d trail.Decision) { *l = append(*l, d) }

// Guards against a plan that applies where the operator declares no link, against limits of
// another version, and against a line in the log for each time that a side plans.
func TestPlanFetches(t *testing.T) {
	const bound = 10 * time.Second
	clock := clockwork.NewFakeClock()
	log := &decisions{}
	s := &Side{
		Settings:      Settings{Bounds: Bounds{OldVersionPeriod: bound}},
		process:       &process{clock: clock, log: log, metrics: tally.NoopScope},
		node:          &swarm.Node{Self: &link.Self{VM: fleet.VM{Name: "side"}}, Clock: clock},
		loadPublisher: &loads.Publisher{},
	}
	version := func(number uint64) *adapt.KnownVersion {
		return &adapt.KnownVersion{Model: "m", Version: number, Digest: chunk.DigestOf([]byte{byte(number)}), Manifest: chunk.Manifest{Size: 4000}}
	}
	known := []*adapt.KnownVersion{version(3), version(2)}
	f := &facts.Facts{Versions: []facts.ModelVersion{
		{Model: "m", Version: 2, Since: clock.Now()}, {Model: "m", Version: 3, Since: clock.Now().Add(2 * time.Second)},
	}}
	clock.Advance(2 * time.Second)
	if _, planned := s.planFetches(f, known); planned {
		t.Error("fetches are planned without a declared link")
	}
	f.Origin.LinkRate = 1000
	for range 3 {
		s.planFetches(f, known)
		clock.Advance(100 * time.Millisecond)
	}
	clock.Advance(5 * time.Second)
	got, _ := s.planFetches(f, known)
	want := plan.Plan{Newest: 3, Older: 2, Order: plan.OrderNewestOnly, Reason: plan.ReasonOlderTooLate, NewestIn: 4 * time.Second, WithoutService: 4300 * time.Millisecond}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(plan.Plan{}, "NewestMissing")); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
	line := func(reason, olderPriority string, withoutServiceMS int64) trail.Decision {
		return trail.Decision{
			Area: trail.AreaTransfer, Action: "plan", Subject: "m", Choice: "3", Outcome: "newestOnly", Reason: reason,
			Fetches: &trail.FetchPlan{WithoutServiceMS: withoutServiceMS, Versions: []trail.PlannedVersion{
				{Version: 3, Priority: "first", MissingBytes: 4000, ExpectedMS: 4000}, {Version: 2, Priority: olderPriority, MissingBytes: 4000},
			}},
		}
	}
	if diff := cmp.Diff(decisions{line("newestInTime", "paused", 0), line("olderTooLate", "kept", 4300)}, *log); diff != "" {
		t.Errorf("log lines (-want +got):\n%s", diff)
	}
}
