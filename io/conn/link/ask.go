package link

import (
	"context"
	"net/netip"

	"hawthornferry/io/conn/frame"
)

// RoundTrip opens a connection to the process at addr, sends question, returns the
// first message that the peer sends back, and closes the connection. It returns
// an error when ctx ends first.
func RoundTrip(ctx context.Context, self *Self, addr netip.AddrPort, purpose Purpose, kinds frame.Kinds, question frame.Message) (frame.Message, error) {
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
