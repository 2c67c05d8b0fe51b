package place

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/request/lease"
	"hawthornferry/core/request/table"
)

// Guards against a limit that is lifted by a response which began before the target set it.
func TestRateLimitIsLiftedByLaterRequestsOnly(t *testing.T) {
	one, two := lease.RateLimit{Limited: true, PerSecond: 1}, lease.RateLimit{Limited: true, PerSecond: 2}
	type response struct {
		limit  lease.RateLimit
		sentAt time.Duration
	}
	tests := []struct {
		name     string
		response response
		want     bool
	}{
		{"no limit yet", response{lease.RateLimit{}, 0}, false},
		{"the first", response{one, 0}, true},
		{"the same again", response{one, 0}, false},
		{"sent before it was named", response{lease.RateLimit{}, 2 * time.Second}, false},
		{"another limit", response{two, 2 * time.Second}, true},
		{"sent after it was named", response{lease.RateLimit{}, 6 * time.Second}, true},
		{"named again", response{one, 6 * time.Second}, true},
	}
	p := testPlacer(testFacts(nil, 8, "a"))
	for i, tc := range tests {
		now := start.Add(time.Duration(i+1) * time.Second)
		got := p.RecordRateLimit(now, p.targets["a"].Target, tc.response.limit, start.Add(tc.response.sentAt))
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s: changed (-want +got):\n%s", tc.name, diff)
		}
	}
	if diff := cmp.Diff(1, p.NoticeCounts(start).RateLimited); diff != "" {
		t.Errorf("limited targets (-want +got):\n%s", diff)
	}
}

// limitedPlacer returns a placer of an engine or plain service with the targets "a" and
// "limited", of which the second has named a limit, and the questions for permits.
func limitedPlacer(engine bool, perSecond float64) (p *Placer, asked *[]int) {
	e := usualEngine
	if !engine {
		e = nil
	}
	p = testPlacer(testFacts(e, 8, "a", "limited"))
	asked = &[]int{}
	p.RequestLease = func(target string, want int, l lease.RateLimit) {
		if target == "limited" && l.Limited {
			*asked = append(*asked, want)
		}
	}
	p.RecordRateLimit(start, p.targets["limited"].Target, lease.RateLimit{Limited: true, PerSecond: perSecond}, start)
	return p, asked
}

// Guards against a limited engine that gets requests without permits, or none with them.
func TestLimitedEngineGetsRequestsByPermitOnly(t *testing.T) {
	p, asked := limitedPlacer(true, 2)
	if diff := cmp.Diff(map[string]int{"a": 8}, offerMany(p, start, 12)); diff != "" {
		t.Fatalf("placed without permits (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 1}, *asked); diff != "" {
		t.Errorf("permits asked for (-want +got):\n%s", diff)
	}
	var got []string
	for _, v := range p.AddPermits(start, "limited", lease.Grant{N: 2, Expires: start.Add(lease.Lifetime)}) {
		got = append(got, v.Target.ID)
	}
	if diff := cmp.Diff([]string{"limited", "limited"}, got); diff != "" {
		t.Errorf("placed by two permits (-want +got):\n%s", diff)
	}
}

// Guards against requests that wait for a permit while another engine has room.
func TestPermitsAreAskedForAhead(t *testing.T) {
	p, asked := limitedPlacer(true, 2)
	if diff := cmp.Diff(map[string]int{"a": 1}, offerMany(p, start, 1)); diff != "" {
		t.Errorf("placed (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 1}, *asked); diff != "" {
		t.Errorf("permits asked for (-want +got):\n%s", diff)
	}
}

// Guards against a limit that outlasts its target's need, or is forgotten before that ends.
func TestRateLimitFollowsItsSources(t *testing.T) {
	limit := lease.RateLimit{Limited: true, PerSecond: 2}
	known := func(l lease.RateLimit) lease.RateReport { return lease.RateReport{Known: true, Limit: l} }
	report := func(r lease.RateReport) func(p *Placer) {
		return func(p *Placer) {
			p.Report(start, "a", LoadReport{Alive: true, ServedVersion: 1, Rate: r})
		}
	}
	answer := func(l lease.RateLimit, sentAt time.Duration) func(p *Placer) {
		return func(p *Placer) {
			p.RecordRateLimit(start.Add(time.Second), p.targets["a"].Target, l, start.Add(sentAt))
		}
	}
	tests := []struct {
		name  string
		steps []func(p *Placer)
		want  int
	}{
		{"named in a response", []func(p *Placer){answer(limit, 0)}, 1},
		{"lifted in a response", []func(p *Placer){answer(limit, 0), answer(lease.RateLimit{}, time.Second)}, 0},
		{"reported by its side", []func(p *Placer){report(known(limit))}, 1},
		{"lifted by its side", []func(p *Placer){report(known(limit)), report(known(lease.RateLimit{}))}, 0},
		{"its side starts again", []func(p *Placer){report(known(limit)), report(lease.RateReport{})}, 1},
		{"its side has not heard of the lifting", []func(p *Placer){
			report(known(limit)), answer(lease.RateLimit{}, time.Second), report(known(limit)),
		}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(usualEngine, 8, "a"))
			for _, step := range tc.steps {
				step(p)
			}
			if diff := cmp.Diff(tc.want, p.NoticeCounts(start).RateLimited); diff != "" {
				t.Errorf("limited targets (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against entries that together exceed the limit of a plain target.
func TestLimitedPlainTargetGetsPacedRequests(t *testing.T) {
	for _, entries := range []int{1, 4, unknownEntries} {
		sum := 0
		for range entries {
			p, _ := limitedPlacer(false, 2)
			if entries != unknownEntries {
				p.entries = entries
			}
			for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
				sum += offerMany(p, start.Add(at), 2)["limited"]
			}
		}
		if sum < 10 || sum > 30 {
			t.Errorf("%d entries: %d requests in 10 s at a limit of 2 a second, want 10 to 30", entries, sum)
		}
	}
}

// Guards against callers that wait in vain for targets which have all named a limit.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	limit := lease.RateLimit{Limited: true, PerSecond: 2}
	for _, engine := range []*table.Engine{nil, usualEngine} {
		p := testPlacer(testFacts(engine, 8, "a", "b"))
		p.entries = 1
		for _, id := range []string{"a", "b"} {
			p.RecordRateLimit(start, p.targets[id].Target, limit, start)
		}
		var got []string
		for _, id := range []string{"1", "2", "3"} {
			w := testRequest(id)
			w.PromptTokens = 100
			got = append(got, decisions(p.Offer(start, w))...)
		}
		want := []string{"2 refused rateLimited", "3 refused rateLimited"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("with the first one waiting (-want +got):\n%s", diff)
		}
	}
}

// Guards against questions and waiting callers while a side cannot grant any permits.
func TestSideIsAskedOnceItHasPermits(t *testing.T) {
	p, _ := limitedPlacer(true, 0.5)
	p.RecordRateLimit(start, p.targets["a"].Target, lease.RateLimit{Limited: true, PerSecond: 0.5}, start)
	asked := 0
	p.RequestLease = func(string, int, lease.RateLimit) { asked++ }
	for _, id := range []string{"a", "limited"} {
		p.AddPermits(start, id, lease.Grant{NextAt: start.Add(2 * time.Second)})
	}
	offer := func(at time.Duration, id string) []string {
		w := testRequest(id)
		w.PromptTokens, w.FirstRequestedAt = 100, start.Add(at)
		return decisions(p.Offer(start.Add(at), w))
	}
	if diff := cmp.Diff([]string{"1 refused rateLimited"}, offer(time.Second, "1")); diff != "" {
		t.Errorf("a second before the next permits (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), offer(1900*time.Millisecond, "2")); diff != "" {
		t.Errorf("shortly before the next permits (-want +got):\n%s", diff)
	}
	if asked > 0 {
		t.Errorf("%d questions before the next permits", asked)
	}
	p.Tick(start.Add(2 * time.Second))
	if asked != 1 {
		t.Errorf("%d questions once there are permits, want 1", asked)
	}
}
