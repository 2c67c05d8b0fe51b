package cmds

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

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
	// Nobody receives here: a SIGHUP that comes before the settings are followed, or
	// after, would end the process by its default.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	return c.start(ctx, out.stdout)
}
