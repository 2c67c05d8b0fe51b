package front

import (
	"encoding/json"
	"hash/fnv"
	"strings"
)

// Blocks of a prompt by which engines cache it, in bytes and in number.
const (
	prefixBlock = 64
	maxPrefixes = 64
)

// chatMessage is one message of a chat. Content is text, or the parts of the
// longer form, which count as they are written.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prefixes returns the hashes of the prompt's leading whole blocks, the
// shortest prefix first: FNV-1a 64 over role, newline, content and newline
// of each message, as the engines name them in their cache events.
func prefixes(messages []chatMessage) []uint64 {
	prompt := promptOf(messages)
	n := min(len(prompt)/prefixBlock, maxPrefixes)
	out := make([]uint64, 0, n)
	h := fnv.New64a()
	for i := range n {
		_, _ = h.Write([]byte(prompt[i*prefixBlock : (i+1)*prefixBlock]))
		out = append(out, h.Sum64())
	}
	return out
}

func promptOf(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(contentOf(m.Content))
		b.WriteByte('\n')
		if b.Len() >= prefixBlock*maxPrefixes {
			break
		}
	}
	return b.String()
}

func contentOf(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}
