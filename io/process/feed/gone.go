package feed

import "slices"

// mostGone bounds the removals that are remembered: those of the last minutes on a
// large platform. A peer whose belief is older is told every key there is.
const mostGone = 1024

// removals are the items that were removed lately, so that peers are told of
// these. To tell them every key at each change would take bytes in proportion to
// the platform's size times its changes, from the few processes that tell the rest.
type removals struct {
	// from is the revision after which none is missing.
	from  uint64
	items []Item
}

func (r *removals) add(it Item) {
	r.items = append(r.items, Item{Key: it.Key, Revision: it.Revision, Deleted: true})
	if len(r.items) <= mostGone {
		return
	}
	r.from = max(r.from, r.items[0].Revision)
	r.items = slices.Delete(r.items, 0, 1)
}

// since reports whether every removal after a revision is remembered.
func (r *removals) since(revision uint64) bool { return revision > 0 && revision >= r.from }

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
