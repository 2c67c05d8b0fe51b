package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/operr"
)

func init() {
	register(command{
		name: "check",
		help: "checks an environment document and lists all its faults",
		make: func() runner { return &checkCommand{} },
	})
}

// checkCommand checks an environment document.
type checkCommand struct {
	Document string `key:"document" arg:"1" need:"true" help:"environment document to check"`
}

func (c *checkCommand) run(_ context.Context, out output) error {
	d, err := readDocument(c.Document)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "%s: sound: environment %s (%s), %d zones, %d models, %d services, %d customers\n",
		c.Document, d.Name, d.Stage, len(d.Zones), len(d.Models), len(d.Services), len(d.Customers))
	return nil
}

// readDocument reads the file at path, and parses and checks the document in it.
func readDocument(path string) (*envdoc.Document, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(operr.Wrap("read document", path, err), errInput)
	}
	return envdoc.Parse(path, 0, b)
}
