package verlog

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Entries about one version are added in any order: lower bounds, exact times
// of which some are late, and returns of the store. The result doesn't depend
// on the order. It is no later than the earliest exact time or, without one,
// than the earliest return; without either it is no earlier than any lower
// bound.
func TestOrderOfStatementsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return Entry{
				Model: "m", Version: rapid.Uint64Range(2, 4).Draw(t, "version"),
				Since: time.Duration(rapid.IntRange(0, 20).Draw(t, "since")) * time.Second,
				Exact: rapid.Bool().Draw(t, "heard"), FromReturn: rapid.Bool().Draw(t, "returned"),
				Read: rapid.Bool().Draw(t, "read"),
			}
		}), 1, 8).Draw(t, "statements")
		var l, shuffled Log
		for _, n := range statements {
			l.Add(n)
		}
		for _, n := range rapid.Permutation(statements).Draw(t, "order") {
			shuffled.Add(n)
		}
		if diff := cmp.Diff(l.All(), shuffled.All()); diff != "" {
			t.Fatalf("entries after adding in another order (-want +got):\n%s", diff)
		}
		for _, got := range l.All() {
			for _, n := range statements {
				if n.Version != got.Version {
					continue
				}
				if n.Exact && (!got.Exact || got.Since > n.Since) {
					t.Fatalf("got %+v, want it no later than the exact %+v", got, n)
				}
				if !got.Exact && n.FromReturn && (!got.FromReturn || got.Since > n.Since) {
					t.Fatalf("got %+v, want it no later than the store's return in %+v", got, n)
				}
				if !got.Exact && !got.FromReturn && got.Since < n.Since {
					t.Fatalf("got %+v, want it no earlier than the lower bound %+v", got, n)
				}
			}
		}
	})
}

// The oldest versions are dropped for each model separately, and only a model's
// newest version can be unresolved.
func TestOldVersionsAreDropped(t *testing.T) {
	var l Log
	l.Add(Entry{Model: "other", Version: 1, Exact: true})
	for v := range uint64(maxVersionsPerModel + 3) {
		l.Add(Entry{Model: "m", Version: v + 1, Exact: v > 4})
	}
	all := l.All()
	if diff := cmp.Diff(maxVersionsPerModel+1, len(all)); diff != "" {
		t.Errorf("number of entries kept (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(uint64(4), all[0].Version); diff != "" {
		t.Errorf("oldest version kept (-want +got):\n%s", diff)
	}
	if l.Unresolved() {
		t.Error("a replaced version is unresolved")
	}
	l.Add(Entry{Model: "other", Version: 2})
	if !l.Unresolved() {
		t.Error("a newest version that nobody saw announced is not unresolved")
	}
}

// A version is found when the store becomes reachable again, and a peer reports
// what it knows of it. The version counts from the store's return only if the
// store was unreachable for the peer too and the peer knows of no process that
// saw the announcement. Otherwise engines were told of it in time, and requests
// would start on the old version after its time limit.
func TestOutageReturnNeedsPeerThatWasAlsoCutOff(t *testing.T) {
	const last, back = time.Second, 9 * time.Second
	tests := []struct {
		name  string
		reply Reply
		told  []VersionReport
		want  bool
	}{
		{"still unreachable", Reply{StoreUnreachable: true}, nil, true},
		{"was unreachable", Reply{}, []VersionReport{{StoreUnreachable: true}}, true},
		{"connected, without the version", Reply{}, nil, false},
		{"connected, with the version", Reply{}, []VersionReport{{}}, false},
		{"was unreachable, and knows that somebody saw it", Reply{}, []VersionReport{{StoreUnreachable: true, Exact: true}}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l Log
			l.Add(Entry{Model: "m", Version: 2, Since: last, Read: true, ReadAt: back, StoreUnreachable: true})
			for i := range tc.told {
				tc.told[i].Model, tc.told[i].Version, tc.told[i].Age = "m", 2, time.Minute
			}
			// The answer is slow, so that its exact times are not used.
			tc.reply.Asked, tc.reply.Got = back, back+2*MaxRoundTrip
			l.Merge(tc.reply, tc.told, func(time.Duration) bool { return true })
			want := Entry{Model: "m", Version: 2, Since: last, Read: true, ReadAt: back, StoreUnreachable: true}
			if tc.want {
				want.Since, want.FromReturn = back, true
			}
			if diff := cmp.Diff([]Entry{want}, l.All()); diff != "" {
				t.Errorf("entries (-want +got):\n%s", diff)
			}
		})
	}
}
