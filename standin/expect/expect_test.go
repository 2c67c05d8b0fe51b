package expect

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/version/chunk"
)

func TestMatch(t *testing.T) {
	one, two := chunk.DigestOf([]byte("one")), chunk.DigestOf([]byte("two"))
	whole := NewAnswer(one, "prompt").Text(8)
	mixed := NewAnswer(one, "prompt").Text(4) + strings.TrimPrefix(NewAnswer(two, "prompt").Text(8), NewAnswer(two, "prompt").Text(4))
	tests := []struct {
		name   string
		prompt string
		text   string
		want   chunk.Digest
		ok     bool
	}{
		{name: "whole", prompt: "prompt", text: whole, want: one, ok: true},
		{name: "other version", prompt: "prompt", text: NewAnswer(two, "prompt").Text(8), want: two, ok: true},
		{name: "two versions", prompt: "prompt", text: mixed},
		{name: "another prompt's", prompt: "other", text: whole},
		{name: "one token short", prompt: "prompt", text: NewAnswer(one, "prompt").Text(7)},
	}
	for _, tc := range tests {
		got, ok := Match([]chunk.Digest{one, two}, tc.prompt, tc.text, 8)
		if got != tc.want || ok != tc.ok {
			t.Errorf("%s: Match = %q, %v, want %q, %v", tc.name, got, ok, tc.want, tc.ok)
		}
	}
}

func TestPrefixes(t *testing.T) {
	block := strings.Repeat("a", BlockSize)
	long := PrefixHashes(block + block + "rest")
	if diff := cmp.Diff(2, len(long)); diff != "" {
		t.Errorf("prefixes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(PrefixHashes(block), long[:1]); diff != "" {
		t.Errorf("first prefix (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(MaxBlocks, len(PrefixHashes(strings.Repeat(block, MaxBlocks+1)))); diff != "" {
		t.Errorf("most prefixes (-want +got):\n%s", diff)
	}
}
