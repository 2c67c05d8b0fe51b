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

// tableCommand prints the results of a demonstration and fails if one is not as
// required.
func tableCommand() command {
	var dir string
	number, faults := 2, false
	f := flaggy.NewSubcommand("table")
	f.Description = "print the results of a demonstration; fails when one is not as required"
	f.String(&dir, "", "fleet", "directory of the plan")
	f.Int(&number, "", "number", "number of the version that was rolled out")
	f.Bool(&faults, "", "faults", "faults were injected: outcomes may be unknown")
	return command{flags: f, run: func(context.Context) error {
		r, err := demo.LoadReport(dir, number, !faults)
		if err != nil {
			return err
		}
		fmt.Printf("\n%s, version %d\n", r.Fleet.Environment, number)
		if err := r.Print(os.Stdout); err != nil {
			return err
		}
		if failures := r.Failures(); len(failures) > 0 {
			return errors.Newf("missed: %s", strings.Join(failures, "; "))
		}
		return nil
	}}
}
