package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// ledger counts the connections that a listener hands out and that are then
// closed.
type ledger struct {
	net.Listener
	open atomic.Int64
}

func (l *ledger) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &entered{Conn: nc, ledger: l}, nil
}

type entered struct {
	net.Conn
	ledger *ledger
	closed atomic.Bool
}

func (e *entered) Close() error {
	if !e.closed.Swap(true) {
		e.ledger.open.Add(-1)
	}
	return e.Conn.Close()
}

// A side that is replaced finds its port in use, and a peer that connected
// at that moment hears nothing: the listener's context ends while Accept
// hands out one more connection, and Run returned before the listener was
// closed, leaving that connection open. Each round races the two.
func TestListenerLeavesNothingOpen(t *testing.T) {
	const rounds = 300
	addr := "127.0.0.3:0"
	for range rounds {
		nl, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		addr = nl.Addr().String()
		ctx, cancel := context.WithCancel(context.Background())
		counted := &ledger{Listener: nl}
		l := &Listener{Self: testSelf("a"), Net: counted}
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
		if diff := cmp.Diff(int64(0), counted.open.Load()); diff != "" {
			t.Fatalf("connections left open (-want +got):\n%s", diff)
		}
		if nc := <-dialed; nc != nil {
			nc.Close()
		}
	}
}
