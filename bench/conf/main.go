// Command conf measures how configuration spreads through a fleet: the reads from
// the configuration service, the time until the last process has a new revision, and
// the bytes, CPU time and memory of each process. All processes run in this program,
// over real sockets on loopback, against stand-ins for the platform. In the baseline
// each process reads from the service itself. make bench-conf starts it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/integrii/flaggy"
)

// trial describes one run. sections is the number of customers in the document. With
// direct each process reads from the configuration service itself. idle is the
// length of the phase without promotions.
type trial struct {
	processes  int
	sections   int
	direct     bool
	fault      fault
	idle       time.Duration
	promotions int
}

// fault is the failure that is injected before the promotions.
type fault string

// The faults: all readers of one zone stop, a third of all processes stops, or one
// zone has never reached the configuration service. The VM list goes on to name the
// stopped processes.
const (
	faultNone        fault = ""
	faultReadersDead fault = "readersDead"
	faultThirdDead   fault = "thirdDead"
	faultZoneCut     fault = "zoneCut"
)

// promotionInterval is the time from one promotion to the next. One a second is a
// little more often than 70,000 changes a day.
const promotionInterval = time.Second

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
	all := trials(quick)
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

func trials(quick bool) []trial {
	if quick {
		return []trial{
			{processes: 10, sections: documentSize, idle: 3 * time.Second, promotions: 3},
			{processes: 10, sections: documentSize, idle: 3 * time.Second, promotions: 3, direct: true},
		}
	}
	var out []trial
	for _, n := range sizes {
		out = append(out, trial{processes: n, sections: documentSize, idle: 15 * time.Second, promotions: 20})
	}
	out = append(out, trial{processes: 100, sections: largeSize, idle: 10 * time.Second, promotions: 10})
	for _, n := range sizes {
		out = append(out, trial{processes: n, sections: documentSize, idle: 5 * time.Second, promotions: 5, direct: true})
	}
	for _, f := range []fault{faultReadersDead, faultThirdDead, faultZoneCut} {
		out = append(out, trial{processes: 100, sections: documentSize, idle: time.Second, promotions: 10, fault: f})
	}
	return out
}

func run(ctx context.Context, trials []trial, csvPath string) error {
	out, err := openTable(csvPath, len(trials) == 1)
	if err != nil {
		return err
	}
	for _, p := range trials {
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
