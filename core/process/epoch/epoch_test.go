package epoch

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRevisionsAreOrderedByEpochThenCount(t *testing.T) {
	type parts struct{ Epoch, Count uint64 }
	want := []parts{{0, 0}, {0, 7}, {1, 1}, {1, 1<<countBits - 1}, {2, 0}, {1<<Bits - 1, 3}}
	var revisions []uint64
	var got []parts
	for _, p := range want {
		r := Revision(p.Epoch, p.Count)
		revisions = append(revisions, r)
		got = append(got, parts{Of(r), Count(r)})
	}
	if !slices.IsSorted(revisions) {
		t.Errorf("not in ascending order: %v", revisions)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("epochs and counts (-want +got):\n%s", diff)
	}
}
