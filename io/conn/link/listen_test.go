package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// openCounter wraps a listener and counts the accepted connections that are still
// open.
type openCounter struct {
	net.Listener
	open atomic.Int64
}

func (l *openCounter) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &openConn{Conn: nc, openCounter: l}, nil
}

// openConn is a connection that openCounter has accepted.
type openConn struct {
	net.Conn
	openCounter *openCounter
	closed      atomic.Bool
}

func (e *openConn) Close() error {
	if !e.closed.Swap(true) {
		e.openCounter.open.Add(-1)
	}
	return e.Conn.Close()
}

// Guards against a Run that returns before the listener is closed, or that leaves
// a connection open which Accept returned while ctx ended. The side that replaces
// this one would find its port in use, and the peer would wait for a Hello. Each
// round races the end of ctx against a new connection.
func TestRunClosesListenerAndLateConnections(t *testing.T) {
	const rounds = 300
	addr := "127.0.0.3:0"
	for range rounds {
		nl, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		addr = nl.Addr().String()
		ctx, cancel := context.WithCancel(context.Background())
		counted := &openCounter{Listener: nl}
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
