// Command policy compares ways of choosing targets and admitting calls on a
// queueing model of engines in virtual time. It writes a table and a plot.
// The model has no processes, sockets or faults of them; it measures policy
// alone, on the code that the entries run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// loads are the offered loads in parts of the capacity.
var loads = []float64{0.7, 1.0, 1.5, 2.0}

// burstLoad is the load of the runs that jump to it from a tenth of it.
const burstLoad = 0.9

// slowLoad is the load of the runs with one slow engine.
const slowLoad = 0.7

func main() {
	out := flag.String("out", "docs", "directory of the table and the plot")
	capacity := flag.Float64("capacity", 0, "calls a second taken as load 1; 0 measures it")
	seed := flag.Uint64("seed", 1, "seed of the work")
	flag.Parse()
	if err := run(*out, *capacity, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out string, capacity float64, seed uint64) error {
	if capacity == 0 {
		capacity = saturated(seed)
	}
	fmt.Printf("capacity %.1f calls/s (%d engines of %d slots)\n", capacity, engines, engineSlots)
	var all []scenario
	for _, p := range policies() {
		for _, l := range loads {
			all = append(all, scenario{policy: p, rate: l * capacity, load: l, seed: seed})
		}
		all = append(all, scenario{policy: p, rate: slowLoad * capacity, load: slowLoad, slow: true, seed: seed})
		all = append(all, scenario{policy: p, rate: burstLoad * capacity, load: burstLoad, burst: true, seed: seed})
	}
	results := runAll(all)
	printTable(os.Stdout, results)
	if err := writeCSV(filepath.Join(out, "policy.csv"), results); err != nil {
		return err
	}
	return writePlot(filepath.Join(out, "policy.svg"), results)
}

// runAll runs the scenarios at the same time; each has its own state.
func runAll(all []scenario) []result {
	results := make([]result, len(all))
	var wg sync.WaitGroup
	for i, sc := range all {
		wg.Go(func() { results[i] = sc.run() })
	}
	wg.Wait()
	return results
}
