package expect

import (
	"hash/fnv"
	"strconv"
)

// Bounds of a prompt's prefixes.
const (
	BlockSize = 64
	MaxBlocks = 256
)

// Prefixes returns the hashes of the prompt's leading whole blocks of
// BlockSize bytes, the shortest prefix first: the FNV-1a 64 of the first
// block, of the first two, and so on, in hexadecimal without leading zeros.
func Prefixes(prompt string) []string {
	n := min(len(prompt)/BlockSize, MaxBlocks)
	out := make([]string, 0, n)
	h := fnv.New64a()
	for i := range n {
		_, _ = h.Write([]byte(prompt[i*BlockSize : (i+1)*BlockSize]))
		out = append(out, strconv.FormatUint(h.Sum64(), 16))
	}
	return out
}
