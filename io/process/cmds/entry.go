package cmds

import (
	"context"

	"hawthornferry/core/process/fleet"
	"hawthornferry/io/process/entry"
)

func init() {
	register(command{
		name: "entry",
		help: "runs an entry process, which callers reach",
		make: func() runner { return &entryCommand{processOptions: newProcessOptions(fleet.RoleEntry)} },
	})
}

// entryCommand runs an entry process.
type entryCommand struct {
	*processOptions
}

func (c *entryCommand) run(ctx context.Context, _ output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	callers, err := c.listen("callers", s.Listen.Callers)
	if err != nil {
		return err
	}
	h, err := c.openHost(s)
	if err != nil {
		callers.Close()
		return err
	}
	p := &entry.Entry{Process: h, Callers: callers}
	return p.Run(ctx)
}
