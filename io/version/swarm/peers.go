package swarm

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/link"
)

// dialTimeout limits opening a connection, handshake included.
const dialTimeout = 5 * time.Second

// Handler returns the handler for connections that peers open.
func (n *Node) Handler() link.Handler {
	n.init()
	return link.Handler{Kinds: messageKinds(), Serve: func(ctx context.Context, lc *link.Conn) {
		n.serve(ctx, newConn(lc), false)
	}}
}

// dial opens a connection to a side in the background unless there is one or
// one is being opened. The caller holds n.mu. The returned channel is closed
// when the attempt has ended.
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

// dialAndServe opens a connection and serves it until it ends. It closes done
// once the connection is registered or the attempt has failed.
func (n *Node) dialAndServe(name string, addr netip.AddrPort, done chan struct{}) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	lc, err := link.Dial(ctx, n.Self, addr, link.PurposeWeights, messageKinds())
	if err == nil && lc.Peer.VM.Name != name {
		lc.Close()
		err = operr.Errorf("dial", addr.String(), "answered as %s, want %s", lc.Peer.VM.Name, name)
	}
	if err != nil {
		n.withState(func(s *state) {
			delete(s.dialing, name)
			if errors.Is(err, syscall.ECONNREFUSED) {
				s.addActions(s.distribution.ConnectionRefused(s.now, name))
			}
		})
		close(done)
		n.logErrorUnlessStopped("dial", name, err)
		return
	}
	c := newConn(lc)
	defer lc.Close()
	n.serveConn(n.ctx, c, true, func() {
		n.mu.Lock()
		delete(n.state.dialing, name)
		n.mu.Unlock()
		close(done)
	})
}

// serve registers a connection and runs it until it ends.
func (n *Node) serve(ctx context.Context, c *conn, dialed bool) {
	n.serveConn(ctx, c, dialed, func() {})
}

// serveConn is serve with a callback: registered is called once the connection
// was accepted by register or rejected.
func (n *Node) serveConn(ctx context.Context, c *conn, dialed bool, registered func()) {
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
		err := n.writeLoop(ctx, c)
		c.Close()
		done <- err
	}()
	err := n.readLoop(c)
	cancel()
	werr := <-done
	if werr != nil && !errors.Is(werr, context.Canceled) {
		err = werr
	}
	if n.unregister(c) {
		n.logErrorUnlessStopped("serve connection", c.peerName(), err)
	}
}

// register makes c the connection to its peer and reports whether it did. When
// both sides dialed each other, both keep the connection that was dialed by
// the side whose name sorts first.
func (n *Node) register(c *conn, dialed bool) bool {
	dialer := c.peerName()
	if dialed {
		dialer = n.Self.VM.Name
	}
	var old *conn
	registered := true
	n.withState(func(s *state) {
		old = s.conns[c.peerName()]
		if old != nil && old.Peer.Boot == c.Peer.Boot && dialer > min(c.peerName(), n.Self.VM.Name) {
			registered = false
			return
		}
		s.conns[c.peerName()] = c
		if old != nil {
			// The peer no longer answers on the old connection. A transfer that
			// waits on it would keep its buffer until the process ends.
			n.cancelFrom(s, c.peerName())
			s.endManifestRequests(c.peerName())
			s.addActions(s.distribution.PeerDisconnected(s.now, c.peerName()))
		}
		s.addActions(s.distribution.PeerConnected(s.now, spread.Member{Name: c.peerName(), Region: c.Peer.VM.Region}))
	})
	if registered && old != nil {
		old.Close()
	}
	return registered
}

// unregister removes c and reports whether it was still the connection to its
// peer.
func (n *Node) unregister(c *conn) bool {
	n.uploads.removeConn(c)
	wasCurrent := false
	n.withState(func(s *state) {
		if s.conns[c.peerName()] != c {
			return
		}
		wasCurrent = true
		delete(s.conns, c.peerName())
		n.cancelFrom(s, c.peerName())
		s.endManifestRequests(c.peerName())
		s.addActions(s.distribution.PeerDisconnected(s.now, c.peerName()))
	})
	return wasCurrent
}

// cancelFrom cancels the transfers from a peer whose connection was lost. The
// caller holds n.mu.
func (n *Node) cancelFrom(s *state, name string) {
	for d, in := range s.incoming {
		if in.fetch.Peer == name {
			delete(s.incoming, d)
			in.cancel(errStopped)
		}
	}
}

// connectTo returns the connection to a side and opens one if needed.
func (n *Node) connectTo(ctx context.Context, name string) (*conn, error) {
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
		return nil, operr.Errorf("connect", name, "no connection")
	}
	return c, nil
}

// addressOf returns the address of a VM in the current view. The caller holds
// n.mu.
func (n *Node) addressOf(s *state, name string) (netip.AddrPort, bool) {
	for _, vm := range s.view.VMs {
		if vm.Name == name {
			return vm.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// sidesInRegion counts the VMs of this side's region that have the same role,
// this one included.
func (n *Node) sidesInRegion() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, vm := range n.state.view.VMs {
		if vm.Region == n.Self.VM.Region && vm.Role == n.Self.VM.Role {
			count++
		}
	}
	return count
}
