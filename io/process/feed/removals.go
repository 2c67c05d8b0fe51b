package feed

import "slices"

// maxRemovals bounds the removals that are remembered; on a large platform,
// 1024 are those of the last minutes. A peer with an older state is sent all
// keys.
const maxRemovals = 1024

// removals holds the items that were removed lately, to be sent to peers.
// Sending all keys at each change would cost the few upstreams bytes in
// proportion to the platform's size times its changes.
type removals struct {
	// completeAfter is the revision after which no removal is missing.
	completeAfter uint64
	items         []Item
}

func (r *removals) add(it Item) {
	r.items = append(r.items, Item{Key: it.Key, Revision: it.Revision, Deleted: true})
	if len(r.items) <= maxRemovals {
		return
	}
	r.completeAfter = max(r.completeAfter, r.items[0].Revision)
	r.items = slices.Delete(r.items, 0, 1)
}

// completeSince reports whether every removal after a revision is remembered.
func (r *removals) completeSince(revision uint64) bool {
	return revision > 0 && revision >= r.completeAfter
}

// has reports whether the removal of an item is remembered.
func (r *removals) has(key string) bool {
	return slices.ContainsFunc(r.items, func(it Item) bool { return it.Key == key })
}

// after returns the removals after a revision.
func (r *removals) after(revision uint64) []Item {
	var out []Item
	for _, it := range r.items {
		if it.Revision > revision {
			out = append(out, it)
		}
	}
	return out
}
