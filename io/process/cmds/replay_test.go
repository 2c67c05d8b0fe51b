package cmds

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// An operator's script goes by the exit code: 0 when every promise was met,
// 1 when a record breaks one, 2 when the logs can not be read.
func TestReplayExitCodes(t *testing.T) {
	const traces = "../../../core/process/audit/testdata/"
	tests := []struct {
		path string
		want int
	}{
		{traces + "good.jsonl", exitOK},
		{traces + "ranTwice.jsonl", exitFailure},
		{traces, exitFailure},
		{traces + "none.jsonl", exitInput},
	}
	for _, tt := range tests {
		var stdout, stderr bytes.Buffer
		got := Main([]string{"replay", tt.path}, &stdout, &stderr)
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: exit code (-want +got):\n%s\n%s", tt.path, diff, stderr.String())
		}
	}
}
