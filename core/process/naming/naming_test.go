package naming

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Statements about one naming come in any order: what this process can rule out,
// what peers heard, some of them late, when the store was back. The result is the
// same in every order. It is never later than the earliest that heard, nor, without
// one, than the earliest return; and never earlier than what a process rules out
// while neither has been stated.
func TestOrderOfStatementsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Model: "m", Version: rapid.Uint64Range(2, 4).Draw(t, "version"),
				Since: time.Duration(rapid.IntRange(0, 20).Draw(t, "since")) * time.Second,
				Heard: rapid.Bool().Draw(t, "heard"), Returned: rapid.Bool().Draw(t, "returned"),
				Read: rapid.Bool().Draw(t, "read"),
			}
		}), 1, 8).Draw(t, "statements")
		var l, shuffled Ledger
		for _, n := range statements {
			l.Add(n)
		}
		for _, n := range rapid.Permutation(statements).Draw(t, "order") {
			shuffled.Add(n)
		}
		if diff := cmp.Diff(l.All(), shuffled.All()); diff != "" {
			t.Fatalf("in another order (-want +got):\n%s", diff)
		}
		for _, got := range l.All() {
			for _, n := range statements {
				if n.Version != got.Version {
					continue
				}
				if n.Heard && (!got.Heard || got.Since > n.Since) {
					t.Fatalf("%+v, though %+v heard", got, n)
				}
				if !got.Heard && n.Returned && (!got.Returned || got.Since > n.Since) {
					t.Fatalf("%+v, though the store was back for %+v", got, n)
				}
				if !got.Heard && !got.Returned && got.Since < n.Since {
					t.Fatalf("%+v, though %+v rules it out", got, n)
				}
			}
		}
	})
}

// The oldest versions are dropped, model by model, and only the newest of a
// model leaves a question open.
func TestOldVersionsAreDropped(t *testing.T) {
	var l Ledger
	l.Add(Entry{Model: "other", Version: 1, Heard: true})
	for v := range uint64(mostKept + 3) {
		l.Add(Entry{Model: "m", Version: v + 1, Heard: v > 4})
	}
	all := l.All()
	if diff := cmp.Diff(mostKept+1, len(all)); diff != "" {
		t.Errorf("namings kept (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(uint64(4), all[0].Version); diff != "" {
		t.Errorf("oldest version kept (-want +got):\n%s", diff)
	}
	if l.Unresolved() {
		t.Error("a replaced version leaves a question open")
	}
	l.Add(Entry{Model: "other", Version: 2})
	if !l.Unresolved() {
		t.Error("a newest version that nobody heard of leaves no question open")
	}
}

// A version is found at the end of an outage, and a peer says what it knows of it.
// Only one from which the store was away as well, and that knows of nobody who heard,
// makes it count from the return; else engines were told of it in time, and callers'
// requests would begin on the old one past the bound.
func TestWhoIsAWitnessOfAnOutage(t *testing.T) {
	const last, back = time.Second, 9 * time.Second
	tests := []struct {
		name  string
		reply Reply
		told  []Statement
		want  bool
	}{
		{"still away", Reply{Away: true}, nil, true},
		{"was away", Reply{}, []Statement{{Away: true}}, true},
		{"in touch, without the version", Reply{}, nil, false},
		{"in touch, with the version", Reply{}, []Statement{{}}, false},
		{"was away, and was told that somebody heard", Reply{}, []Statement{{Away: true, Heard: true}}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			l.Add(Entry{Model: "m", Version: 2, Since: last, Read: true, Until: back, Away: true})
			for i := range tc.told {
				tc.told[i].Model, tc.told[i].Version, tc.told[i].Age = "m", 2, time.Minute
			}
			// The answer is slow, so that what somebody heard is not taken from it.
			tc.reply.Asked, tc.reply.Got = back, back+2*MostRoundTrip
			l.Take(tc.reply, tc.told, func(time.Duration) bool { return true })
			want := Entry{Model: "m", Version: 2, Since: last, Read: true, Until: back, Away: true}
			if tc.want {
				want.Since, want.Returned = back, true
			}
			if diff := cmp.Diff([]Entry{want}, l.All()); diff != "" {
				t.Errorf("namings (-want +got):\n%s", diff)
			}
		})
	}
}
