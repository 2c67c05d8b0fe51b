package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var columns = []string{
	"policy", "load", "slowReplica", "burst", "offered/s", "goodput/s", "refused", "late",
	"p50 ms", "p99 ms", "prefixHits", "smallCustomersGood",
}

func (r result) row() []string {
	f := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	ms := func(d time.Duration) string { return f(float64(d)/float64(time.Millisecond), 0) }
	return []string{
		r.policy, f(r.load, 1), strconv.FormatBool(r.slow), strconv.FormatBool(r.burst), f(r.offered, 1), f(r.goodput, 1),
		f(r.refused, 3), f(r.late, 3), ms(r.p50), ms(r.p99), f(r.cacheHitShare, 3), f(r.small, 3),
	}
}

func printTable(w io.Writer, results []result) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range rows(results) {
		for _, cell := range row {
			fmt.Fprintf(tw, "%s\t", cell)
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
}

func rows(results []result) [][]string {
	out := [][]string{columns}
	for _, r := range results {
		out = append(out, r.row())
	}
	return out
}

func writeCSV(name string, results []result) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return csv.NewWriter(f).WriteAll(rows(results))
}

// writePlot draws the goodput of each policy over the offered load.
func writePlot(name string, results []result) error {
	p := plot.New()
	p.Title.Text = "Goodput over offered load"
	p.X.Label.Text = "offered load, parts of capacity"
	p.Y.Label.Text = "calls/s with first byte in time"
	p.Y.Min = 0
	p.Legend.Top = false
	var lines []any
	for _, pol := range policies() {
		lines = append(lines, pol.name, points(pol.name, results))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(6*vg.Inch, 4*vg.Inch, name)
}

func points(policy string, results []result) plotter.XYs {
	var out plotter.XYs
	for _, r := range results {
		if r.policy == policy && !r.slow && !r.burst {
			out = append(out, plotter.XY{X: r.load, Y: r.goodput})
		}
	}
	return out
}
