package swarm

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/version/burst"
	"hawthornferry/io/conn/link"
)

// dialTimeout bounds opening a connection.
const dialTimeout = 5 * time.Second

// Handler serves the connections that peers open.
func (n *Node) Handler() link.Handler {
	n.init()
	return link.Handler{Kinds: kinds(), Serve: func(ctx context.Context, lc *link.Conn) {
		n.serve(ctx, newConn(lc), false)
	}}
}

// dial opens a connection to a side unless there is one, or one is being
// opened. It is called with the state locked; the returned channel is closed
// when the attempt is over.
func (n *Node) dial(s *state, name string) <-chan struct{} {
	if done, ok := s.dialing[name]; ok {
		return done
	}
	done := make(chan struct{})
	if _, ok := s.conns[name]; ok {
		close(done)
		return done
	}
	addr, ok := n.addressOf(s, name)
	if !ok {
		close(done)
		return done
	}
	s.dialing[name] = done
	n.spawn(s, func() { n.dialAndServe(name, addr, done) })
	return done
}

func (n *Node) dialAndServe(name string, addr netip.AddrPort, done chan struct{}) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	lc, err := link.Dial(ctx, n.Self, addr, link.PurposeWeights, kinds())
	if err == nil && lc.Peer.VM.Name != name {
		lc.Close()
		err = fault.Newf("dial", addr.String(), "answered as %s, want %s", lc.Peer.VM.Name, name)
	}
	if err != nil {
		n.do(func(s *state) {
			delete(s.dialing, name)
			if errors.Is(err, syscall.ECONNREFUSED) {
				s.add(s.core.Refused(s.now, name))
			}
		})
		close(done)
		n.reportUnlessStopped("dial", name, err)
		return
	}
	c := newConn(lc)
	defer lc.Close()
	n.serveAfter(n.ctx, c, true, func() {
		n.mu.Lock()
		delete(n.state.dialing, name)
		n.mu.Unlock()
		close(done)
	})
}

func (n *Node) serve(ctx context.Context, c *conn, dialed bool) {
	n.serveAfter(ctx, c, dialed, func() {})
}

// serveAfter runs a connection until it ends. registered is called once the
// connection can be used.
func (n *Node) serveAfter(ctx context.Context, c *conn, dialed bool, registered func()) {
	ok := n.register(c, dialed)
	registered()
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopNode := context.AfterFunc(n.ctx, cancel)
	defer stopNode()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	done := make(chan error, 1)
	go func() {
		err := n.write(ctx, c)
		c.Close()
		done <- err
	}()
	err := n.read(c)
	cancel()
	werr := <-done
	if werr != nil && !errors.Is(werr, context.Canceled) {
		err = werr
	}
	if n.unregister(c) {
		n.reportUnlessStopped("serve connection", c.name(), err)
	}
}

// register makes c the connection to its peer. When both sides dialed, the
// connection that the side with the lesser name dialed stays: both ends come
// to the same answer.
func (n *Node) register(c *conn, dialed bool) bool {
	dialer := c.name()
	if dialed {
		dialer = n.Self.VM.Name
	}
	var old *conn
	kept := true
	n.do(func(s *state) {
		old = s.conns[c.name()]
		if old != nil && old.Peer.Boot == c.Peer.Boot && dialer > min(c.name(), n.Self.VM.Name) {
			kept = false
			return
		}
		s.conns[c.name()] = c
		if old != nil {
			// Nobody answers over the old connection any more; a transfer left
			// waiting on it would keep its buffer until the process ends.
			n.cancelFrom(s, c.name())
			s.endAsks(c.name())
			s.add(s.core.Disconnected(s.now, c.name()))
		}
		s.add(s.core.Connected(s.now, burst.Member{Name: c.name(), Region: c.Peer.VM.Region}))
	})
	if kept && old != nil {
		old.Close()
	}
	return kept
}

// unregister reports whether c was still the connection to its peer.
func (n *Node) unregister(c *conn) bool {
	n.uploads.closed(c)
	current := false
	n.do(func(s *state) {
		if s.conns[c.name()] != c {
			return
		}
		current = true
		delete(s.conns, c.name())
		n.cancelFrom(s, c.name())
		s.endAsks(c.name())
		s.add(s.core.Disconnected(s.now, c.name()))
	})
	return current
}

// cancelFrom ends the transfers from a peer that is gone.
func (n *Node) cancelFrom(s *state, name string) {
	for d, in := range s.incoming {
		if in.fetch.Peer == name {
			delete(s.incoming, d)
			in.cancel(errStopped)
		}
	}
}

// connTo returns the connection to a side, opened if there is none.
func (n *Node) connTo(ctx context.Context, name string) (*conn, error) {
	n.mu.Lock()
	if c, ok := n.state.conns[name]; ok {
		n.mu.Unlock()
		return c, nil
	}
	done := n.dial(&n.state, name)
	n.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.state.conns[name]
	if !ok {
		return nil, fault.Newf("connect", name, "no connection")
	}
	return c, nil
}

func (n *Node) addressOf(s *state, name string) (netip.AddrPort, bool) {
	for _, vm := range s.view.VMs {
		if vm.Name == name {
			return vm.Address, true
		}
	}
	return netip.AddrPort{}, false
}

func (n *Node) sidesInRegion() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := 0
	for _, vm := range n.state.view.VMs {
		if vm.Region == n.Self.VM.Region && vm.Role == n.Self.VM.Role {
			k++
		}
	}
	return k
}
