// Command standin runs stand-ins for what surrounds the system in tests and in
// the demonstration: the platform, the targets and the callers. Its further
// commands are the steps of the demonstration, which script/demo.sh runs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one command of the program. run returns when ctx ends, or earlier
// when the command is done.
type command struct {
	flags *flaggy.Subcommand
	run   func(ctx context.Context) error
}

// usageError is the error for a flag with an invalid value. The program exits
// with exitUsage.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	p := flaggy.NewParser("standin")
	p.Description = "Stand-ins for the platform, its targets and its callers"
	p.DisableShowVersionWithVersion()
	commands := []command{
		platformCommand(), weightsCommand(), engineCommand(), serviceCommand(),
		callersCommand(), relayCommand(), fleetCommand(), publishCommand(), promoteCommand(), silenceCommand(), tableCommand(),
	}
	for _, c := range commands {
		p.AttachSubcommand(c.flags, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.flags.Used {
			return exitCode(c.run(ctx))
		}
	}
	p.ShowHelp()
	return exitUsage
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
