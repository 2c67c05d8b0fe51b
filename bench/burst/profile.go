package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"time"
)

// profileCPU starts a CPU profile and returns the function that ends it.
func profileCPU(path string) func() {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return func() {}
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}
}

// linkUseInterval is the time between two lines of printLinkUse.
const linkUseInterval = 250 * time.Millisecond

// printLinkUse prints the part of their rates that transfers use of the machines'
// links, region by region, of the region links and of the origin's link.
func (w *testbed) printLinkUse(ctx context.Context, out io.Writer) {
	begin := time.Now()
	var last []int64
	for sleepUntil(ctx, time.Now().Add(linkUseInterval)) == nil {
		now := w.transferred()
		if last != nil {
			fmt.Fprintf(out, "%6.2fs%s\n", time.Since(begin).Seconds(), w.linkUseLine(last, now))
		}
		last = now
	}
}

// transferred lists, for each region, the bytes of transfers over its machines'
// links up and down and over its region link out and in; then those over the
// origin's link.
func (w *testbed) transferred() []int64 {
	out := make([]int64, 4*len(w.regions)+1)
	for _, s := range w.sides {
		out[4*s.region] += s.up.transferred()
		out[4*s.region+1] += s.down.transferred()
	}
	for i, r := range w.regions {
		out[4*i+2] = r.out.transferred()
		out[4*i+3] = r.in.transferred()
	}
	out[len(out)-1] = w.origin.transferred()
	return out
}

func (w *testbed) linkUseLine(last, now []int64) string {
	machines := make([]float64, len(w.regions))
	for _, s := range w.sides {
		machines[s.region] += w.rates.machine
	}
	line := ""
	part := func(i int, rate float64) float64 {
		return float64(now[i]-last[i]) / (rate * linkUseInterval.Seconds())
	}
	for i, name := range regionNames {
		line += fmt.Sprintf("  %s up %.2f down %.2f out %.2f in %.2f", name,
			part(4*i, machines[i]), part(4*i+1, machines[i]), part(4*i+2, w.rates.region), part(4*i+3, w.rates.region))
	}
	return line + fmt.Sprintf("  origin %.2f", part(len(now)-1, w.rates.origin))
}
