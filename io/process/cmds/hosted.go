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

// hostedCommand runs an entry or a side with its settings from the users' platform.
type hostedCommand struct {
	start func(ctx context.Context, log io.Writer) error
}

func (c *hostedCommand) run(ctx context.Context, out output) error {
	// By default SIGHUP kills the process. Registering a channel, which nobody reads,
	// prevents that before the process handles SIGHUP itself and after it has stopped
	// doing so.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	return c.start(ctx, out.stdout)
}
