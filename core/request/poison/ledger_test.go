package poison

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testKey(n int) Fingerprint {
	var k Fingerprint
	binary.BigEndian.PutUint64(k[:], uint64(n))
	return k
}

func newStart(name string) Incarnation { return NewIncarnation(name, epoch) }

// event is one input to a ledger. It is about request 1 unless key is set.
type event struct {
	at  time.Duration
	key int
	// Exactly one of failure, success, answerFrom and listing is set: a failure at a
	// target whose answer had been going on for ran, by an attempt sent sentBefore it, a successful completion, an
	// answer by a target to a request sent answerTime before, or a listing that has
	// the target.
	failure    string
	ran        time.Duration
	sentBefore time.Duration
	success    bool
	answerFrom string
	answerTime time.Duration
	listing    string
}

// The state decides whether a request is refused: one that crashes targets must be
// blocked, and no other.
func TestStateOfRequests(t *testing.T) {
	three := []event{{at: 0, failure: "a"}, {at: time.Second, failure: "b"}, {at: 2 * time.Second, failure: "c"}}
	then := func(next ...event) []event { return append(three[:3:3], next...) }
	tests := []struct {
		name   string
		events []event
		at     time.Duration
		want   State
		left   time.Duration
	}{
		{"never seen", nil, 0, StateClear, 0},
		{"once", three[:1], time.Second, StateClear, 0},
		{"twice", three[:2], time.Second, StateSuspected, 0},
		{"three times", three, 4 * time.Second, StateBlocked, blockDuration - 2*time.Second},
		{"three times, just now", three, 2*time.Second + undecidedDuration/2, StateBlocked, undecidedDuration / 2},
		{"third answer had been going on", []event{{failure: "a"}, {failure: "b"}, {failure: "c", ran: MinInnocentRun}}, 0, StateSuspected, 0},
		{"three times at once", []event{{failure: "a", sentBefore: 1}, {failure: "b", sentBefore: 1}, {failure: "c", sentBefore: time.Second}}, time.Second, StateClear, 0},
		{
			"at once, then twice",
			[]event{{failure: "a", sentBefore: 9}, {failure: "b", sentBefore: 9}, {at: 4, failure: "c", sentBefore: 4}, {at: 9, failure: "d", sentBefore: 5}},
			time.Second, StateBlocked, undecidedDuration - time.Second + 9,
		},
		{"three times at one start", []event{{failure: "a"}, {at: 1, failure: "a"}, {at: 2, failure: "a"}}, time.Second, StateClear, 0},
		{"other request", []event{{failure: "a", key: 2}, {failure: "b", key: 2}, {failure: "c", key: 2}}, time.Second, StateClear, 0},
		{"success after two", []event{{failure: "a"}, {at: 1, failure: "b"}, {at: 2, success: true}, {at: 3, failure: "c"}}, time.Second, StateClear, 0},
		{"success after three", then(event{at: 3 * time.Second, success: true}), 4 * time.Second, StateClear, 0},
		{"accepted after block", three, blockDuration + 2*time.Second, StateBlocked, 0},
		{"failure after block", then(event{at: blockDuration + 3*time.Second, failure: "d"}), blockDuration + 4*time.Second, StateBlocked, undecidedDuration - time.Second},
		{"target answers request sent before failure", then(event{at: 3 * time.Second, answerFrom: "b", answerTime: 3 * time.Second}), 4 * time.Second, StateSuspected, 0},
		{"target answers request sent just after failure", then(event{at: 2 * time.Second, answerFrom: "b", answerTime: 500 * time.Millisecond}), 4 * time.Second, StateSuspected, 0},
		{"successor answers", then(event{at: 4 * time.Second, answerFrom: "b", answerTime: 500 * time.Millisecond}), 4 * time.Second, StateBlocked, blockDuration - 2*time.Second},
		{"answer sent before failure is read late", then(event{at: 2*time.Second + 20*time.Millisecond, answerFrom: "c", answerTime: time.Second}), 3 * time.Second, StateBlocked, undecidedDuration - time.Second},
		{"other target answers", then(event{at: 3 * time.Second, answerFrom: "d", answerTime: 3 * time.Second}), 3 * time.Second, StateBlocked, undecidedDuration - time.Second},
		{"failure at target that survived one", then(event{at: 3 * time.Second, answerFrom: "c", answerTime: 3 * time.Second}, event{at: 4 * time.Second, failure: "c"}), 4 * time.Second, StateBlocked, undecidedDuration},
		{"target listed long after failure", then(event{at: 30 * time.Second, listing: "b"}), 31 * time.Second, StateSuspected, 0},
		{"target listed soon after failure", then(event{at: 10 * time.Second, listing: "b"}), 11 * time.Second, StateBlocked, blockDuration - 9*time.Second},
		{
			"target listed after answer",
			then(event{at: 4 * time.Second, answerFrom: "b"}, event{at: 8 * time.Second, listing: "b"}), 9 * time.Second, StateSuspected, 0,
		},
		{
			"target listed just after answer",
			then(event{at: 4 * time.Second, answerFrom: "b"}, event{at: 6 * time.Second, listing: "b"}), 7 * time.Second, StateBlocked, blockDuration - 5*time.Second,
		},
		{"other target listed", then(event{at: 30 * time.Second, listing: "d"}), 31 * time.Second, StateBlocked, blockDuration - 29*time.Second},
		{"forgotten", three, recordMaxAge + 3*time.Second, StateClear, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			for _, e := range tc.events {
				apply(&l, e)
			}
			now := epoch.Add(tc.at)
			if diff := cmp.Diff(tc.want, l.State(now, testKey(1))); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			left, blocked := l.Blocked(now, testKey(1))
			if !blocked {
				left = 0
			}
			if diff := cmp.Diff(tc.left, left); diff != "" {
				t.Errorf("refused for (-want +got):\n%s", diff)
			}
		})
	}
}

func apply(l *Ledger, e event) {
	now, k := epoch.Add(e.at), testKey(max(e.key, 1))
	switch {
	case e.failure != "":
		l.RecordFailure(now, now.Add(-e.sentBefore), k, newStart(e.failure), e.ran)
	case e.listing != "":
		l.RecordListing(now, k, map[Incarnation]bool{newStart(e.listing): true})
	case e.success:
		l.RecordSuccess(now, k)
	default:
		l.RecordAnswer(now, now.Add(-e.answerTime), newStart(e.answerFrom))
	}
}

// A target that does not report its start time may have crashed and be listed again,
// so a listing must not void its failure.
func TestListingWithoutBirthTimeProvesNothing(t *testing.T) {
	var l Ledger
	at := NewIncarnation("a", time.Time{})
	l.RecordFailure(epoch, epoch, testKey(1), at, 0)
	if l.RecordListing(epoch.Add(time.Hour), testKey(1), map[Incarnation]bool{at: true}) {
		t.Error("the listing voids the failure")
	}
}

// Guards against a poison request that is never blocked, because an answer that each
// target sent before its crash is read a little later and taken as proof that the
// target survived.
func TestLateReadAnswerProvesNoSurvival(t *testing.T) {
	var l Ledger
	for i := range blockThreshold {
		at := epoch.Add(time.Duration(i) * time.Second)
		start := newStart(string(rune('a' + i)))
		l.RecordFailure(at, at, testKey(1), start, 0)
		l.RecordAnswer(at.Add(lateReadDelay-time.Millisecond), at.Add(-time.Second), start)
	}
	if diff := cmp.Diff(StateBlocked, l.State(epoch.Add(blockThreshold*time.Second), testKey(1))); diff != "" {
		t.Errorf("state after three crashes (-want +got):\n%s", diff)
	}
}

// A target that restarts under the same ID after each crash must count as a different
// start each time.
func TestEachStartOfOneTargetCounts(t *testing.T) {
	var l Ledger
	for i := range blockThreshold {
		l.RecordFailure(epoch, epoch, testKey(1), NewIncarnation("a", epoch.Add(time.Duration(i)*time.Second)), 0)
	}
	if diff := cmp.Diff(StateBlocked, l.State(epoch, testKey(1))); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

// Each entry sees one failure. After they exchange notes, in any order and
// repeatedly, all of them must have the same state. Notes must also be unchanged by
// encoding and decoding.
func TestLedgersAgreeAfterMerge(t *testing.T) {
	var entries [3]Ledger
	for i := range entries {
		entries[i].RecordFailure(epoch.Add(time.Duration(i)*time.Second), epoch.Add(time.Duration(i)*time.Second), testKey(1), newStart(string(rune('a'+i))), 0)
	}
	now := epoch.Add(3 * time.Second)
	var notes []Note[Fingerprint]
	for i := range entries {
		n, ok := entries[i].Note(now, testKey(1), 1)
		if !ok {
			t.Fatalf("entry %d has no note", i)
		}
		b, err := msgpack.Marshal(&n)
		if err != nil {
			t.Fatal(err)
		}
		var back Note[Fingerprint]
		if err := msgpack.Unmarshal(b, &back); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(n, back); diff != "" {
			t.Errorf("note after encoding and decoding (-want +got):\n%s", diff)
		}
		if err := back.Check(); err != nil {
			t.Error(err)
		}
		notes = append(notes, back)
	}
	for i := range entries {
		for j := range 2 * len(notes) {
			// Notes are on their way for a while.
			entries[i].Merge(now.Add(time.Duration(10*j)*time.Millisecond), notes[(i+j)%len(notes)])
		}
		if diff := cmp.Diff(StateBlocked, entries[i].State(now, testKey(1))); diff != "" {
			t.Errorf("state at entry %d (-want +got):\n%s", i, diff)
		}
		n, _ := entries[i].Note(now.Add(time.Second), testKey(1), 1)
		if entries[i].Merge(now.Add(time.Second), n) {
			t.Errorf("entry %d: its own note changes its state", i)
		}
	}
	entries[0].RecordSuccess(now, testKey(1))
	cleared, _ := entries[0].Note(now, testKey(1), 1)
	for _, n := range []Note[Fingerprint]{cleared, notes[0], notes[1], notes[2]} {
		entries[1].Merge(now.Add(50*time.Millisecond), n)
	}
	if diff := cmp.Diff(StateClear, entries[1].State(now, testKey(1))); diff != "" {
		t.Errorf("state after a success at another entry (-want +got):\n%s", diff)
	}
}

// An invalid note of a peer must not cause refusals or exceed the bounds of the
// ledger.
func TestNoteCheck(t *testing.T) {
	good := Failure{Incarnation: newStart("a")}
	tests := []struct {
		name string
		note Note[Fingerprint]
		ok   bool
	}{
		{"good", Note[Fingerprint]{Failures: []Failure{good}, Succeeded: true, SuccessAge: time.Second}, true},
		{"no failure", Note[Fingerprint]{}, false},
		{"too many", Note[Fingerprint]{Failures: make([]Failure, maxFailures+1)}, false},
		{"no target", Note[Fingerprint]{Failures: []Failure{{}}}, false},
		{"failure in the future", Note[Fingerprint]{Failures: []Failure{{Incarnation: newStart("a"), Age: -1}}}, false},
		{"success in the future", Note[Fingerprint]{Failures: []Failure{good}, SuccessAge: -1}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if err := tc.note.Check(); (err == nil) != tc.ok {
				t.Errorf("error %v, want it to pass: %v", err, tc.ok)
			}
		})
	}
}

// Many requests break off while many targets crash: the ledger must stay within its
// bounds, and a request that is refused all the time must not be forgotten.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for i := range blockThreshold {
		l.RecordFailure(epoch, epoch, testKey(0), newStart(string(rune('a'+i))), 0)
	}
	for i := range 3 * maxOnce {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		l.RecordFailure(now, now, testKey(i+1), newStart(string(rune('a'+i%700))), 0)
		if i%1000 == 0 {
			if _, blocked := l.Blocked(now, testKey(0)); !blocked {
				t.Fatalf("the request is accepted after %d others", i)
			}
		}
	}
	if diff := cmp.Diff([]int{maxOnce + 1, maxStarts}, []int{l.Len(), l.byStart.Len()}); diff != "" {
		t.Errorf("requests and starts (-want +got):\n%s", diff)
	}
	for i := range 3 * maxFailures {
		l.RecordFailure(epoch.Add(time.Duration(i)*time.Second), epoch.Add(time.Duration(i)*time.Second), testKey(0), NewIncarnation("t", epoch.Add(time.Duration(i)*time.Second)), 0)
	}
	n, _ := l.Note(epoch, testKey(0), 1)
	if diff := cmp.Diff(maxFailures, len(n.Failures)); diff != "" {
		t.Errorf("strikes (-want +got):\n%s", diff)
	}
}
