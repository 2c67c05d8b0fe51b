package link

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/io/conn/frame"
)

// Handler serves one accepted connection and returns when it is done with
// it; the listener then closes the connection.
type Handler struct {
	Kinds frame.Kinds
	Serve func(ctx context.Context, c *Conn)
}

// Listener accepts peers and hands each connection to the handler of its
// purpose. Set the exported fields before Run.
type Listener struct {
	Self     *Self
	Net      net.Listener
	Handlers map[Purpose]Handler
	// Rejected is told of each connection that ended before its handler.
	Rejected func(error)
}

// Run accepts until ctx ends, then waits for the handlers to return.
func (l *Listener) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer l.closeOn(ctx)()
	for {
		nc, err := l.Net.Accept()
		if ctx.Err() != nil {
			closeLate(nc)
			return nil
		}
		if err != nil {
			return operr.Wrap("accept", l.Net.Addr().String(), err)
		}
		wg.Go(func() { l.serve(ctx, nc) })
	}
}

// closeOn closes the listener when ctx ends. The function returned makes sure
// that it is closed, and waits for a close under way: a process that is
// replaced would find its port in use.
func (l *Listener) closeOn(ctx context.Context) func() {
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

// closeLate closes a connection that was accepted while the listener ended.
// Left open, it would be silent for its peer, which would wait for a Hello.
func closeLate(nc net.Conn) {
	if nc != nil {
		nc.Close()
	}
}

func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	c := newConn(l.Self, nc, l.allKinds())
	if err := c.awaitHello(); err != nil {
		l.reject(operr.Wrap("await hello", nc.RemoteAddr().String(), err))
		return
	}
	h, ok := l.Handlers[c.Peer.Purpose]
	if !ok {
		l.reject(operr.Wrap("accept", c.Peer.VM.Name, errors.Newf("no handler for %s", c.Peer.Purpose)))
		return
	}
	if err := c.greet(c.Peer.Purpose); err != nil {
		l.reject(operr.Wrap("greet", c.Peer.VM.Name, err))
		return
	}
	c.nc.belong(l.Self, c.Peer.Purpose, c.Peer.VM)
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
	if l.Rejected != nil {
		l.Rejected(err)
	}
}
