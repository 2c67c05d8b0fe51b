package jsonl

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

// Guards against a Record that blocks while the log output does: its caller is
// handling a request. The queue of two lines fills, and the third and fourth decision
// must return at once. When the output works again, one line must report how many
// lines were dropped.
func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	var out bytes.Buffer
	sink := &Sink{Out: &out, QueueLines: 2}
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
	var report droppedReport
	if err := json.Unmarshal([]byte(lines[0]), &report); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(2), report.Lines); diff != "" {
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

// Guards against dropping the lines of a failed request because the lines of
// successful ones have filled the queue of a slow output. Routine lines must be
// dropped before the queue is full.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	var out bytes.Buffer
	sink := &Sink{Out: &out, QueueLines: 8}
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
		t.Errorf("the log does not report 14 dropped lines:\n%s", &out)
	}
}
