package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/lease"
	"hawthornferry/core/request/table"
)

// coldFacts returns facts with two targets, of which "cold" has just started, and a placer
// that records the permits it asks for.
func coldFacts(engine *table.Engine, rate float64) (f *facts.Facts, p *Placer, asked map[string]int) {
	f = testFacts(engine, 8, "warm", "cold")
	f.Table.Services[0].Warmup = table.Warmup{Duration: 3 * time.Second, MaxRate: rate}
	f.Targets[1].ColdUntil = start.Add(3 * time.Second)
	asked = map[string]int{}
	p = testPlacer(testFacts(engine, 8))
	p.ColdRate = lease.Bound{Overshoot: 1.5, Slack: 5}
	p.RequestLease = func(target string, want int, _ lease.RateLimit) { asked[target] += want }
	p.Update(start, f)
	return f, p, asked
}

// offerMany offers n requests and returns how many were placed at each target.
func offerMany(p *Placer, now time.Time, n int) map[string]int {
	placed := map[string]int{}
	for i := range n {
		w := testRequest(fmt.Sprintf("%d at %s", i, now))
		w.PromptTokens, w.FirstRequestedAt, w.Deadline = 10, now, now.Add(time.Minute)
		for _, v := range p.Offer(now, w) {
			if v.Decision == Placed {
				placed[v.Target.ID]++
			}
		}
	}
	return placed
}

// Guards against a cold engine that gets requests without permits, and against one that
// gets none although its side has granted permits.
func TestColdEngineGetsRequestsByPermitOnly(t *testing.T) {
	_, p, asked := coldFacts(usualEngine, 32)
	if diff := cmp.Diff(map[string]int{"warm": 8}, offerMany(p, start, 12)); diff != "" {
		t.Fatalf("placed without permits (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"cold": 1}, asked); diff != "" {
		t.Errorf("permits asked for (-want +got):\n%s", diff)
	}
	var got []string
	var sendBy []time.Duration
	for _, v := range p.AddPermits(start, "cold", lease.Grant{N: 2, Expires: start.Add(lease.Lifetime)}) {
		got = append(got, v.Target.ID)
		sendBy = append(sendBy, v.SendBy.Sub(start))
	}
	if diff := cmp.Diff([]string{"cold", "cold"}, got); diff != "" {
		t.Errorf("placed by two permits (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]time.Duration{lease.Lifetime, lease.Lifetime}, sendBy); diff != "" {
		t.Errorf("to be sent within (-want +got):\n%s", diff)
	}
	p.Tick(start.Add(leaseInterval))
	if asked["cold"] < 2 {
		t.Errorf("%d permits asked for after %s, want more than the first", asked["cold"], leaseInterval)
	}
}

// Guards against permits that outlive the cold time or their own, and against a limit on
// services that declare none.
func TestColdLimitEnds(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		at   time.Duration
		want bool
	}{
		{"cold", 32, time.Second, false},
		{"warm again", 32, 3 * time.Second, true},
		{"no limit declared", 0, time.Second, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, p, _ := coldFacts(usualEngine, tc.rate)
			p.AddPermits(start, "cold", lease.Grant{N: 1, Expires: start.Add(lease.Lifetime)})
			if got := offerMany(p, start.Add(tc.at), 16)["cold"] > 0; got != tc.want {
				t.Errorf("placed at the target: %t, want %t", got, tc.want)
			}
		})
	}
}

// Guards against the usual load on a target that the entry does not know to be cold: one
// whose side says so, and one whose zone was evacuated until now.
func TestTargetIsTakenForCold(t *testing.T) {
	tests := []struct {
		name string
		turn func(p *Placer, f *facts.Facts)
	}{
		{"its side reports it", func(p *Placer, _ *facts.Facts) {
			p.Report(start, "warm", LoadReport{Alive: true, ServedVersion: 1, Cold: true})
		}},
		{"its zone was evacuated", func(p *Placer, f *facts.Facts) {
			f.Targets[0].Evacuated = true
			p.Update(start, f)
			f.Targets[0].Evacuated = false
			p.Update(start, f)
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f, p, _ := coldFacts(usualEngine, 32)
			tc.turn(p, f)
			if diff := cmp.Diff(map[string]int{}, offerMany(p, start.Add(time.Second), 4)); diff != "" {
				t.Errorf("placed (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a process that gives a cold plain target its share again, in the second in
// which the process before has done so.
func TestColdPlainTargetGetsOneShareWhenTheEntryRestarts(t *testing.T) {
	const downtime = 300 * time.Millisecond
	restarted := start.Add(downtime)
	sum := 0
	for _, startedAt := range []time.Time{start.Add(-time.Hour), restarted} {
		f, p, _ := coldFacts(nil, 32)
		p.Name, p.entries, p.StartedAt = "entry", 7, startedAt
		f.Targets = f.Targets[1:]
		now := later(start, startedAt)
		p.Update(now, f)
		sum += offerMany(p, now, 100)["cold"] + offerMany(p, start.Add(time.Second-time.Millisecond), 100)["cold"]
		if offerMany(p, restarted.Add(time.Second), 100)["cold"] == 0 {
			t.Error("no request is placed a second after the restart")
		}
	}
	if share := lease.Share((lease.Bound{Overshoot: 1.5, Slack: 5}).PerSecond(32), 7, "entry", "cold"); sum != share {
		t.Errorf("%d requests within a second, want %d", sum, share)
	}
}

// Guards against entries that together exceed the limit of a cold plain target, which has
// no side to grant permits.
func TestColdPlainTargetGetsShares(t *testing.T) {
	for _, entries := range []int{1, 7, 300} {
		sum := 0
		for i := range entries {
			f, p, _ := coldFacts(nil, 32)
			p.Name, p.entries = fmt.Sprint("entry", i), entries
			f.Targets = f.Targets[1:]
			p.Update(start, f)
			sum += offerMany(p, start, 100)["cold"]
		}
		if limit := (lease.Bound{Overshoot: 1.5, Slack: 5}).PerSecond(32); sum > limit || sum == 0 {
			t.Errorf("%d entries: %d requests, want 1 to %d", entries, sum, limit)
		}
	}
}
