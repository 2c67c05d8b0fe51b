package link

import (
	"context"
	"net/netip"

	"hawthornferry/io/conn/frame"
)

// Ask puts one question to the process at addr, on a connection of its own,
// and returns the answer. It ends when ctx does.
func Ask(ctx context.Context, self *Self, addr netip.AddrPort, purpose Purpose, kinds frame.Kinds, question frame.Message) (frame.Message, error) {
	c, err := Dial(ctx, self, addr, purpose, kinds)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if err := c.Send(question); err != nil {
		return nil, err
	}
	return c.Receive()
}
