package place

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/request/table"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func testFacts(engine *table.Engine, slots int, ids ...string) *facts.Facts {
	t := &table.Table{Services: []table.Service{{Name: "svc", Engine: engine}}}
	t.BuildIndex()
	f := &facts.Facts{Table: t}
	for i, id := range ids {
		f.Targets = append(f.Targets, facts.Target{
			ID: id, Service: "svc", Zone: "z0", Slots: slots, Serving: map[string]uint64{"m": 1},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return f
}

func testPlacer(f *facts.Facts) *Placer {
	p := &Placer{Zone: "z0", Regions: map[string]string{"z0": "r0"}, Rand: rand.New(rand.NewPCG(1, 1))}
	p.Update(start, f)
	return p
}

func testRequest(id string) Request {
	return Request{
		ID: id, Service: "svc", PromptTokens: 1000, AnswerTokens: 90, FirstRequestedAt: start, Objective: 400 * time.Millisecond,
		Deadline: start.Add(6 * time.Second),
	}
}

func decisions(vs []Verdict) []string {
	var out []string
	for _, v := range vs {
		out = append(out, v.ID+" "+string(v.Decision)+" "+v.Target.ID+string(v.Reason))
	}
	return out
}

// Guards against sending every request to a target that rejects each at once: such a
// target always looks idle unless it is paused.
func TestTargetThatRejectsIsPaused(t *testing.T) {
	p := testPlacer(testFacts(nil, 8, "a", "b"))
	first := p.Offer(start, testRequest("1"))[0].Target.ID
	p.RequestEnded(start, "1", ResultRejected)
	for _, id := range []string{"2", "3", "4"} {
		v := p.Offer(start.Add(time.Millisecond), testRequest(id))[0]
		if v.Target.ID == first {
			t.Errorf("request %s went to the target that has just turned one away", id)
		}
	}
}

// Guards against late first tokens when the prompts ahead take too long to read,
// however few they are. The request waits at the entry, and is refused as soon as
// waiting cannot help any more, while its caller can still be served elsewhere or
// later.
func TestUnreadPromptsMakeRequestLate(t *testing.T) {
	p := testPlacer(testFacts(usualEngine, 16, "a"))
	long := testRequest("long")
	long.PromptTokens = 6000
	long.Objective = time.Second
	p.Offer(start, long)
	if vs := p.Offer(start, testRequest("1")); len(vs) != 0 {
		t.Fatalf("got %v, want the request to wait", decisions(vs))
	}
	if diff := cmp.Diff([]string{"1 placed a"}, decisions(p.AnswerBegan(start.Add(100*time.Millisecond), "long"))); diff != "" {
		t.Errorf("once the prompt is read (-want +got):\n%s", diff)
	}
	p.RequestEnded(start, "1", ResultDone)
	again := long
	again.ID = "long2"
	p.Offer(start, again)
	p.Offer(start, testRequest("2"))
	got := p.Tick(start.Add(300 * time.Millisecond))
	if diff := cmp.Diff([]string{"2 refused objectiveCannotBeMet"}, decisions(got)); diff != "" {
		t.Errorf("once it is too late (-want +got):\n%s", diff)
	}
	if got[0].RetryAfter <= 0 {
		t.Error("the caller is not told when to come back")
	}
}

// Guards against refusing the longest prompts at engines that read slowly. No engine
// can answer them on time; they are served late when an engine has room.
func TestLongPromptAtSlowEngineIsServed(t *testing.T) {
	slow := *usualEngine
	slow.PrefillTokensPerSecond = 8000
	p := testPlacer(testFacts(&slow, 16, "a"))
	w := testRequest("long")
	w.PromptTokens = 3800
	if diff := cmp.Diff([]string{"long placed a"}, decisions(p.Offer(start, w))); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// Guards against refusing the longest prompts where only an idle engine can answer them
// on time, and passes take half as long again as declared. No engine with any load fits
// the objective then. The longest prompts waited for an idle engine in vain and were
// refused, while four of five of the other requests were served.
func TestLongPromptNeedingIdleEngineIsServed(t *testing.T) {
	slow := *usualEngine
	slow.PrefillTokensPerSecond, slow.StepTime = 13800, 13900*time.Microsecond
	tests := []struct {
		name       string
		prompt     int
		passFactor float64
		load       int
		want       string
	}{
		{"long, idle engine", 3800, 1.5, 0, "new placed a"},
		{"long, some load", 3800, 1.5, 6, "new placed a"},
		{"nearly long, some load", 3000, 1.5, 6, "new placed a"},
		{"usual, some load", 1000, 1.5, 6, "new placed a"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(&slow, 16, "a"))
			p.service("svc").passFactor.value = tc.passFactor
			p.Report(start, "a", LoadReport{Alive: true, ServedVersion: 1, Slowness: 1, Active: tc.load})
			w := testRequest("new")
			w.PromptTokens, w.Objective = tc.prompt, 500*time.Millisecond
			got := p.Offer(start, w)
			got = append(got, p.Tick(start.Add(100*time.Millisecond))...)
			if diff := cmp.Diff([]string{tc.want}, decisions(got)); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a Retry-After beyond the caller's deadline. Callers of a full plain
// service that wait for 1.5 s in all and are told to come back after 1.7 s never come
// back, and none is served, although the service has room again within a fraction of a
// second.
func TestRetryAfterIsWithinDeadline(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Duration
		want     time.Duration
	}{
		{"seconds", 6 * time.Second, 1700 * time.Millisecond},
		{"short", 1500 * time.Millisecond, 500 * time.Millisecond},
		{"long", 20 * time.Second, 1700 * time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := testPlacer(testFacts(nil, 1, "a"))
			w := testRequest("1")
			w.Limits, w.FailedTargets, w.Deadline = nil, []string{"a"}, start.Add(tc.deadline)
			got := p.Offer(start, w)
			if diff := cmp.Diff([]string{"1 refused noTarget"}, decisions(got)); diff != "" {
				t.Fatalf("verdicts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.want, got[0].RetryAfter); diff != "" {
				t.Errorf("told to wait (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against serving new requests before the rest of an interrupted stream.
func TestBegunAnswerGoesFirst(t *testing.T) {
	p := testPlacer(testFacts(nil, 1, "a"))
	for _, id := range []string{"1", "2", "3"} {
		p.Offer(start, testRequest(id))
	}
	p.Offer(start, testRequest("new"))
	begun := testRequest("begun")
	begun.Resumed = true
	p.Offer(start, begun)
	got := p.RequestEnded(start, "1", ResultDone)
	if diff := cmp.Diff([]string{"begun placed a"}, decisions(got)); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// Guards against sending a request to a target that is leaving, has failed it, is dead
// or loading, has no weights, or serves too old ones.
func TestUnusableTargets(t *testing.T) {
	alive := LoadReport{Alive: true, ServedVersion: 1, Slowness: 1}
	tests := []struct {
		name   string
		target func(f *facts.Target)
		report *LoadReport
		work   func(w *Request)
	}{
		{"leaving", func(f *facts.Target) { f.Leaving = true }, nil, nil},
		{"failed it", nil, nil, func(w *Request) { w.FailedTargets = []string{"a"} }},
		{"dead", nil, &LoadReport{}, nil},
		{"loading", nil, &LoadReport{Alive: true, ServedVersion: 1, Loading: true}, nil},
		{"no weights", func(f *facts.Target) { f.Serving = nil }, nil, nil},
		{"lost its weights", nil, &LoadReport{Alive: true, ServedVersion: 0}, nil},
		{"old weights", nil, &alive, func(w *Request) { w.Limits = []VersionLimit{{Version: 2, Until: start}} }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := testFacts(usualEngine, 16, "a")
			if tc.target != nil {
				tc.target(&f.Targets[0])
			}
			p := testPlacer(f)
			if tc.report != nil {
				p.Report(start, "a", *tc.report)
			}
			w := testRequest("1")
			if tc.work != nil {
				tc.work(&w)
			}
			for _, v := range p.Offer(start, w) {
				if v.Decision == Placed {
					t.Errorf("placed at %s", v.Target.ID)
				}
			}
		})
	}
}

// Guards against sending requests to a machine whose link is congested, where they
// arrive after their callers have gone. The reports of its side stop then. It gets
// fewer requests, and none if it serves an older version than the newest.
func TestTargetWithoutReportsGetsLess(t *testing.T) {
	f := testFacts(usualEngine, 16, "a", "b")
	p := testPlacer(f)
	p.Report(start, "a", LoadReport{Alive: true, ServedVersion: 1, Slowness: 1})
	now := start.Add(maxReportAge + time.Millisecond)
	p.Report(now, "b", LoadReport{Alive: true, ServedVersion: 1, Slowness: 1})
	w := testRequest("1")
	w.FirstRequestedAt = now
	if got := p.Offer(now, w)[0].Target.ID; got != "b" {
		t.Errorf("placed at %s, whose side is silent", got)
	}
	p.Update(now, testFacts(usualEngine, 16, "a"))
	w.ID, w.NewestVersion = "2", 2
	if got := p.Offer(now, w); len(got) > 0 && got[0].Decision == Placed {
		t.Error("placed at a target of the old version whose side is silent")
	}
}

// Guards against entries that all fill a target at the moment when a report shows it
// free; its prompts would take seconds to read. Each entry takes the others into
// account.
func TestEntriesDoNotOverfillTargetTogether(t *testing.T) {
	const entries = 3
	f := testFacts(usualEngine, 16, "a")
	placed := 0
	for e := range entries {
		p := testPlacer(f)
		p.Report(start, "a", LoadReport{Alive: true, ServedVersion: 1, Slowness: 1, Listeners: entries})
		for i := range 16 {
			w := testRequest(string(rune('a' + i)))
			w.PromptTokens = 100
			for _, v := range p.Offer(start, w) {
				if v.Decision == Placed {
					placed++
				}
			}
		}
		_ = e
	}
	if most := 16 + 16/2; placed > most {
		t.Errorf("%d requests at an engine of 16 slots, want at most %d", placed, most)
	}
}

// Guards against being worse than counting requests in a simulated burst, at loads
// below and above what the engines can serve, and against leaving out callers with
// large prompts.
func TestPlacerBeatsFewestRequests(t *testing.T) {
	for _, perSecond := range []float64{80, 110, 140, 180} {
		best, limit := outcomes{maxCredit: 1}, 0
		for _, n := range []int{3, 4, 5, 6} {
			got := usualScenario(12, 3, perSecond, 15*time.Second).simulate(func(_ int, f *facts.Facts) policy { return newFewestRequests(f, n) })
			if got.creditShare() > best.creditShare() {
				best, limit = got, n
			}
		}
		got := usualScenario(12, 3, perSecond, 15*time.Second).simulate(newSimPlacer)
		t.Logf("%3.0f/s: credit %.3f (on time %d, late %d, refused %d of %d); best count, %d a target: %.3f",
			perSecond, got.creditShare(), got.onTime, got.late, got.refused, got.asked, limit, best.creditShare())
		if got.creditShare() < best.creditShare() {
			t.Errorf("%.0f/s: credit %.3f, by counting %.3f", perSecond, got.creditShare(), best.creditShare())
		}
		served := float64(got.onTime+got.late) / float64(got.asked)
		if large := float64(got.largeServed) / float64(got.largeAsked); large < served/2 {
			t.Errorf("%.0f/s: %.2f of the large requests are served, %.2f of all", perSecond, large, served)
		}
	}
}

func BenchmarkLoad(b *testing.B) {
	var got outcomes
	for b.Loop() {
		got = usualScenario(12, 3, 140, 15*time.Second).simulate(newSimPlacer)
	}
	b.ReportMetric(got.creditShare(), "credit")
	b.ReportMetric(float64(got.onTime)/float64(got.asked), "onTime")
}

// Guards against using the report of another start of an engine. A machine lost power
// and its engine has started again at the same address, while the list still shows the
// former one. Its report must not make the former one look ready, since it would reject
// the requests.
func TestReportOfAnotherEngineStart(t *testing.T) {
	former, present := start.Add(-time.Minute), start.Add(-time.Second)
	tests := []struct {
		name   string
		listed time.Time
		want   []string
	}{
		{"the same start", present, []string{"1 placed a"}},
		{"a former start is listed", former, []string{"1 refused noTarget"}},
		{"a later start is listed", start, []string{"1 placed a"}},
		{"the list does not tell", time.Time{}, []string{"1 placed a"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := testFacts(usualEngine, 16, "a")
			f.Targets[0].StartedAt = tc.listed
			p := testPlacer(f)
			p.Report(start, "a", LoadReport{Alive: true, ServedVersion: 1, StartedAt: present})
			if diff := cmp.Diff(tc.want, decisions(p.Offer(start, testRequest("1")))); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against late answers when more entries share more engines. Each entry sees
// only its own requests at once and must estimate those of the others. Callers with
// large prompts must still be on time while the engines have room.
func TestManyEntriesShareEngines(t *testing.T) {
	for _, perEngine := range []float64{5, 7, 9} {
		const engines, entries = 45, 12
		got := usualScenario(engines, entries, perEngine*engines, 10*time.Second).simulate(newSimPlacer)
		large := float64(got.largeOnTime) / float64(got.largeAsked)
		t.Logf("%2.0f/s an engine: credit %.3f (on time %d, late %d, refused %d of %d), large on time %.3f",
			perEngine, got.creditShare(), got.onTime, got.late, got.refused, got.asked, large)
		if got.creditShare() < 0.98 || large < 0.93 {
			t.Errorf("%.0f/s an engine: credit %.3f, large on time %.3f, want 0.98 and 0.93", perEngine, got.creditShare(), large)
		}
	}
}
