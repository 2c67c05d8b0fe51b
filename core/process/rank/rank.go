// Package rank orders members by rendezvous hash, so that processes which see
// the same members agree on an order without speaking to each other, and a
// member that comes or goes moves only what it itself ranked first for.
package rank

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order returns the members sorted for key, the highest score first. The
// input is left as it is. Ties are broken by name.
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

// Position returns the place of self in the order for key, 0 being the
// first, and -1 when self is not among the members. It allocates nothing.
func Position(key, self string, members []string) int {
	mine := Score(key, self)
	place := 0
	found := false
	for _, m := range members {
		if m == self {
			found = true
			continue
		}
		s := Score(key, m)
		if s > mine || (s == mine && m < self) {
			place++
		}
	}
	if !found {
		return -1
	}
	return place
}

// Score is the rendezvous weight of member for key.
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

// mix spreads the low entropy that FNV leaves in the high bits for short
// inputs; without it names with a common prefix rank alike for many keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
