package cmds

import (
	"context"
	"io"

	"hawthornferry/platform"
)

func init() {
	register(command{
		name: "hosted-entry",
		help: "runs an entry with the settings that the users' platform gives",
		make: func() runner { return &hostedCommand{start: platform.RunEntry} },
	})
	register(command{
		name: "hosted-side",
		help: "runs a side with the settings that the users' platform gives",
		make: func() runner { return &hostedCommand{start: platform.RunSide} },
	})
}

// hostedCommand runs one process on the users' platform.
type hostedCommand struct {
	start func(ctx context.Context, log io.Writer) error
}

func (c *hostedCommand) run(ctx context.Context, out output) error {
	return c.start(ctx, out.stdout)
}
