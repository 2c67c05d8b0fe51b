package demo

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"hawthornferry/standin/caller"
)

// The files that script/demo.sh writes: the summary of the callers, the summary
// of the run that alternates between entries and direct calls, if there was one,
// and the resident memory of the processes, a line for each reading with the
// moment, the process's name and KiB.
const (
	callersFile  = "callers.json"
	overheadFile = "overhead.json"
	memoryFile   = "memory"
)

// Report has the results of a demonstration. NoFaults is set for a run without
// injected faults, in which no call's outcome may be unknown.
type Report struct {
	Fleet    *Fleet
	Rollout  Rollout
	Callers  caller.Summary
	Overhead []caller.Overhead
	Memory   []MemoryReading
	NoFaults bool
}

// MemoryReading is the resident memory of a process at a moment of the run, which
// When names.
type MemoryReading struct {
	When string
	Name string
	KiB  int64
}

// LoadReport reads the files of the demonstration's directory.
func LoadReport(dir string, number int, noFaults bool) (*Report, error) {
	f, err := LoadFleet(dir)
	if err != nil {
		return nil, err
	}
	r := &Report{Fleet: f, NoFaults: noFaults}
	if err := readJSON(rolloutPath(dir, number), &r.Rollout); err != nil {
		return nil, err
	}
	if err := readJSON(filepath.Join(dir, callersFile), &r.Callers); err != nil {
		return nil, err
	}
	var overhead caller.Summary
	if err := readJSON(filepath.Join(dir, overheadFile), &overhead); err == nil {
		r.Overhead = overhead.Overhead
	}
	r.Memory, err = readMemory(filepath.Join(dir, memoryFile))
	return r, err
}

func readMemory(path string) ([]MemoryReading, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read memory")
	}
	defer f.Close()
	var out []MemoryReading
	s := bufio.NewScanner(f)
	for s.Scan() {
		var m MemoryReading
		if _, err := fmt.Sscan(s.Text(), &m.When, &m.Name, &m.KiB); err != nil {
			return nil, errors.Wrapf(err, "read memory %q", s.Text())
		}
		out = append(out, m)
	}
	return out, s.Err()
}

// Failures returns a text for each result that is not as required.
func (r *Report) Failures() []string {
	c := r.Callers
	var out []string
	check := func(failed bool, format string, args ...any) {
		if failed {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(!r.Rollout.Served(), "%d of %d replicas serve the version", r.Rollout.Serving, r.Rollout.Replicas)
	check(c.Total.Done == 0, "no request was done")
	for _, row := range c.Rows {
		check(row.Done == 0, "no %s call was done", row.Kind)
	}
	check(c.Total.NotWhole > 0, "%d answers were not whole", c.Total.NotWhole)
	check(c.Once.Duplicates > 0, "%d calls ran twice", c.Once.Duplicates)
	check(c.Once.FalseNotRun > 0, "%d calls ran that were told notRun", c.Once.FalseNotRun)
	check(c.Once.FalseDone > 0, "%d calls did not run that were told done", c.Once.FalseDone)
	check(r.NoFaults && c.Total.Unknown > 0, "%d outcomes were unknown without a fault", c.Total.Unknown)
	check(len(c.Versions) < 2, "answers came from %d versions, want both", len(c.Versions))
	return out
}

// Print writes the results as a table.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { fmt.Fprintf(w, name+"\t"+format+"\n", args...) }
	c := r.Callers
	line("time until replicas serve", "%.1f s for %d of %d; the links' bound is %.1f s",
		r.Rollout.Seconds, r.Rollout.Serving, r.Rollout.Replicas, r.Rollout.Bound)
	line("origin bytes", "%.3f copies (%d bytes of a version of %d)",
		r.Rollout.Copies(), r.Rollout.OriginBytes, r.Rollout.Version.Size)
	line("requests done", "%d", c.Total.Done)
	line("requests notRun", "%d", c.Total.NotRun)
	line("requests unknown", "%d", c.Total.Unknown)
	line("duplicates seen by the services", "%d of %d keys", c.Once.Duplicates, c.Once.Calls)
	line("answers not whole", "%d", c.Total.NotWhole)
	line("told notRun, yet ran", "%d", c.Once.FalseNotRun)
	line("told done, yet did not run", "%d", c.Once.FalseDone)
	for _, row := range c.Rows {
		r.row(line, row)
	}
	for _, a := range r.Overhead {
		line("added to "+string(a.Kind)+" calls", "p50 %s p99 %s; %.2f of the calls a second",
			millis(a.P50), millis(a.P99), a.Ratio)
	}
	for _, role := range []string{"entry", "side"} {
		line("resident memory, "+role, "%s", r.memory(role))
	}
	return w.Flush()
}

func (r *Report) row(line func(string, string, ...any), row caller.Row) {
	first := ""
	if row.FirstToken != nil {
		first = fmt.Sprintf("; first token p50 %s p99 %s", millis(row.FirstToken.P50), millis(row.FirstToken.P99))
	}
	line(string(row.Kind)+" calls", "%.1f/s, whole p50 %s p99 %s%s",
		row.PerSecond, millis(row.Whole.P50), millis(row.Whole.P99), first)
}

func millis(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }

// memory returns the greatest reading of a role's processes at each moment.
func (r *Report) memory(role string) string {
	var moments []string
	most := map[string]int64{}
	for _, m := range r.Memory {
		if r.role(m.Name) != role {
			continue
		}
		if _, ok := most[m.When]; !ok {
			moments = append(moments, m.When)
		}
		most[m.When] = max(most[m.When], m.KiB)
	}
	var out []string
	for _, when := range moments {
		out = append(out, fmt.Sprintf("%s %.1f MiB", when, float64(most[when])/1024))
	}
	return strings.Join(out, ", ") + " (greatest)"
}

func (r *Report) role(name string) string {
	for _, n := range r.Fleet.Nodes() {
		if n.VM.Name == name {
			return string(n.VM.Role)
		}
	}
	return ""
}
