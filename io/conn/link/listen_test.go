package link

import (
	"context"
	"net"
	"testing"
)

// A side that is replaced finds its port in use, and a peer that connected
// at that moment hears nothing: the listener's context ends while Accept
// hands out one more connection, and Run returned before the listener was
// closed, leaving that connection open. Each round races the two.
func TestListenerLeavesNothingOpen(t *testing.T) {
	const rounds = 100
	addr := "127.0.0.3:0"
	for range rounds {
		nl, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		addr = nl.Addr().String()
		ctx, cancel := context.WithCancel(context.Background())
		l := &Listener{Self: testSelf("a"), Net: nl}
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		dialed := make(chan net.Conn, 1)
		go func() {
			nc, _ := net.Dial("tcp", addr)
			dialed <- nc
		}()
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if nc := <-dialed; nc != nil {
			if _, err := nc.Read(make([]byte, 1)); err == nil {
				t.Error("connection left open by an ended listener")
			}
			nc.Close()
		}
	}
}
