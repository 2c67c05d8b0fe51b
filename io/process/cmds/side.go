package cmds

import (
	"context"

	"hawthornferry/core/process/fleet"
	"hawthornferry/io/process/side"
)

func init() {
	register(command{
		name: "side",
		help: "runs the side process beside one target",
		make: func() runner { return &sideCommand{processOptions: newProcessOptions(fleet.RoleSide)} },
	})
}

// sideCommand runs a side process.
type sideCommand struct {
	*processOptions
}

func (c *sideCommand) run(ctx context.Context, _ output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	h, err := c.openHost(s)
	if err != nil {
		return err
	}
	p := &side.Side{Process: h}
	return p.Run(ctx)
}
