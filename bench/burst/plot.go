package main

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// writePlot draws time over bound against the number of sides, a line for each
// setting and mode. Both axes are logarithmic, so that the baseline fits in with the
// rest.
func writePlot(path string, results []result) error {
	p := plot.New()
	p.Title.Text = "time to N sides over the bound"
	p.X.Label.Text = "sides (log2)"
	p.Y.Label.Text = "time / bound (log2)"
	p.Legend.Top = true
	p.Legend.Left = true
	var args []any
	for _, key := range seriesOf(results) {
		args = append(args, key, pointsOf(results, key))
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(p.Save(18*vg.Centimeter, 12*vg.Centimeter, path), "plot")
}

func seriesName(r result) string { return r.trial.setting.name + " " + r.trial.mode.name }

func seriesOf(results []result) []string {
	var out []string
	seen := map[string]bool{}
	for _, r := range results {
		key := seriesName(r)
		if r.trial.faults || seen[key] {
			continue
		}
		seen[key] = true
		out = append(out, key)
	}
	return out
}

func pointsOf(results []result, key string) plotter.XYs {
	var out plotter.XYs
	for _, r := range results {
		if r.trial.faults || seriesName(r) != key {
			continue
		}
		out = append(out, plotter.XY{X: math.Log2(float64(r.trial.sides)), Y: math.Log2(r.ratio())})
	}
	return out
}
