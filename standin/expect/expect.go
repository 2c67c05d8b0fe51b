// Package expect says what a stand-in engine answers, so that a caller can
// tell a whole answer of one version from any other.
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

// Prompt is the text that stands for a chat: role, newline, content and
// newline of each message in order.
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

// NewAnswer returns the answer that an engine serving the manifest gives to
// the prompt.
func NewAnswer(manifest chunk.Digest, prompt string) Answer {
	h := fnv.New64a()
	_, _ = h.Write([]byte(manifest))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return Answer{seed: h.Sum64()}
}

// Token is the token at a position, the first being 0. It ends in a space.
func (a Answer) Token(position int) string {
	x := mix(a.seed + uint64(position)*0x9e3779b97f4a7c15)
	return strconv.FormatUint(x>>32, 36) + " "
}

// Text is the first n tokens.
func (a Answer) Text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// Match returns the version among candidates whose answer to the prompt is
// exactly text of n tokens, and false when none is.
func Match(candidates []chunk.Digest, prompt, text string, n int) (chunk.Digest, bool) {
	for _, c := range candidates {
		if NewAnswer(c, prompt).Text(n) == text {
			return c, true
		}
	}
	return "", false
}

// mix is the finalizer of a 64-bit hash: every input bit reaches the high
// bits, of which the tokens are made.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
