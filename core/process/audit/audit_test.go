package audit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/trail"
)

func readTrace(t *testing.T, name string) []trail.Decision {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", name+".jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	log, err := Read(name, f)
	if err != nil {
		t.Fatal(err)
	}
	if log.Broken > 0 {
		t.Fatalf("%d broken lines in %s", log.Broken, name)
	}
	return log.Decisions
}

// Each trace but the first two breaks a promise, and the rules must name that
// promise and no other. In the good one a call is marked and then refused, a
// call goes to a second target after the first was not reached, a stream is
// resumed on its version, a target is chosen within the bound of its leaving,
// and a restarted entry begins at an older revision. The second is a part of
// what processes of a demonstration wrote while a side was killed.
func TestCheckNamesTheMissedOutcome(t *testing.T) {
	tests := []struct {
		trace  string
		missed []Outcome
	}{
		{"good", nil},
		{"killedSide", nil},
		{"ranTwice", []Outcome{OutcomeOnce}},
		{"requestRanTwice", []Outcome{OutcomeOnce}},
		{"notRunRan", []Outcome{OutcomeNotRun}},
		{"outcomesDisagree", []Outcome{OutcomeHistory}},
		{"revisionWentBack", []Outcome{OutcomeRevision}},
		{"leavingGotWork", []Outcome{OutcomeLeaving}},
		{"orderedUnverified", []Outcome{OutcomeWhole}},
		{"servesOther", []Outcome{OutcomeServed}},
		{"streamChangedVersion", []Outcome{OutcomeStream}},
	}
	for _, tt := range tests {
		t.Run(tt.trace, func(t *testing.T) {
			var missed []Outcome
			for _, r := range Check(Settings{}, readTrace(t, tt.trace)) {
				if len(r.Misses) > 0 {
					missed = append(missed, r.Outcome)
				}
			}
			if diff := cmp.Diff(tt.missed, missed); diff != "" {
				t.Errorf("missed outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// A good trace must hold a case of each outcome; one that is never met would
// pass whatever the rule says.
func TestGoodTraceMeetsEveryOutcome(t *testing.T) {
	for _, r := range Check(Settings{}, readTrace(t, "good")) {
		if r.Checked == 0 {
			t.Errorf("no case of %q in the good trace", r.Outcome)
		}
	}
}

// A process was killed in the middle of a line and started again on the same
// file. The records before and after are read and the broken line is counted,
// so that whoever reads the verdict knows that something is missing.
func TestReadCountsBrokenLines(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		want   int
		broken int
	}{
		{"whole", `{"area":"call"}` + "\n" + `{"msg":"other"}` + "\nplain text\n", 1, 0},
		{"cut at the end", `{"area":"call"}` + "\n" + `{"area":"ca`, 1, 1},
		{"cut and started again", `{"area":"ca{"area":"call"}` + "\n" + `{"area":"call"}` + "\n", 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Read("log", strings.NewReader(tt.text))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, len(got.Decisions)); diff != "" {
				t.Errorf("records (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.broken, got.Broken); diff != "" {
				t.Errorf("broken lines (-want +got):\n%s", diff)
			}
		})
	}
}
