package expect

import (
	"hash/fnv"
	"strconv"
)

const (
	// BlockSize is the size in bytes of a block of a prompt.
	BlockSize = 64
	// MaxBlocks is the number of leading blocks that are hashed; a longer
	// prompt has no further prefixes.
	MaxBlocks = 256
)

// PrefixHashes returns the hashes of the prompt's prefixes that are whole blocks of
// BlockSize bytes, the shortest prefix first: the 64-bit FNV-1a hash of the
// first block, of the first two, and so on, in hexadecimal without leading
// zeros. An incomplete block at the end has no hash.
func PrefixHashes(prompt string) []string {
	n := min(len(prompt)/BlockSize, MaxBlocks)
	out := make([]string, 0, n)
	h := fnv.New64a()
	for i := range n {
		_, _ = h.Write([]byte(prompt[i*BlockSize : (i+1)*BlockSize]))
		out = append(out, strconv.FormatUint(h.Sum64(), 16))
	}
	return out
}
