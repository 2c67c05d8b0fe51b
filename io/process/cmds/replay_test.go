package cmds

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Scripts depend on the exit code: 0 if every stated outcome was met, 1 if a record
// violates one, 2 if the logs cannot be read.
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
