package table

import "slices"

// AllowedRegions is the set of regions in which a request may be served and its body
// kept. The zero value allows every region.
type AllowedRegions struct {
	limited bool
	names   []string
}

// OnlyRegions returns a set with just the given regions. Without any, it allows none.
func OnlyRegions(names ...string) AllowedRegions {
	return AllowedRegions{limited: true, names: slices.Sorted(slices.Values(names))}
}

// Limited reports whether any region is excluded.
func (a AllowedRegions) Limited() bool { return a.limited }

// Allows reports whether a request may be served in a region. The empty name stands for
// an unknown region, which only an unlimited set allows.
func (a AllowedRegions) Allows(region string) bool {
	return !a.limited || region != "" && slices.Contains(a.names, region)
}

// Intersect returns the regions that both sets allow.
func (a AllowedRegions) Intersect(b AllowedRegions) AllowedRegions {
	switch {
	case !a.limited:
		return b
	case !b.limited:
		return a
	}
	return OnlyRegions(slices.DeleteFunc(slices.Clone(a.names), func(n string) bool { return !b.Allows(n) })...)
}

// Equal reports whether both sets allow the same regions.
func (a AllowedRegions) Equal(b AllowedRegions) bool {
	return a.limited == b.limited && slices.Equal(a.names, b.names)
}
