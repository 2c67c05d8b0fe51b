// Package cmds holds the commands of the binary, one file each. A command is
// a struct whose fields are its options, declared by the tags of package opt;
// it registers itself beside its definition.
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

// The exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitInput   = 2
)

// output is where a command writes.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// runner is the options of a command and its job. ctx ends at the first
// SIGTERM or SIGINT.
type runner interface {
	run(ctx context.Context, out output) error
}

// command is one command of the binary. make returns the runner with its
// options unset.
type command struct {
	name string
	help string
	make func() runner
}

// registry is filled by the init functions of this package alone.
var registry []command

// register adds a command; each command's file calls it from init.
func register(c command) { registry = append(registry, c) }

// errInput marks bad input that is not a list of flaws.
var errInput = errors.New("bad input")

// Main runs the command that args name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	out := output{stdout: stdout, stderr: stderr}
	r, err := parseArgs(args)
	if err == nil {
		ctx, stop := untilSignal()
		defer stop()
		err = r.run(ctx, out)
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

// exitCode returns 2 for an error that better input would cure, else 1.
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

// commandNames lists the commands in order, for messages.
func commandNames() string {
	var names []string
	for _, c := range registry {
		names = append(names, c.name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
