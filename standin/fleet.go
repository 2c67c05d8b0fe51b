package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/integrii/flaggy"

	"hawthornferry/standin/demo"
)

// errMissingFlag is returned when a required flag is missing.
var errMissingFlag = errors.New("flag is missing")

// fleetCommand plans the processes of a demonstration and writes their settings.
func fleetCommand() command {
	var document, dir string
	l := demo.Layout{Net: 20, Entries: 2}
	f := flaggy.NewSubcommand("fleet")
	f.Description = "plan a demonstration: write the settings and the list of its processes"
	f.String(&document, "", "document", "path of the environment document")
	f.String(&dir, "", "out", "directory that the plan is written to")
	f.Int(&l.Net, "", "net", "second byte of the IP addresses, 127.NET.x.y")
	f.Int(&l.Entries, "", "entries", "number of entries")
	f.Bool(&l.Relay, "", "relay", "list the sides under the addresses of a relay that forwards to them")
	return command{flags: f, run: func(context.Context) error {
		if document == "" || dir == "" {
			return usageError{fmt.Errorf("document, out: %w", errMissingFlag)}
		}
		p, err := demo.Plan(document, l)
		if err != nil {
			return usageError{err}
		}
		return p.Write(dir)
	}}
}
