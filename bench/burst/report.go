package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const tableHeader = "setting       mode         faults sides chunks bound    time     ratio  origin  region  p99before p99during slowdown lost"

func tableLine(r result) string {
	t := r.trial
	return fmt.Sprintf("%-13s %-12s %-6t %5d %6d %-8s %-8s %5.2f  %6.2f  %6.2f  %9s %9s %8.2f %4d",
		t.setting.name, t.mode.name, t.faults, t.sides, t.chunks, formatDuration(r.bound), formatDuration(r.duration), r.ratio(),
		r.originCopies, r.regionCopies, formatDuration(r.p99Before), formatDuration(r.p99During), r.slowdown(), r.incomplete)
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }

var csvHeader = []string{
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
	_ = w.Write(csvHeader)
	for _, r := range results {
		_ = w.Write(csvRow(r))
	}
	w.Flush()
	return errors.Wrap(w.Error(), "write results")
}

func csvRow(r result) []string {
	t := r.trial
	return []string{
		t.setting.name, t.mode.name, strconv.FormatBool(t.faults), strconv.Itoa(t.sides), strconv.Itoa(t.chunks),
		formatNumber(r.bound.Seconds()), formatNumber(r.duration.Seconds()), formatNumber(r.ratio()),
		formatNumber(r.originCopies), formatNumber(r.regionCopies),
		formatNumber(r.p99Before.Seconds()), formatNumber(r.p99During.Seconds()), formatNumber(r.slowdown()), strconv.Itoa(r.incomplete),
	}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
