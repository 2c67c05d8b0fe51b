package poison

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func testKey(n int) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(n))
	return k
}

func startOf(name string) Start { return StartOf(name, epoch) }

// move is one event at a ledger, on request 1 unless other says another one.
type move struct {
	at    time.Duration
	other int
	// One of these is set: a strike at a target, a good end, or an answer of a
	// target to what was sent before for.
	strike  string
	ran     time.Duration
	success bool
	answer  string
	took    time.Duration
	// listed is a target that is listed.
	listed string
}

// What a request is taken for decides whether its caller is refused: one that
// crashes targets must be, and no other.
func TestStateOfRequests(t *testing.T) {
	three := []move{{at: 0, strike: "a"}, {at: time.Second, strike: "b"}, {at: 2 * time.Second, strike: "c"}}
	then := func(next ...move) []move { return append(three[:3:3], next...) }
	tests := []struct {
		name  string
		moves []move
		at    time.Duration
		want  State
		left  time.Duration
	}{
		{"never seen", nil, 0, StateClear, 0},
		{"once", three[:1], time.Second, StateClear, 0},
		{"twice", three[:2], time.Second, StateSuspected, 0},
		{"three times", three, 4 * time.Second, StateBlocked, blockFor - 2*time.Second},
		{"three times, just now", three, 2*time.Second + undecidedFor/2, StateBlocked, undecidedFor / 2},
		{"its answer had gone on", []move{{strike: "a"}, {strike: "b"}, {strike: "c", ran: ranOn}}, 0, StateSuspected, 0},
		{"three times at one start", []move{{strike: "a"}, {at: 1, strike: "a"}, {at: 2, strike: "a"}}, time.Second, StateClear, 0},
		{"other request", []move{{strike: "a", other: 2}, {strike: "b", other: 2}, {strike: "c", other: 2}}, time.Second, StateClear, 0},
		{"ends well after two", []move{{strike: "a"}, {at: 1, strike: "b"}, {at: 2, success: true}, {at: 3, strike: "c"}}, time.Second, StateClear, 0},
		{"ends well after three", then(move{at: 3 * time.Second, success: true}), 4 * time.Second, StateClear, 0},
		{"on probation", three, blockFor + 2*time.Second, StateBlocked, 0},
		{"once more on probation", then(move{at: blockFor + 3*time.Second, strike: "d"}), blockFor + 4*time.Second, StateBlocked, undecidedFor - time.Second},
		{"a target answers what began before", then(move{at: 3 * time.Second, answer: "b", took: 3 * time.Second}), 4 * time.Second, StateSuspected, 0},
		{"a target answers what began at once after", then(move{at: 2 * time.Second, answer: "b", took: 500 * time.Millisecond}), 4 * time.Second, StateSuspected, 0},
		{"its successor answers", then(move{at: 4 * time.Second, answer: "b", took: 500 * time.Millisecond}), 4 * time.Second, StateBlocked, blockFor - 2*time.Second},
		{"what it sent before is read", then(move{at: 2*time.Second + 20*time.Millisecond, answer: "c", took: time.Second}), 3 * time.Second, StateBlocked, undecidedFor - time.Second},
		{"another answers", then(move{at: 3 * time.Second, answer: "d", took: 3 * time.Second}), 3 * time.Second, StateBlocked, undecidedFor - time.Second},
		{"crashes where it was survived", then(move{at: 3 * time.Second, answer: "c", took: 3 * time.Second}, move{at: 4 * time.Second, strike: "c"}), 4 * time.Second, StateBlocked, undecidedFor},
		{"a target is listed long after", then(move{at: 30 * time.Second, listed: "b"}), 31 * time.Second, StateSuspected, 0},
		{"a target is still listed", then(move{at: 10 * time.Second, listed: "b"}), 11 * time.Second, StateBlocked, blockFor - 9*time.Second},
		{
			"a target has answered and is still listed",
			then(move{at: 4 * time.Second, answer: "b"}, move{at: 8 * time.Second, listed: "b"}), 9 * time.Second, StateSuspected, 0,
		},
		{
			"a target has answered just now",
			then(move{at: 4 * time.Second, answer: "b"}, move{at: 6 * time.Second, listed: "b"}), 7 * time.Second, StateBlocked, blockFor - 5*time.Second,
		},
		{"another is listed", then(move{at: 30 * time.Second, listed: "d"}), 31 * time.Second, StateBlocked, blockFor - 29*time.Second},
		{"forgotten", three, remember + 3*time.Second, StateClear, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			for _, m := range tc.moves {
				play(&l, m)
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

func play(l *Ledger, m move) {
	now, k := epoch.Add(m.at), testKey(max(m.other, 1))
	switch {
	case m.strike != "":
		l.Strike(now, k, startOf(m.strike), m.ran)
	case m.listed != "":
		l.Listed(now, k, map[Start]bool{startOf(m.listed): true})
	case m.success:
		l.Succeeded(now, k)
	default:
		l.Answered(now, now.Add(-m.took), startOf(m.answer))
	}
}

// A target that does not say when it was born may have crashed and be listed again.
func TestUnbornTargetIsNotTakenForTheSame(t *testing.T) {
	var l Ledger
	at := StartOf("a", time.Time{})
	l.Strike(epoch, testKey(1), at, 0)
	if l.Listed(epoch.Add(time.Hour), testKey(1), map[Start]bool{at: true}) {
		t.Error("its strike is void")
	}
}

// Guards against a request that goes on to crash targets, since each time an answer that a
// target sent whole before its crash is read a little later.
func TestAnswerOnItsWayIsNoSignOfLife(t *testing.T) {
	var l Ledger
	for i := range blockAt {
		at := epoch.Add(time.Duration(i) * time.Second)
		start := startOf(string(rune('a' + i)))
		l.Strike(at, testKey(1), start, 0)
		l.Answered(at.Add(readLate-time.Millisecond), at.Add(-time.Second), start)
	}
	if diff := cmp.Diff(StateBlocked, l.State(epoch.Add(blockAt*time.Second), testKey(1))); diff != "" {
		t.Errorf("state after three crashes (-want +got):\n%s", diff)
	}
}

// A target is back under its old id each time: its starts are different ones.
func TestStartsOfOneTargetCountEach(t *testing.T) {
	var l Ledger
	for i := range blockAt {
		l.Strike(epoch, testKey(1), StartOf("a", epoch.Add(time.Duration(i)*time.Second)), 0)
	}
	if diff := cmp.Diff(StateBlocked, l.State(epoch, testKey(1))); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

// Each entry sees one end. What they tell each other must give all the same picture,
// in whatever order and however often it comes, and pass the wire unchanged.
func TestMergedNotesAgree(t *testing.T) {
	var entries [3]Ledger
	for i := range entries {
		entries[i].Strike(epoch.Add(time.Duration(i)*time.Second), testKey(1), startOf(string(rune('a'+i))), 0)
	}
	now := epoch.Add(3 * time.Second)
	var notes []Note
	for i := range entries {
		n, ok := entries[i].Note(now, testKey(1), 1)
		if !ok {
			t.Fatalf("entry %d has nothing to tell", i)
		}
		b, err := msgpack.Marshal(&n)
		if err != nil {
			t.Fatal(err)
		}
		var back Note
		if err := msgpack.Unmarshal(b, &back); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(n, back); diff != "" {
			t.Errorf("note over the wire (-want +got):\n%s", diff)
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
			t.Errorf("entry %d (-want +got):\n%s", i, diff)
		}
		n, _ := entries[i].Note(now.Add(time.Second), testKey(1), 1)
		if entries[i].Merge(now.Add(time.Second), n) {
			t.Errorf("entry %d: its own note is news to it", i)
		}
	}
	entries[0].Succeeded(now, testKey(1))
	cleared, _ := entries[0].Note(now, testKey(1), 1)
	for _, n := range []Note{cleared, notes[0], notes[1], notes[2]} {
		entries[1].Merge(now.Add(50*time.Millisecond), n)
	}
	if diff := cmp.Diff(StateClear, entries[1].State(now, testKey(1))); diff != "" {
		t.Errorf("after a good end elsewhere (-want +got):\n%s", diff)
	}
}

// A peer that sends nonsense must not make anyone refuse, or hold more than it may.
func TestNotesAreChecked(t *testing.T) {
	good := Strike{Start: startOf("a")}
	tests := []struct {
		name string
		note Note
		ok   bool
	}{
		{"good", Note{Strikes: []Strike{good}, Cleared: true, ClearedAgo: time.Second}, true},
		{"no strike", Note{}, false},
		{"too many", Note{Strikes: make([]Strike, maxStrikes+1)}, false},
		{"no target", Note{Strikes: []Strike{{}}}, false},
		{"strike to come", Note{Strikes: []Strike{{Start: startOf("a"), Ago: -1}}}, false},
		{"good end to come", Note{Strikes: []Strike{good}, ClearedAgo: -1}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if err := tc.note.Check(); (err == nil) != tc.ok {
				t.Errorf("error %v, want it to pass: %v", err, tc.ok)
			}
		})
	}
}

// Many requests break off at once as many targets end: memory stays bounded, and a
// request that is refused all the while stays known.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for i := range blockAt {
		l.Strike(epoch, testKey(0), startOf(string(rune('a'+i))), 0)
	}
	for i := range 3 * maxRequests {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		l.Strike(now, testKey(i+1), startOf(string(rune('a'+i%700))), 0)
		if i%1000 == 0 {
			if _, blocked := l.Blocked(now, testKey(0)); !blocked {
				t.Fatalf("the request is let through after %d others", i)
			}
		}
	}
	if diff := cmp.Diff([]int{maxRequests, maxStarts}, []int{l.Len(), l.starts.Len()}); diff != "" {
		t.Errorf("requests and starts (-want +got):\n%s", diff)
	}
	for i := range 3 * maxStrikes {
		l.Strike(epoch.Add(time.Duration(i)*time.Second), testKey(0), StartOf("t", epoch.Add(time.Duration(i)*time.Second)), 0)
	}
	n, _ := l.Note(epoch, testKey(0), 1)
	if diff := cmp.Diff(maxStrikes, len(n.Strikes)); diff != "" {
		t.Errorf("strikes (-want +got):\n%s", diff)
	}
}
