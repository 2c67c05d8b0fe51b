package place

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/request/level"
	"hawthornferry/core/request/table"
)

// levelPlacer returns a placer for two engines whose requests have the given priorities.
func levelPlacer(e *table.Engine, priorities ...int) *Placer {
	f := testFacts(e, 16, "a", "b")
	for _, priority := range priorities {
		f.Table.Routes = append(f.Table.Routes, table.Route{Priority: priority, TrafficSplit: []table.WeightedService{{Service: "svc", Weight: 1}}})
	}
	f.Table.BuildIndex()
	return testPlacer(f)
}

// scarce is a demand of which a tenth fits.
func scarce() level.Totals {
	r := level.Rates{}
	r.Offered[0], r.Placed[0], r.Crowded[0] = 90, 9, 80
	r.Offered[5], r.Placed[5], r.Crowded[5] = 10, 1, 9
	return level.Totals{Entries: 3, Rates: r}
}

// Guards against holding back requests that may have begun already or that are late, against
// old totals, and against a level where the configuration does not call for one.
func TestRequestsThatTheLevelHoldsBack(t *testing.T) {
	implausible := *usualEngine
	implausible.PrefillTokensPerSecond = 0
	tests := []struct {
		name       string
		engine     *table.Engine
		priorities []int
		after      time.Duration
		change     func(w *Request)
		want       string
	}{
		{"new request", usualEngine, []int{0, 5}, 0, func(*Request) {}, "1 refused lessUrgent"},
		{"interrupted answer", usualEngine, []int{0, 5}, 0, func(w *Request) { w.Resumed = true }, "1 placed a"},
		{"trial", usualEngine, []int{0, 5}, 0, func(w *Request) { w.OnlyTargets = []string{"a"} }, "1 placed a"},
		{"repeat", usualEngine, []int{0, 5}, 0, func(w *Request) { w.FailedTargets = []string{"b"} }, "1 placed a"},
		{"objective passed", usualEngine, []int{0, 5}, 0, func(w *Request) { w.FirstRequestedAt = start.Add(-time.Second) }, "1 placed a"},
		{"totals too old", usualEngine, []int{0, 5}, time.Second, func(*Request) {}, "1 placed a"},
		{"a single priority", usualEngine, []int{5}, 0, func(*Request) {}, "1 placed a"},
		{"plain service", nil, []int{0, 5}, 0, func(*Request) {}, "1 placed a"},
		{"implausible engine", &implausible, []int{0, 5}, 0, func(*Request) {}, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			p := levelPlacer(tc.engine, tc.priorities...)
			p.SetTotals(start, "svc", scarce(), start.Add(time.Second))
			now := start.Add(tc.after)
			w := testRequest("1")
			w.Priority, w.FirstRequestedAt = 5, now
			tc.change(&w)
			got := ""
			if vs := p.Offer(now, w); len(vs) > 0 {
				got = string(vs[0].ID + " " + string(vs[0].Decision) + " " + string(vs[0].Reason))
				if vs[0].Decision == Placed {
					got += "a"
				} else if vs[0].RetryAfter <= 0 {
					t.Error("the caller is not told when to come back")
				}
			}
			if tc.want != "" && got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
			if active := len(p.Levels()) > 0; active != (tc.engine == usualEngine && len(tc.priorities) > 1) {
				t.Errorf("level active: %v", active)
			}
			if named := p.ImplausibleEngines()["svc"] != nil; named != (tc.engine == &implausible) {
				t.Errorf("engine named as implausible: %v", named)
			}
		})
	}
}

// Guards against a new request that takes the place for which a more urgent one waits.
func TestNewRequestDoesNotOvertakeMoreUrgent(t *testing.T) {
	for _, tc := range []struct {
		name       string
		priorities []int
		want       []string
	}{
		{"priorities differ", []int{0, 5}, nil},
		{"no level", []int{5}, []string{"less placed b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := levelPlacer(usualEngine, tc.priorities...)
			for _, id := range []string{"a", "b"} {
				p.Report(start, id, LoadReport{Alive: true, ServedVersion: 1, Slowness: 1, Active: 16})
			}
			p.Offer(start, testRequest("urgent"))
			p.targets["b"].otherRequests = 0
			less := testRequest("less")
			less.Priority = 5
			if diff := cmp.Diff(tc.want, decisions(p.Offer(start, less))); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
			if p.Tick(start.Add(TickEvery))[0].ID != "urgent" {
				t.Error("the more urgent request was not decided first")
			}
		})
	}
}

// Guards against rates that miss a decision: what is placed, refused, answered late or held
// back.
func TestRatesCountDecisions(t *testing.T) {
	p := levelPlacer(usualEngine, 0, 5)
	late := testRequest("late")
	unit := p.service("svc").work(&late)
	p.Offer(start, late)
	p.AnswerBegan(start.Add(late.Objective+time.Millisecond), "late")
	for _, id := range []string{"a", "b"} {
		p.Report(start, id, LoadReport{Alive: true, ServedVersion: 1, Slowness: 1, Active: 16})
	}
	p.Offer(start, testRequest("refused"))
	p.Tick(start.Add(300 * time.Millisecond))
	p.SetTotals(start, "svc", scarce(), start.Add(time.Second))
	held := testRequest("held")
	held.Priority = 5
	p.Offer(start, held)
	var want level.Rates
	want.Offered[0], want.Placed[0], want.Crowded[0], want.Offered[5] = 2*unit, unit, 2*unit, unit
	if diff := cmp.Diff(want, p.Rates(start.Add(500 * time.Millisecond))["svc"]); diff != "" {
		t.Errorf("rates (-want +got):\n%s", diff)
	}
}

func BenchmarkOffer(b *testing.B) {
	for _, tc := range []struct {
		name       string
		priorities []int
	}{{"single priority", []int{5}}, {"two priorities", []int{0, 5}}} {
		b.Run(tc.name, func(b *testing.B) {
			p := levelPlacer(usualEngine, tc.priorities...)
			w := testRequest("")
			for i := range b.N {
				now := start.Add(time.Duration(i) * time.Millisecond)
				w.ID, w.FirstRequestedAt = strconv.Itoa(i), now
				p.Offer(now, w)
				p.RequestEnded(now, w.ID, ResultDone)
			}
		})
	}
}
