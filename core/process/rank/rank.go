// Package rank orders members by rendezvous hashing (highest random weight).
// Processes that see the same members agree on an order without communicating,
// and adding or removing a member only affects the keys for which that member
// ranks first. It is used to choose among processes, targets and peers
// throughout the system.
package rank

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order returns the members sorted by descending score for key. The input is
// not modified. Ties are broken by name.
func Order[T any](key string, members []T, name func(T) string) []T {
	scored := make([]scored[T], 0, len(members))
	for _, m := range members {
		scored = append(scored, newScored(key, m, name(m)))
	}
	slices.SortFunc(scored, compare[T])
	out := make([]T, 0, len(scored))
	for _, s := range scored {
		out = append(out, s.member)
	}
	return out
}

// Position returns the rank of self in the order for key, starting at 0, or -1
// if self is not among the members. It does not allocate.
func Position(key, self string, members []string) int {
	selfScore := Score(key, self)
	position := 0
	found := false
	for _, m := range members {
		if m == self {
			found = true
			continue
		}
		s := Score(key, m)
		if s > selfScore || (s == selfScore && m < self) {
			position++
		}
	}
	if !found {
		return -1
	}
	return position
}

// Score returns the rendezvous weight of member for key.
func Score(key, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

type scored[T any] struct {
	member T
	name   string
	score  uint64
}

func newScored[T any](key string, m T, name string) scored[T] {
	return scored[T]{member: m, name: name, score: Score(key, name)}
}

func compare[T any](a, b scored[T]) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// mix is the finalizer of MurmurHash3. For short inputs FNV leaves little
// entropy in the high bits; without mix, names with a common prefix would rank
// alike for many keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
