package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"hawthornferry/standin/demo"
)

// tableCommand prints the outcomes of a demonstration.
func tableCommand() command {
	var dir string
	number, faults := 2, false
	f := flaggy.NewSubcommand("table")
	f.Description = "print the outcomes of a demonstration; fails when one is missed"
	f.String(&dir, "", "fleet", "directory of the plan")
	f.Int(&number, "", "number", "number of the version that was rolled out")
	f.Bool(&faults, "", "faults", "processes were killed: outcomes may be unknown")
	return command{flags: f, run: func(context.Context) error {
		r, err := demo.LoadReport(dir, number, !faults)
		if err != nil {
			return err
		}
		fmt.Printf("\n%s, version %d\n", r.Fleet.Environment, number)
		if err := r.Print(os.Stdout); err != nil {
			return err
		}
		if missed := r.Failures(); len(missed) > 0 {
			return errors.Newf("missed: %s", strings.Join(missed, "; "))
		}
		return nil
	}}
}
