// Command conf measures how configuration spreads through a fleet: reads at
// the configuration service, time until the last process has a new revision,
// and bytes, processor time and memory for each process. All processes run
// in this one program, over real sockets on the loopback, against the
// stand-ins of the platform. As a baseline each process reads for itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/integrii/flaggy"
)

// plan is what one run measures.
type plan struct {
	processes  int
	sections   int
	direct     bool
	fault      fault
	idle       time.Duration
	promotions int
}

// fault is what befalls the fleet right before the promotions.
type fault string

// The faults: all readers of one zone die, a third of all processes dies, or
// one zone has never reached the configuration service. The VM list goes on
// to name the dead.
const (
	faultNone        fault = ""
	faultReadersDead fault = "readersDead"
	faultThirdDead   fault = "thirdDead"
	faultZoneCut     fault = "zoneCut"
)

// pace is the time from one promotion to the next: a little more often than
// 70,000 changes a day.
const pace = time.Second

// The sizes that are measured by default.
var (
	sizes        = []int{10, 50, 100, 200}
	documentSize = 100
	largeSize    = 1000
)

func main() {
	var csvPath string
	var quick bool
	only := -1
	p := flaggy.NewParser("conf")
	p.String(&csvPath, "", "csv", "Write the results to this file.")
	p.Int(&only, "", "only", "Run only the trial of this number, from 0, and add it to the file.")
	p.Bool(&quick, "", "quick", "Run one small trial of each kind.")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	all := plans(quick)
	if only >= len(all) {
		fmt.Fprintf(os.Stderr, "--only %d: want 0 to %d\n", only, len(all)-1)
		os.Exit(2)
	}
	if only >= 0 {
		all = all[only : only+1]
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, all, csvPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func plans(quick bool) []plan {
	if quick {
		return []plan{
			{processes: 10, sections: documentSize, idle: 3 * time.Second, promotions: 3},
			{processes: 10, sections: documentSize, idle: 3 * time.Second, promotions: 3, direct: true},
		}
	}
	var out []plan
	for _, n := range sizes {
		out = append(out, plan{processes: n, sections: documentSize, idle: 15 * time.Second, promotions: 20})
	}
	out = append(out, plan{processes: 100, sections: largeSize, idle: 10 * time.Second, promotions: 10})
	for _, n := range sizes {
		out = append(out, plan{processes: n, sections: documentSize, idle: 5 * time.Second, promotions: 5, direct: true})
	}
	for _, f := range []fault{faultReadersDead, faultThirdDead, faultZoneCut} {
		out = append(out, plan{processes: 100, sections: documentSize, idle: time.Second, promotions: 10, fault: f})
	}
	return out
}

func run(ctx context.Context, plans []plan, csvPath string) error {
	out, err := openTable(csvPath, len(plans) == 1)
	if err != nil {
		return err
	}
	for _, p := range plans {
		r, err := measure(ctx, p)
		if err != nil {
			return err
		}
		if err := out.add(r); err != nil {
			return err
		}
	}
	return out.close()
}
