package watch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"hawthornferry/core/process/gossip"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Limits of the connections.
const (
	// maxPeers limits the connections of a process. A peer that is rejected
	// connects to other processes.
	maxPeers = 64
	// maxOutgoing limits the messages that are queued for one peer. It is
	// enough for a whole VM list in parts. A peer whose queue is full is
	// disconnected.
	maxOutgoing = 128
	// silenceTimeout is how long a peer may send nothing. Peers send once in
	// each exchangeInterval. If a device between the two ends has dropped the
	// connection's state, there is no error, only silence, and the connection
	// has to be replaced.
	silenceTimeout = 5 * exchangeInterval
)

// peerConn is one connection to a peer. dialed is the address if this process
// opened it. temporary is set if it may be closed once there are enough others.
// Only the event loop uses lastReceived and connectedAt.
type peerConn struct {
	id           gossip.PeerID
	link         *link.Conn
	dialed       netip.AddrPort
	temporary    bool
	outgoing     chan frame.Message
	cancel       context.CancelFunc
	lastReceived time.Time
	connectedAt  time.Time
}

// Handler serves the configuration connections of peers.
func (w *Watcher) Handler() link.Handler {
	w.init()
	return link.Handler{
		Kinds: kinds(),
		Serve: func(ctx context.Context, c *link.Conn) { w.serve(ctx, &peerConn{link: c}) },
	}
}

// serve runs one connection until either end closes it.
func (w *Watcher) serve(ctx context.Context, p *peerConn) {
	ctx, p.cancel = context.WithCancel(ctx)
	defer p.cancel()
	p.outgoing = make(chan frame.Message, maxOutgoing)
	// Otherwise a peer that doesn't read would block the writer in Send for
	// ever.
	stop := context.AfterFunc(ctx, func() { p.link.Close() })
	defer stop()
	if !w.post(ctx, func(now time.Time) []gossip.Action { return w.addConn(p, now) }) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.write(ctx) })
	w.receive(ctx, p)
	p.cancel()
	p.link.Close()
	wg.Wait()
	w.post(context.Background(), func(now time.Time) []gossip.Action { return w.removeConn(p, now) })
}

func (p *peerConn) write(ctx context.Context) {
	defer p.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.outgoing:
			if p.link.Send(m) != nil {
				return
			}
		}
	}
}

func (w *Watcher) receive(ctx context.Context, p *peerConn) {
	for {
		m, err := p.link.Receive()
		if err != nil {
			return
		}
		if !w.post(ctx, func(now time.Time) []gossip.Action { return w.handle(p, m, now) }) {
			return
		}
	}
}

// addConn adds a connection, or closes it if there are maxPeers already.
func (w *Watcher) addConn(p *peerConn, now time.Time) []gossip.Action {
	delete(w.dialer.dialing, p.dialed)
	if len(w.conns) >= maxPeers {
		p.cancel()
		return nil
	}
	w.nextID++
	p.id = w.nextID
	p.lastReceived = now
	p.connectedAt = now
	w.conns[p.id] = p
	return w.node.Connected(p.id, p.link.Peer.VM.Zone, now)
}

func (w *Watcher) removeConn(p *peerConn, now time.Time) []gossip.Action {
	if w.conns[p.id] != p {
		return nil
	}
	delete(w.conns, p.id)
	w.countBytes(p)
	if p.dialed.IsValid() {
		w.scheduleRedial(p.dialed, now.Sub(p.connectedAt), now)
	}
	out := w.node.Disconnected(p.id, now)
	w.connect(now)
	return out
}

func (w *Watcher) handle(p *peerConn, m frame.Message, now time.Time) []gossip.Action {
	if w.conns[p.id] != p {
		return nil
	}
	p.lastReceived = now
	switch m := m.(type) {
	case *marksMsg:
		return w.node.Marks(p.id, m.Marks, now)
	case *pullMsg:
		return w.node.Pull(p.id, m.Pull)
	case *deltaMsg:
		return w.node.Delta(p.id, m.Delta, now)
	}
	return nil
}

// send queues a message. It never blocks, because the event loop serves all
// peers.
func (w *Watcher) send(id gossip.PeerID, m frame.Message) {
	p, ok := w.conns[id]
	if !ok {
		return
	}
	select {
	case p.outgoing <- m:
	default:
		p.cancel()
	}
}

// closeSilent closes the connections on which nothing has been received for
// silenceTimeout. If this process was paused itself, it restarts the timeouts
// instead of closing all connections at once.
func (w *Watcher) closeSilent(now time.Time) {
	paused := now.Sub(w.lastTick) > silenceTimeout/2
	w.lastTick = now
	for _, p := range w.conns {
		if paused {
			p.lastReceived = now
		}
		if now.Sub(p.lastReceived) > silenceTimeout {
			p.cancel()
		}
	}
}

func (w *Watcher) closeAll() {
	for _, p := range w.conns {
		p.cancel()
	}
}

func (w *Watcher) peerName(id gossip.PeerID) string {
	if p, ok := w.conns[id]; ok {
		return p.link.Peer.VM.Name
	}
	return ""
}
