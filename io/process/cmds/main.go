// Package cmds holds the commands of the binary, one file each.
package cmds

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Version is the version of the program.
const Version = "0.1.0"

// The exit codes of every command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the command that args name and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	p := flaggy.NewParser("hawthornferry")
	p.Version = Version
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	fmt.Fprintln(stdout, "hawthornferry", Version)
	return exitOK
}
