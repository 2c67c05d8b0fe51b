// Command burst measures how fast a new version reaches N sides and how many bytes
// it takes over the links, compared with the least possible time and with a baseline
// in which every side downloads from the origin. All sides run in this process, over
// real sockets on loopback. The links are simulated, with rates so low that the
// links, and not the CPUs, are the bottleneck. make bench-burst starts it.
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

// defaultChunks is the number of chunks of a version if --chunks is not given.
const defaultChunks = 256

var (
	verbose      bool
	printLinkUse bool
	spreadConfig spread.Config
	logWriter    io.Writer = os.Stderr
)

// options holds the command-line flags.
type options struct {
	quick      bool
	only       string
	sides      int
	setting    string
	csv        string
	plot       string
	cpuProfile string
	chunks     int
}

func main() {
	o := options{chunks: defaultChunks}
	p := flaggy.NewParser("burst")
	p.Bool(&o.quick, "q", "quick", "Run a few small trials only.")
	p.String(&o.only, "m", "mode", "Run only this mode: baseline, originBytes, time or faults.")
	p.Int(&o.sides, "n", "sides", "Run only this number of sides.")
	p.String(&o.setting, "s", "setting", "Run only this setting: machineBinds or regionBinds.")
	p.String(&o.csv, "c", "csv", "Write the results to this file.")
	p.String(&o.plot, "p", "plot", "Write a plot to this file.")
	p.Int(&o.chunks, "k", "chunks", "Chunks of a version.")
	p.Int(&spreadConfig.UploadSlots, "o", "uploads", "Chunks that a side sends at a time.")
	p.Int(&spreadConfig.DownloadSlots, "i", "inbound", "Chunks that a side downloads at a time.")
	p.Int(&spreadConfig.Degree, "d", "degree", "Neighbours that a side dials.")
	p.Int(&spreadConfig.ImportSlots, "t", "turns", "Chunks that cross between two regions at a time.")
	p.Int(&spreadConfig.OriginSlots, "w", "draws", "Chunks that a region downloads from the origin at a time.")
	p.Bool(&printLinkUse, "u", "profile", "Print which part of their rates the links carry while a version spreads.")
	p.String(&o.cpuProfile, "", "cpu", "Write a CPU profile to this file.")
	p.Bool(&verbose, "v", "verbose", "Log to standard error.")
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if o.cpuProfile != "" {
		defer profileCPU(o.cpuProfile)()
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
	fmt.Println(tableHeader)
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
	// The first four sizes span the whole range, so that the results of an interrupted
	// run still cover it.
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
		out = append(out, faultTrials(s, faultSides, o)...)
	}
	return out
}

func faultTrials(s setting, n int, o options) []trial {
	if !wantsMode(o, "faults") || !wantsSetting(o, s) {
		return nil
	}
	return []trial{{setting: s, mode: modeOrigin, sides: n, chunks: o.chunks, chunkSize: versionBytes / o.chunks, faults: true}}
}

func wantsSetting(o options, s setting) bool { return o.setting == "" || o.setting == s.name }

// trialsOf returns one trial without faults for each mode. The baseline has fewer
// chunks, since the origin sends each of them to all n sides.
func trialsOf(s setting, n int, o options) []trial {
	if !wantsSetting(o, s) {
		return nil
	}
	var out []trial
	for _, m := range []mode{modeBaseline, modeOrigin, modeTime} {
		if !wantsMode(o, m.name) {
			continue
		}
		t := trial{setting: s, mode: m, sides: n, chunks: o.chunks, chunkSize: versionBytes / o.chunks}
		if m.originOnly {
			t.chunks = max(1, o.chunks/n)
		}
		out = append(out, t)
	}
	return out
}

func wantsMode(o options, name string) bool { return o.only == "" || o.only == name }
