// Command burst measures how fast a new version reaches N sides and what it
// costs the links, against the least possible time and against every side
// drawing from the origin. All sides run in this one process, over real
// sockets on the loopback; the links are stood in for by paced wires that are
// slow enough for them, and not the processors, to bind.
package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"

	"github.com/integrii/flaggy"

	"hawthornferry/core/version/spread"
)

// fullChunks is the customary number of chunks of a version.
const fullChunks = 256

var (
	verbose   bool
	profiled  bool
	tuning    spread.Config
	logWriter io.Writer = os.Stderr
)

// options are the command line.
type options struct {
	quick   bool
	only    string
	sides   int
	setting string
	csv     string
	plot    string
	cpu     string
	chunks  int
}

func main() {
	o := options{chunks: fullChunks}
	p := flaggy.NewParser("burst")
	p.Bool(&o.quick, "q", "quick", "Run a few small trials only.")
	p.String(&o.only, "m", "mode", "Run only this mode: baseline, originBytes, time or faults.")
	p.Int(&o.sides, "n", "sides", "Run only this number of sides.")
	p.String(&o.setting, "s", "setting", "Run only this setting: machineBinds or regionBinds.")
	p.String(&o.csv, "c", "csv", "Write the results to this file.")
	p.String(&o.plot, "p", "plot", "Write a plot to this file.")
	p.Int(&o.chunks, "k", "chunks", "Chunks of a version.")
	p.Int(&tuning.UploadSlots, "o", "uploads", "Chunks that a side sends at a time.")
	p.Int(&tuning.DownloadSlots, "i", "inbound", "Chunks that a side takes at a time.")
	p.Int(&tuning.Degree, "d", "degree", "Neighbours that a side dials.")
	p.Int(&tuning.ImportSlots, "t", "turns", "Chunks that cross between two regions at a time.")
	p.Int(&tuning.OriginSlots, "w", "draws", "Chunks that a region draws from the origin at a time.")
	p.Bool(&profiled, "u", "profile", "Print how busy the links are while a version spreads.")
	p.String(&o.cpu, "", "cpu", "Write a profile of the processors to this file.")
	p.Bool(&verbose, "v", "verbose", "Log to standard error.")
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if o.cpu != "" {
		defer profileCPU(o.cpu)()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := measureAll(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measureAll(ctx context.Context, o options) error {
	var results []result
	fmt.Println(tableHead)
	for i, t := range trials(o) {
		r, err := run(ctx, t, uint64(i))
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			return err
		}
		fmt.Println(tableLine(r))
		results = append(results, r)
	}
	slices.SortStableFunc(results, byTrial)
	if o.csv != "" {
		if err := writeCSV(o.csv, results); err != nil {
			return err
		}
	}
	if o.plot != "" {
		return writePlot(o.plot, results)
	}
	return nil
}

// byTrial orders results by setting, mode, faults and number of sides.
func byTrial(a, b result) int {
	return cmp.Or(
		cmp.Compare(a.trial.setting.name, b.trial.setting.name),
		cmp.Compare(a.trial.mode.name, b.trial.mode.name),
		cmp.Compare(fmt.Sprint(a.trial.faults), fmt.Sprint(b.trial.faults)),
		cmp.Compare(a.trial.sides, b.trial.sides),
	)
}

// trials lists the runs that the options ask for.
func trials(o options) []trial {
	// The ends come first: a run that is cut short still spans the range.
	sides := []int{4, 16, 64, 128, 8, 32}
	faultSides := 64
	if o.quick {
		sides = []int{4, 32}
		faultSides = 32
	}
	if o.sides > 0 {
		sides, faultSides = []int{o.sides}, o.sides
	}
	var out []trial
	for _, n := range sides {
		for _, s := range settings {
			out = append(out, trialsOf(s, n, o)...)
		}
	}
	for _, s := range settings {
		out = append(out, faultTrial(s, faultSides, o)...)
	}
	return out
}

func faultTrial(s setting, n int, o options) []trial {
	if !wantedMode(o, "faults") || !wantedSetting(o, s) {
		return nil
	}
	return []trial{{setting: s, mode: modeOrigin, sides: n, chunks: o.chunks, size: wholeBytes / o.chunks, faults: true}}
}

func wantedSetting(o options, s setting) bool { return o.setting == "" || o.setting == s.name }

func trialsOf(s setting, n int, o options) []trial {
	if !wantedSetting(o, s) {
		return nil
	}
	var out []trial
	for _, m := range []mode{modeBaseline, modeOrigin, modeTime} {
		if !wantedMode(o, m.name) {
			continue
		}
		t := trial{setting: s, mode: m, sides: n, chunks: o.chunks, size: wholeBytes / o.chunks}
		if m.direct {
			t.chunks = max(1, o.chunks/n)
		}
		out = append(out, t)
	}
	return out
}

func wantedMode(o options, name string) bool { return o.only == "" || o.only == name }
