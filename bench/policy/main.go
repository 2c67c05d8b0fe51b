// Command policy compares algorithms for choosing targets and admitting calls, on a
// simulation of entries and engines in virtual time. It prints a table and writes
// policy.csv and policy.svg. The simulation has no processes, sockets or failures;
// it runs the code of core/request/picker and core/request/admit that the entries
// run. make bench-policy starts it.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// loads are the offered loads as fractions of the capacity.
var loads = []float64{0.7, 1.0, 1.5, 2.0}

// burstLoad is the load after the jump in the burst runs, which begin with a tenth
// of it (burstInitialShare).
const burstLoad = 0.9

// slowLoad is the load of the runs with one slow engine.
const slowLoad = 0.7

func main() {
	out := flag.String("out", "docs", "directory for policy.csv and policy.svg")
	capacity := flag.Float64("capacity", 0, "capacity in calls per second, which is load 1; 0: measure it")
	seed := flag.Uint64("seed", 1, "seed of the workload")
	flag.Parse()
	if err := run(*out, *capacity, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out string, capacity float64, seed uint64) error {
	if capacity == 0 {
		capacity = measureCapacity(seed)
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

// runAll runs the scenarios concurrently; each has its own state.
func runAll(all []scenario) []result {
	results := make([]result, len(all))
	var wg sync.WaitGroup
	for i, sc := range all {
		wg.Go(func() { results[i] = sc.run() })
	}
	wg.Wait()
	return results
}
