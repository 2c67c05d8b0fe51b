package aged

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A table that is fed without end for weeks must stay at its bound and never
// hand out what is too old: a model of plain maps runs beside it.
func TestTableStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxEntries = 8
		tab := &Table[int, int]{Max: maxEntries, Age: 10 * time.Second}
		now := time.Unix(0, 0)
		put := map[int]time.Time{}
		n := rapid.IntRange(1, 200).Draw(t, "n")
		for i := range n {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "step")) * time.Second)
			k := rapid.IntRange(0, 20).Draw(t, "key")
			if rapid.Bool().Draw(t, "put") {
				tab.Put(now, k, i)
				put[k] = now
			}
			if _, ok := tab.Get(now, k); ok && now.Sub(put[k]) > tab.Age {
				t.Fatalf("key %d is %v old and still there", k, now.Sub(put[k]))
			}
			if tab.Len() > maxEntries {
				t.Fatalf("%d entries, want at most %d", tab.Len(), maxEntries)
			}
		}
	})
}
