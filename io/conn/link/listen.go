package link

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/io/conn/frame"
)

// Handler serves the accepted connections of one purpose. Kinds are the messages
// that it accepts. Serve is called for each connection in its own goroutine; when
// it returns, the listener closes the connection.
type Handler struct {
	Kinds frame.Kinds
	Serve func(ctx context.Context, c *Conn)
}

// Listener accepts connections from peers and passes each to the handler of its
// purpose. Set the exported fields before Run.
type Listener struct {
	Self     *Self
	Net      net.Listener
	Handlers map[Purpose]Handler
	// OnReject, when set, is called with the reason for each connection that was
	// closed before it reached a handler.
	OnReject func(error)
}

// Run accepts connections until ctx ends, then waits for the handlers to return.
func (l *Listener) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer l.closeWhenDone(ctx)()
	for {
		nc, err := l.Net.Accept()
		if ctx.Err() != nil {
			closeUnserved(nc)
			return nil
		}
		if err != nil {
			return operr.Wrap("accept", l.Net.Addr().String(), err)
		}
		wg.Go(func() { l.serve(ctx, nc) })
	}
}

// closeWhenDone closes the listener when ctx ends. The function that it returns
// closes the listener if that has not happened, and waits for a close in progress.
// If Run returned earlier, the process that replaces this one could find its port
// in use.
func (l *Listener) closeWhenDone(ctx context.Context) func() {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		l.Net.Close()
		close(closed)
	})
	return func() {
		if stop() {
			l.Net.Close()
			return
		}
		<-closed
	}
}

// closeUnserved closes a connection that was accepted after ctx ended. If it stayed
// open, the peer would wait for a Hello until its timeout.
func closeUnserved(nc net.Conn) {
	if nc != nil {
		nc.Close()
	}
}

func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	c := newConn(l.Self, nc, l.allKinds())
	if err := c.receiveHello(); err != nil {
		l.reject(operr.Wrap("await hello", nc.RemoteAddr().String(), err))
		return
	}
	h, ok := l.Handlers[c.Peer.Purpose]
	if !ok {
		l.reject(operr.Wrap("accept", c.Peer.VM.Name, errors.Newf("no handler for %s", c.Peer.Purpose)))
		return
	}
	if err := c.sendHello(c.Peer.Purpose); err != nil {
		l.reject(operr.Wrap("greet", c.Peer.VM.Name, err))
		return
	}
	c.nc.addToTotals(l.Self, c.Peer.Purpose, c.Peer.VM)
	h.Serve(ctx, c)
}

func (l *Listener) allKinds() frame.Kinds {
	all := frame.Kinds{}
	for _, h := range l.Handlers {
		for k, f := range h.Kinds {
			all[k] = f
		}
	}
	return all
}

func (l *Listener) reject(err error) {
	if l.OnReject != nil {
		l.OnReject(err)
	}
}
