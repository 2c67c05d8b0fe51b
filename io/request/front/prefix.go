package front

import (
	"encoding/json"
	"hash/fnv"
	"strings"
)

// Engines cache prompts in blocks of prefixBlockSize bytes. At most maxPrefixes blocks
// of a prompt are hashed.
const (
	prefixBlockSize = 64
	maxPrefixes     = 64
)

// chatMessage is a message of a chat. Content is either a string or an array of parts.
// An array is hashed as its raw JSON.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prefixHashes returns the hashes of the prompt's prefixes that end at a block
// boundary, the shortest first. The prompt is the role, a newline, the content and a
// newline of each message. The hash is FNV-1a 64, as in the engines' cache events.
func prefixHashes(messages []chatMessage) []uint64 {
	prompt := promptOf(messages)
	n := min(len(prompt)/prefixBlockSize, maxPrefixes)
	out := make([]uint64, 0, n)
	h := fnv.New64a()
	for i := range n {
		_, _ = h.Write([]byte(prompt[i*prefixBlockSize : (i+1)*prefixBlockSize]))
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
		if b.Len() >= prefixBlockSize*maxPrefixes {
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
