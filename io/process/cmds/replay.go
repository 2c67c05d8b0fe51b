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
	"hawthornferry/core/process/fault"
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
		broken += log.Broken
	}
	results := audit.Check(audit.Settings{Leaving: r.Leaving}, records)
	fmt.Fprintf(out.stdout, "%d decisions from %d logs, %d broken lines\n", len(records), len(names), broken)
	if err := printResults(out.stdout, results); err != nil {
		return err
	}
	if n := audit.Missed(results); n > 0 {
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
		return nil, errors.Mark(fault.At("find logs", path, err), errInput)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, errors.Mark(fault.At("list logs", path, err), errInput)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && slices.Contains(logSuffixes, filepath.Ext(e.Name())) {
			names = append(names, filepath.Join(path, e.Name()))
		}
	}
	return names, nil
}

func readLog(name string) (audit.Log, error) {
	f, err := os.Open(name)
	if err != nil {
		return audit.Log{}, errors.Mark(fault.At("open log", name, err), errInput)
	}
	defer f.Close()
	log, err := audit.Read(name, f)
	if err != nil {
		return audit.Log{}, errors.Mark(err, errInput)
	}
	return log, nil
}

// printResults prints a table with a row for each outcome, then the records that
// miss one.
func printResults(w io.Writer, results []audit.Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "outcome\tcases\tmissed\tverdict")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\n", r.Outcome, r.Checked, len(r.Misses), resultVerdict(r))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		for _, m := range r.Misses[:min(len(r.Misses), maxPrintedMisses)] {
			fmt.Fprintf(w, "missed: %s: %v\n", r.Outcome, m)
		}
	}
	return nil
}

func resultVerdict(r audit.Result) string {
	switch {
	case len(r.Misses) > 0:
		return "missed"
	case r.Checked == 0:
		return "no case"
	}
	return "met"
}
