package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const tableHead = "setting       mode         faults sides chunks bound    time     ratio  origin  region  p99before p99during slowdown lost"

func tableLine(r result) string {
	t := r.trial
	return fmt.Sprintf("%-13s %-12s %-6t %5d %6d %-8s %-8s %5.2f  %6.2f  %6.2f  %9s %9s %8.2f %4d",
		t.setting.name, t.mode.name, t.faults, t.sides, t.chunks, short(r.bound), short(r.took), r.ratio(),
		r.originCopies, r.regionCopies, short(r.before), short(r.during), r.slowdown(), r.lost)
}

func short(d time.Duration) string { return d.Round(time.Millisecond).String() }

var csvHead = []string{
	"setting", "mode", "faults", "sides", "chunks", "boundSeconds", "seconds", "ratio",
	"originCopies", "regionCopies", "p99BeforeSeconds", "p99DuringSeconds", "slowdown", "lost",
}

func writeCSV(path string, results []result) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write results")
	}
	defer f.Close()
	w := csv.NewWriter(f)
	_ = w.Write(csvHead)
	for _, r := range results {
		_ = w.Write(csvLine(r))
	}
	w.Flush()
	return errors.Wrap(w.Error(), "write results")
}

func csvLine(r result) []string {
	t := r.trial
	return []string{
		t.setting.name, t.mode.name, strconv.FormatBool(t.faults), strconv.Itoa(t.sides), strconv.Itoa(t.chunks),
		number(r.bound.Seconds()), number(r.took.Seconds()), number(r.ratio()),
		number(r.originCopies), number(r.regionCopies),
		number(r.before.Seconds()), number(r.during.Seconds()), number(r.slowdown()), strconv.Itoa(r.lost),
	}
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
