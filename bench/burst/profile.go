package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"time"
)

// profileCPU starts a profile of the processors and returns how to end it.
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

// profileEvery is the time between two lines of a profile.
const profileEvery = 250 * time.Millisecond

// profile writes how busy transfers keep the machines' links, region by
// region, and what the origin and the region links carry, in parts of their
// rates.
func (w *world) profile(ctx context.Context, out io.Writer) {
	begin := time.Now()
	var last []int64
	for sleepUntil(ctx, time.Now().Add(profileEvery)) == nil {
		now := w.carried()
		if last != nil {
			fmt.Fprintf(out, "%6.2fs%s\n", time.Since(begin).Seconds(), w.profileLine(last, now))
		}
		last = now
	}
}

// carried lists, for each region, the bytes over its machines' links up and
// down and over its region link out and in; then those of the origin.
func (w *world) carried() []int64 {
	out := make([]int64, 4*len(w.regions)+1)
	for _, s := range w.sides {
		out[4*s.region] += s.up.carried()
		out[4*s.region+1] += s.down.carried()
	}
	for i, r := range w.regions {
		out[4*i+2] = r.out.carried()
		out[4*i+3] = r.in.carried()
	}
	out[len(out)-1] = w.origin.carried()
	return out
}

func (w *world) profileLine(last, now []int64) string {
	machines := make([]float64, len(w.regions))
	for _, s := range w.sides {
		machines[s.region] += w.rates.machine
	}
	line := ""
	part := func(i int, rate float64) float64 {
		return float64(now[i]-last[i]) / (rate * profileEvery.Seconds())
	}
	for i, name := range regionNames {
		line += fmt.Sprintf("  %s up %.2f down %.2f out %.2f in %.2f", name,
			part(4*i, machines[i]), part(4*i+1, machines[i]), part(4*i+2, w.rates.region), part(4*i+3, w.rates.region))
	}
	return line + fmt.Sprintf("  origin %.2f", part(len(now)-1, w.rates.origin))
}
