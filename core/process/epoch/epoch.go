// Package epoch orders the revisions of a store that may be restored from an older copy of
// itself. The store then gives revisions out again, to other writes, and says so by a higher
// epoch. Package feed puts both into one number, so that whatever compares revisions
// (peers, replies, documents) need not know of epochs.
package epoch

// countBits is the number of bits for the store's own count, which last for three years of
// ten thousand writes a second. Bits is what remains for the epoch.
const (
	countBits = 40
	Bits      = 64 - countBits
)

// Revision returns the revision of a store that is in the given epoch at the given count.
// Each revision of an epoch is higher than all of the epochs before it.
func Revision(epoch, count uint64) uint64 { return epoch<<countBits | count }

// Of returns the epoch of a revision.
func Of(revision uint64) uint64 { return revision >> countBits }

// Count returns the store's own count at a revision.
func Count(revision uint64) uint64 { return revision & (1<<countBits - 1) }
