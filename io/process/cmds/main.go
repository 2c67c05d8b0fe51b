// Package cmds implements the command line of the binary; main calls Main. Each
// command has a file of its own and is a struct whose fields are its options,
// declared with the struct tags of package opt. It registers itself in an init
// function beside its definition.
package cmds

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/inidoc"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes of every command: success, failure, and bad input (see exitCode).
const (
	exitOK      = 0
	exitFailure = 1
	exitInput   = 2
)

// output holds the streams that a command writes to.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// runner is a command with its parsed options. The ctx of run ends at the first
// SIGTERM or SIGINT.
type runner interface {
	run(ctx context.Context, out output) error
}

// command describes one command of the binary. make returns a runner whose
// options are not set yet.
type command struct {
	name string
	help string
	make func() runner
}

// registry lists all commands. Only init functions of this package add to it.
var registry []command

// register adds a command; each command's file calls it from init.
func register(c command) { registry = append(registry, c) }

// errInput marks an error that is due to bad input and is not an inidoc.Problem.
var errInput = errors.New("bad input")

// Main runs the command named by the first of args, prints its error to stderr and
// returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	out := output{stdout: stdout, stderr: stderr}
	r, err := parseArgs(args)
	if err == nil {
		ctx, stop := contextUntilSignal()
		defer stop()
		err = r.run(ctx, out)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

// exitCode returns 0 for nil, 2 for an error that is due to the input (settings,
// document, flags, a port in use), and 1 for any other.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var flaws inidoc.Problems
	var flaw inidoc.Problem
	if errors.As(err, &flaws) || errors.As(err, &flaw) || errors.Is(err, errInput) {
		return exitInput
	}
	return exitFailure
}

// commandNames returns the sorted names of all commands, for error messages.
func commandNames() string {
	var names []string
	for _, c := range registry {
		names = append(names, c.name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
