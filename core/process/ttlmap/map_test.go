package ttlmap

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A table that receives new entries for weeks must never exceed its maximum size
// and never return an expired entry. The test compares its entries with the times
// of the last Put, kept in a plain map.
func TestTableStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxEntries = 8
		table := &Map[int, int]{MaxEntries: maxEntries, TTL: 10 * time.Second}
		now := time.Unix(0, 0)
		putAt := map[int]time.Time{}
		n := rapid.IntRange(1, 200).Draw(t, "n")
		for i := range n {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "step")) * time.Second)
			k := rapid.IntRange(0, 20).Draw(t, "key")
			if rapid.Bool().Draw(t, "put") {
				table.Put(now, k, i)
				putAt[k] = now
			}
			if _, ok := table.Get(now, k); ok && now.Sub(putAt[k]) > table.TTL {
				t.Fatalf("key %d was put %v ago and has not expired", k, now.Sub(putAt[k]))
			}
			if table.Len() > maxEntries {
				t.Fatalf("%d entries, want at most %d", table.Len(), maxEntries)
			}
		}
	})
}
