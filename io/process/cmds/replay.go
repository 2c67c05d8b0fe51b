package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/audit"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
)

func init() {
	register(command{
		name: "replay",
		help: "checks recorded decision logs against the stated outcomes",
		make: func() runner { return &replayCommand{} },
	})
}

// maxPrintedMisses limits the misses that are printed for one outcome.
const maxPrintedMisses = 20

// replayCommand checks decision logs against the outcomes that the system promises.
type replayCommand struct {
	Logs    string        `key:"logs" arg:"1" need:"true" help:"a log of JSON lines, or a directory of them"`
	Leaving time.Duration `key:"leaving" default:"5s" min:"0s" max:"10m" help:"how long a leaving target may still get new work"`
}

func (r *replayCommand) run(_ context.Context, out output) error {
	names, err := logNames(r.Logs)
	if err != nil {
		return err
	}
	var records []trail.Decision
	broken := 0
	for _, name := range names {
		log, err := readLog(name)
		if err != nil {
			return err
		}
		records = append(records, log.Decisions...)
		broken += log.Malformed
	}
	results := audit.Check(audit.Settings{LeavingGrace: r.Leaving}, records)
	fmt.Fprintf(out.stdout, "%d decisions from %d logs, %d broken lines\n", len(records), len(names), broken)
	if err := printResults(out.stdout, results); err != nil {
		return err
	}
	if n := audit.CountViolations(results); n > 0 {
		return errors.Newf("%d records violate a stated outcome", n)
	}
	return nil
}

// logSuffixes are the file name extensions that are read in a directory.
var logSuffixes = []string{".decisions", ".jsonl", ".log"}

// logNames returns path itself if it is a file, or the logs in it if it is a
// directory.
func logNames(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Mark(operr.Wrap("find logs", path, err), errInput)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Mark(operr.Wrap("list logs", path, err), errInput)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && slices.Contains(logSuffixes, filepath.Ext(e.Name())) {
			names = append(names, filepath.Join(path, e.Name()))
		}
	}
	return names, nil
}

func readLog(name string) (audit.ParsedLog, error) {
	f, err := os.Open(name)
	if err != nil {
		return audit.ParsedLog{}, errors.Mark(operr.Wrap("open log", name, err), errInput)
	}
	defer f.Close()
	log, err := audit.Read(name, f)
	if err != nil {
		return audit.ParsedLog{}, errors.Mark(err, errInput)
	}
	return log, nil
}

// printResults prints a table with a row for each outcome, then the records that
// miss one.
func printResults(w io.Writer, results []audit.Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "outcome\tcases\tmissed\tverdict")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\n", r.Guarantee, r.Cases, len(r.Violations), resultVerdict(r))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		for _, m := range r.Violations[:min(len(r.Violations), maxPrintedMisses)] {
			fmt.Fprintf(w, "missed: %s: %v\n", r.Guarantee, m)
		}
	}
	return nil
}

func resultVerdict(r audit.Result) string {
	switch {
	case len(r.Violations) > 0:
		return "missed"
	case r.Cases == 0:
		return "no case"
	}
	return "met"
}
