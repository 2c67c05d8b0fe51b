package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// partEvent is one input to a ledger of parts: a failure of a request with parts at a target, or
// a success of one if failure is empty.
type partEvent struct {
	at      time.Duration
	parts   []PartID
	failure string
	ran     time.Duration
	// sentBefore is how long before its failure the request was sent.
	sentBefore time.Duration
}

// Guards against fatal parts that are let through, and harmless ones that are refused.
func TestBlockedParts(t *testing.T) {
	ab, ac := []PartID{"a", "b"}, []PartID{"a", "c"}
	fail := func(n int, parts ...PartID) []partEvent {
		var out []partEvent
		for i := range n {
			out = append(out, partEvent{at: time.Duration(i) * time.Second, parts: parts, failure: fmt.Sprint("t", i)})
		}
		return out
	}
	then := func(events []partEvent, next ...partEvent) []partEvent {
		return append(events[:len(events):len(events)], next...)
	}
	const later = 4 * time.Second
	tests := []struct {
		name   string
		events []partEvent
		parts  []PartID
		want   bool
	}{
		{"never seen", nil, ab, false},
		{"two crashes", fail(2, ab...), ab, false},
		{"three crashes", fail(3, ab...), ab, true},
		{"one of two equal suspects alone", fail(3, ab...), ac, false},
		{"the other one alone", fail(3, ab...), []PartID{"b"}, false},
		{"one suspect has run elsewhere", then(fail(3, ab...), partEvent{at: later, parts: ac}), ab, true},
		{"the one that has run", then(fail(3, ab...), partEvent{at: later, parts: ac}), ac, false},
		{"the one that has not", then(fail(3, ab...), partEvent{at: later, parts: ac}), []PartID{"b", "d"}, true},
		{"one suspect fails alone", then(fail(3, ab...), partEvent{at: later, parts: []PartID{"b"}, failure: "u"}), []PartID{"b"}, true},
		{"answer had been going on", then(fail(2, ab...), partEvent{at: later, parts: ab, failure: "u", ran: MinInnocentRun}), ab, false},
		{
			"three under way at a time", []partEvent{
				{parts: ab, failure: "t", sentBefore: time.Second},
				{at: 200 * time.Millisecond, parts: ab, failure: "u", sentBefore: time.Second},
				{at: 400 * time.Millisecond, parts: ab, failure: "v", sentBefore: time.Second},
			}, ab, false,
		},
		{"ran before, then three crashes", then([]partEvent{{at: -time.Second, parts: ab}}, fail(3, ab...)...), ab, false},
		{"ran before, then eight crashes", then([]partEvent{{at: -time.Second, parts: ab}}, fail(8, ab...)...), ab, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l PartLedger
			now := epoch
			for _, e := range tc.events {
				now = epoch.Add(e.at)
				for _, p := range e.parts {
					if e.failure == "" {
						l.RecordSuccess(now, p)
						continue
					}
					l.RecordFailure(now, now.Add(-e.sentBefore), p, newStart(e.failure), e.ran)
				}
			}
			_, blocked := l.Blocked(now.Add(later), tc.parts)
			if diff := cmp.Diff(tc.want, blocked); diff != "" {
				t.Errorf("blocked (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a part of all callers that is refused for long after crashes of another cause.
func TestSoundPartIsAcceptedSoon(t *testing.T) {
	var l PartLedger
	l.RecordSuccess(epoch.Add(-time.Second), "a")
	var last time.Time
	for i := range maxSoundCrashMoments {
		last = epoch.Add(time.Duration(i) * time.Second)
		l.RecordFailure(last, last, "a", newStart(fmt.Sprint(i)), 0)
	}
	for after, want := range map[time.Duration]bool{0: true, soundBlockDuration - 1: true, soundBlockDuration: false} {
		_, blocked := l.Blocked(last.Add(after), []PartID{"a"})
		if diff := cmp.Diff(want, blocked); diff != "" {
			t.Errorf("blocked %s after the last failure (-want +got):\n%s", after, diff)
		}
	}
}

// Guards against a harmless part that stays blocked, because a hub keeps a success to itself.
func TestSuccessThatClearsSomeFailuresIsAChange(t *testing.T) {
	var hub, entry PartLedger
	for i := range 4 {
		at := epoch.Add(time.Duration(i) * time.Second)
		for _, l := range []*PartLedger{&hub, &entry} {
			l.RecordFailure(at, epoch.Add(-time.Second), "a", newStart(fmt.Sprint(i)), 0)
		}
		if i == 2 {
			entry.RecordSuccess(at.Add(time.Millisecond), "a")
		}
	}
	n, _ := entry.Note(epoch.Add(4*time.Second), "a", 1)
	earlier := n
	earlier.SuccessAge = time.Hour
	hub.Merge(epoch.Add(4*time.Second), earlier)
	if !hub.Merge(epoch.Add(4*time.Second), n) {
		t.Error("the success is not a change")
	}
}

// Guards against a fatal part that is accepted too early, since its requests overlapped.
func TestPartIsBlockedFromItsLastFailure(t *testing.T) {
	var l PartLedger
	var last time.Time
	for i := range maxCrashMoments {
		last = epoch.Add(time.Duration(i) * time.Second)
		l.RecordFailure(last, epoch.Add(-time.Second), "a", newStart(fmt.Sprint(i)), 0)
	}
	left, _ := l.Blocked(last.Add(time.Minute), []PartID{"a"})
	if diff := cmp.Diff(blockDuration-time.Minute, left); diff != "" {
		t.Errorf("refused for (-want +got):\n%s", diff)
	}
}

// Guards against a fatal part that is never blocked, since its record is full of one moment.
func TestFullRecordKeepsDistinctMoments(t *testing.T) {
	var l PartLedger
	for i := range maxCrashMoments {
		now := epoch.Add(time.Duration(i) * time.Second)
		for j := range 4 {
			l.RecordFailure(now, epoch.Add(-time.Second), "a", newStart(fmt.Sprint(i, j)), 0)
		}
	}
	if _, blocked := l.Blocked(epoch.Add(maxCrashMoments*time.Second), []PartID{"a"}); !blocked {
		t.Errorf("a part that broke off at %d moments is not blocked", maxCrashMoments)
	}
}

// Guards against memory that grows with different prompts, and a fatal part lost among them.
func TestPartLedgerIsBounded(t *testing.T) {
	var l PartLedger
	for i := range blockThreshold {
		l.RecordFailure(epoch, epoch, "fatal", newStart(fmt.Sprint("fatal", i)), 0)
	}
	for i := range 2 * maxSoundParts {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		l.RecordSuccess(now, PartID(fmt.Sprint("sound", i)))
		l.RecordFailure(now, now, PartID(fmt.Sprint("failed", i)), newStart(fmt.Sprint(i%700)), 0)
	}
	if diff := cmp.Diff([]int{maxOnce + 1, maxStarts, maxSoundParts}, []int{l.Len(), l.byStart.Len(), l.sound.Len()}); diff != "" {
		t.Errorf("parts, starts and sound parts (-want +got):\n%s", diff)
	}
	if _, blocked := l.Blocked(epoch.Add(2*maxSoundParts*time.Millisecond), []PartID{"fatal"}); !blocked {
		t.Error("the fatal part is forgotten")
	}
}
