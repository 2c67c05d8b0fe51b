package spread

import (
	"math/bits"

	"hawthornferry/core/version/chunk"
)

// Bits is a set of chunk indexes of one manifest as a bitmap of eight indexes a byte,
// with the lowest index in the lowest bit.
type Bits []byte

// NewBits returns an empty set for n chunks.
func NewBits(n int) Bits { return make(Bits, (n+7)/8) }

// Has reports whether i is in the set; an index out of range is not.
func (b Bits) Has(i int) bool {
	return i >= 0 && i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}

// Set adds i.
func (b Bits) Set(i int) { b[i/8] |= 1 << (i % 8) }

// withIndexes returns b with the given indexes added, grown as needed. Indexes
// outside the range of every manifest are ignored.
func (b Bits) withIndexes(indexes []int) Bits {
	for _, i := range indexes {
		if i < 0 || i >= chunk.MaxChunks {
			continue
		}
		if i/8 >= len(b) {
			b = append(b, make(Bits, i/8+1-len(b))...)
		}
		b.Set(i)
	}
	if b == nil {
		return Bits{}
	}
	return b
}

// Clear removes i.
func (b Bits) Clear(i int) { b[i/8] &^= 1 << (i % 8) }

// Count is the number of indexes in the set.
func (b Bits) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

func (b Bits) indexes() []int {
	var out []int
	for i := range len(b) * 8 {
		if b.Has(i) {
			out = append(out, i)
		}
	}
	return out
}

// countNotIn counts the indexes of b that are not in other.
func (b Bits) countNotIn(other Bits) int {
	n := 0
	for i, x := range b {
		n += bits.OnesCount8(x &^ other.byteAt(i))
	}
	return n
}

func (b Bits) byteAt(i int) byte {
	if i >= len(b) {
		return 0
	}
	return b[i]
}

func (b Bits) clone() Bits { return append(Bits(nil), b...) }
