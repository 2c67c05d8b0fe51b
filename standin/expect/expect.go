// Package expect computes the answers of the stand-in engine, which depend only
// on the manifest, the prompt and the token's position. The engine generates
// its answers with it, and package caller checks with it that an answer is
// complete and comes from one version.
package expect

import (
	"hash/fnv"
	"strconv"
	"strings"

	"hawthornferry/core/version/chunk"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns a chat as one text: for each message in order the role, a
// newline, the content and a newline.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Answer is the answer of one version to one prompt.
type Answer struct {
	seed uint64
}

// NewAnswer returns the answer to the prompt of an engine that serves the
// manifest.
func NewAnswer(manifest chunk.Digest, prompt string) Answer {
	h := fnv.New64a()
	_, _ = h.Write([]byte(manifest))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return Answer{seed: h.Sum64()}
}

// Token returns the token at a position, counted from 0. It ends in a space.
func (a Answer) Token(position int) string {
	x := mix(a.seed + uint64(position)*0x9e3779b97f4a7c15)
	return strconv.FormatUint(x>>32, 36) + " "
}

// Text returns the first n tokens as one string.
func (a Answer) Text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// Match returns the candidate whose first n tokens of the answer to the prompt
// are exactly text. It returns false when there is none.
func Match(candidates []chunk.Digest, prompt, text string, n int) (chunk.Digest, bool) {
	for _, c := range candidates {
		if NewAnswer(c, prompt).Text(n) == text {
			return c, true
		}
	}
	return "", false
}

// mix is the finalizer of the 64-bit MurmurHash3: every input bit affects the
// high bits, from which Token makes the token.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
