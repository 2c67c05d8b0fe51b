package jsonl

import (
	"bytes"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
)

// In a burst of forty times as many requests as the log has lines for, one request in
// a hundred fails. All lines of the failed requests must be written, the lines of the
// others must stay within the limit, and the log must report how many were omitted.
func TestBudgetKeepsAllLinesOfFailedRequests(t *testing.T) {
	const perSecond, requests = 50, 2000
	clock := clockwork.NewFakeClock()
	var out bytes.Buffer
	logger, err := NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	l := &Log{
		Process: "e1", Clock: clock, Logger: logger, RateLimiter: &RateLimiter{PerSecond: perSecond},
		Routine: func(d trail.Decision) bool { return d.Action == "placed" || d.Outcome == "relayed" },
	}
	for i := range requests {
		id := strconv.Itoa(i)
		l.Record(trail.Decision{Action: "placed", Request: id})
		outcome := "relayed"
		if i%100 == 99 {
			l.Record(trail.Decision{Action: "attempt", Request: id, Outcome: "broken"})
			outcome = "ownAnswer"
		}
		l.Record(trail.Decision{Action: "answer", Request: id, Outcome: outcome})
	}
	clock.Advance(time.Second)
	l.Record(trail.Decision{Action: "placed", Request: "next"})

	actions := map[string][]string{}
	lines, missing := 0, 0
	for _, b := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		var d struct {
			trail.Decision
			Lines int `json:"lines"`
		}
		if err := json.Unmarshal(b, &d); err != nil {
			t.Fatal(err)
		}
		lines++
		missing += d.Lines
		actions[d.Request] = append(actions[d.Request], d.Action)
	}
	for i := 99; i < requests; i += 100 {
		if diff := cmp.Diff([]string{"placed", "attempt", "answer"}, actions[strconv.Itoa(i)]); diff != "" {
			t.Errorf("actions logged for request %d (-want +got):\n%s", i, diff)
		}
	}
	const failed, linesEach = requests / 100, 3
	if most := 2*perSecond + linesEach*failed + linesEach; lines > most {
		t.Errorf("%d lines, want %d at most", lines, most)
	}
	if diff := cmp.Diff(2*requests+failed+1, lines-len(actions[""])+missing); diff != "" {
		t.Errorf("lines written and missing (-want +got):\n%s", diff)
	}
}

// Guards against routine lines that use up the limit of others: within one second,
// a burst of requests succeeds and then every request fails. All the failures must be
// logged.
func TestRoutineLinesLeaveBudgetForFailures(t *testing.T) {
	const perSecond, routine, requests = 40, 20, 30
	var out bytes.Buffer
	logger, err := NewLogger(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	l := &Log{
		Clock: clockwork.NewFakeClock(), Logger: logger, RateLimiter: &RateLimiter{PerSecond: perSecond, RoutinePerSecond: routine},
		Routine: func(d trail.Decision) bool { return d.Outcome == "relayed" },
	}
	for i := range requests {
		l.Record(trail.Decision{Action: "answer", Request: "well" + strconv.Itoa(i), Outcome: "relayed"})
	}
	for i := range requests {
		l.Record(trail.Decision{Action: "answer", Request: "badly" + strconv.Itoa(i), Outcome: "ownAnswer"})
	}
	got := map[string]int{
		"well":  bytes.Count(out.Bytes(), []byte("relayed")),
		"badly": bytes.Count(out.Bytes(), []byte("ownAnswer")),
	}
	if diff := cmp.Diff(map[string]int{"well": routine, "badly": requests}, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
