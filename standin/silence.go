package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"hawthornferry/standin/demo"
)

// silenceCommand makes the connections to a side that are open now go silent:
// they stay open and pass nothing any more.
func silenceCommand() command {
	var dir, name string
	f := flaggy.NewSubcommand("silence")
	f.Description = "make the open connections to a side of a demonstration go silent for good"
	f.String(&dir, "", "fleet", "directory of the plan, laid out with a relay")
	f.String(&name, "", "name", "name of the side")
	return command{flags: f, run: func(ctx context.Context) error {
		p, err := demo.LoadFleet(dir)
		if err != nil {
			return usageError{err}
		}
		n, err := p.Silence(ctx, name)
		if err != nil {
			return err
		}
		fmt.Printf("%d connections to %s are silent\n", n, name)
		return nil
	}}
}
