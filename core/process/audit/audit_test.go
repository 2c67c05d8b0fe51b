package audit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/trail"
)

func readLog(t *testing.T, name string) []trail.Decision {
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
	if log.Malformed > 0 {
		t.Fatalf("%d broken lines in %s", log.Malformed, name)
	}
	return log.Decisions
}

// Each log except the first two violates one guarantee, and Check must report
// that guarantee and no other. In the good log a call is marked and then refused,
// a call goes to a second target after the first was not reached, a stream is
// resumed on the same version, a leaving target is chosen within the allowed
// time, and a restarted entry begins at an older revision. The second log is an
// excerpt of what the processes of a demonstration wrote while a side was killed.
func TestCheckReportsTheViolatedGuarantee(t *testing.T) {
	tests := []struct {
		log      string
		violated []Guarantee
	}{
		{"good", nil},
		{"killedSide", nil},
		{"ranTwice", []Guarantee{GuaranteeAtMostOnce}},
		{"requestRanTwice", []Guarantee{GuaranteeAtMostOnce}},
		{"notRunRan", []Guarantee{GuaranteeNotRun}},
		{"outcomesDisagree", []Guarantee{GuaranteeConsistentOutcomes}},
		{"revisionWentBack", []Guarantee{GuaranteeRevisionOrder}},
		{"leavingGotWork", []Guarantee{GuaranteeLeaving}},
		{"orderedUnverified", []Guarantee{GuaranteeVerifiedLoad}},
		{"servesOther", []Guarantee{GuaranteeServedVersion}},
		{"streamChangedVersion", []Guarantee{GuaranteeStreamVersion}},
	}
	for _, tt := range tests {
		t.Run(tt.log, func(t *testing.T) {
			var violated []Guarantee
			for _, r := range Check(Settings{}, readLog(t, tt.log)) {
				if len(r.Violations) > 0 {
					violated = append(violated, r.Guarantee)
				}
			}
			if diff := cmp.Diff(tt.violated, violated); diff != "" {
				t.Errorf("violated guarantees (-want +got):\n%s", diff)
			}
		})
	}
}

// The good log must contain a case of each guarantee. Without one, a check could
// pass in the test above whatever it does.
func TestGoodLogCoversEveryGuarantee(t *testing.T) {
	for _, r := range Check(Settings{}, readLog(t, "good")) {
		if r.Cases == 0 {
			t.Errorf("no case of %q in the good log", r.Guarantee)
		}
	}
}

// A process was killed in the middle of a line and restarted with the same log
// file. The records before and after must be read and the broken line counted, so
// that the reader of the results knows that a record is missing.
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
			if diff := cmp.Diff(tt.broken, got.Malformed); diff != "" {
				t.Errorf("broken lines (-want +got):\n%s", diff)
			}
		})
	}
}
