package link

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
	"hawthornferry/io/conn/frame"
)

type textMessage struct {
	Text string `msgpack:"text"`
}

func (*textMessage) Kind() frame.Kind { return "note" }
func (*textMessage) Check() error     { return nil }

func testSelf(name string) *Self {
	s := &Self{Boot: name + "-boot"}
	s.VM = fleet.VM{
		Name:    name,
		Role:    fleet.RoleSide,
		Zone:    "z",
		Region:  "r",
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		State:   fleet.StateLive,
	}
	return s
}

// Dial exchanges Hellos with a Listener, which passes the connection to the handler
// of its purpose. The handler echoes a message.
func TestListenerSelectsHandlerByPurpose(t *testing.T) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kinds := frame.Kinds{}
	kinds.Register(func() frame.Message { return &textMessage{} })
	echo := Handler{Kinds: kinds, Serve: func(_ context.Context, c *Conn) {
		m, err := c.Receive()
		if err == nil {
			err = c.Send(m)
		}
		if err != nil {
			t.Error(err)
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Listener{Self: testSelf("b"), Net: nl, Handlers: map[Purpose]Handler{PurposeConfig: echo}}
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()

	self := testSelf("a")
	self.Revision.Store(7)
	c, err := Dial(ctx, self, netip.MustParseAddrPort(nl.Addr().String()), PurposeConfig, kinds)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("b-boot", c.Peer.Boot); diff != "" {
		t.Errorf("peer boot (-want +got):\n%s", diff)
	}
	if err := c.Send(&textMessage{Text: "hello"}); err != nil {
		t.Fatal(err)
	}
	got, err := c.Receive()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&textMessage{Text: "hello"}, got); diff != "" {
		t.Errorf("echo (-want +got):\n%s", diff)
	}
	c.Close()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
