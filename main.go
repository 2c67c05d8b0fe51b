// Command hawthornferry distributes model weights in bursts and carries
// callers' requests to the targets that serve them.
package main

import (
	"os"

	"hawthornferry/io/process/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
