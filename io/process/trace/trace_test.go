package trace

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
)

// The operator sees the log stand still and then one line that says how many
// lines are gone: the reader of the output is stuck, the queue of two lines
// fills, and the third decision must return at once, because its caller is
// on the path of a request.
func TestStuckOutputDropsAndCounts(t *testing.T) {
	var out bytes.Buffer
	sink := &Sink{Out: &out, Buffer: 2}
	logger, err := NewLogger(sink, "error")
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC))
	log := &Log{Process: "a", Boot: "b", Clock: clock, Logger: logger}
	for _, action := range []string{"one", "two", "three", "four"} {
		log.Record(trail.Decision{Area: trail.AreaConfig, Action: action})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sink.Run(ctx); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("got %d lines, want 3:\n%s", len(lines), &out)
	}
	var gone dropped
	if err := json.Unmarshal([]byte(lines[0]), &gone); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(2), gone.Lines); diff != "" {
		t.Errorf("dropped lines (-want +got):\n%s", diff)
	}
	var got trail.Decision
	if err := json.Unmarshal([]byte(lines[1]), &got); err != nil {
		t.Fatal(err)
	}
	want := trail.Decision{Time: clock.Now(), Process: "a", Boot: "b", Area: trail.AreaConfig, Action: "one"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decision (-want +got):\n%s", diff)
	}
}

// An engineer looks for the request that failed, and its lines are among those
// dropped: the output was slow, and requests that went well filled the queue.
// Their lines give way before it is full.
func TestRoutineLinesGiveWay(t *testing.T) {
	var out bytes.Buffer
	sink := &Sink{Out: &out, Buffer: 8}
	logger, err := NewLogger(sink, "error")
	if err != nil {
		t.Fatal(err)
	}
	log := &Log{
		Clock: clockwork.NewFakeClock(), Logger: logger,
		Routine: func(d trail.Decision) bool { return d.Action == "well" },
	}
	for range 20 {
		log.Record(trail.Decision{Area: trail.AreaCall, Action: "well"})
	}
	log.Record(trail.Decision{Area: trail.AreaCall, Action: "failed"})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sink.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"action":"failed"`) {
		t.Errorf("the failed request is not in the log:\n%s", &out)
	}
	if !strings.Contains(out.String(), `"lines":14`) {
		t.Errorf("the log does not say that 14 lines are left out:\n%s", &out)
	}
}
