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

// Bounds of the connections.
const (
	// maxPeers bounds the connections; a process on its own asks elsewhere.
	maxPeers = 64
	// maxOutgoing bounds the messages that wait for one peer. It holds a
	// whole VM list in parts; a peer that lets it fill is cut.
	maxOutgoing = 128
	// silentAfter is how long a peer may say nothing. Peers speak once in
	// each exchange; a connection that something between the two ends has
	// lost track of brings no error, only silence, and is replaced.
	silentAfter = 5 * exchange
)

// peerConn is one connection to a peer. dialed is the address to which this
// process has opened it; brief says that it need not stay. heard and joined
// belong to the loop.
type peerConn struct {
	id     gossip.PeerID
	link   *link.Conn
	dialed netip.AddrPort
	brief  bool
	out    chan frame.Message
	end    context.CancelFunc
	heard  time.Time
	joined time.Time
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
	ctx, p.end = context.WithCancel(ctx)
	defer p.end()
	p.out = make(chan frame.Message, maxOutgoing)
	// A peer that does not read would keep the writer in Send for ever.
	stop := context.AfterFunc(ctx, func() { p.link.Close() })
	defer stop()
	if !w.post(ctx, func(now time.Time) []gossip.Action { return w.join(p, now) }) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.write(ctx) })
	w.receive(ctx, p)
	p.end()
	p.link.Close()
	wg.Wait()
	w.post(context.Background(), func(now time.Time) []gossip.Action { return w.leave(p, now) })
}

func (p *peerConn) write(ctx context.Context) {
	defer p.end()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.out:
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

// join adds a connection; over the bound it is closed.
func (w *Watcher) join(p *peerConn, now time.Time) []gossip.Action {
	delete(w.dialer.dialingTo, p.dialed)
	if len(w.conns) >= maxPeers {
		p.end()
		return nil
	}
	w.nextID++
	p.id = w.nextID
	p.heard = now
	p.joined = now
	w.conns[p.id] = p
	return w.node.Connected(p.id, p.link.Peer.VM.Zone, now)
}

func (w *Watcher) leave(p *peerConn, now time.Time) []gossip.Action {
	if w.conns[p.id] != p {
		return nil
	}
	delete(w.conns, p.id)
	w.countBytes(p)
	if p.dialed.IsValid() {
		w.backOff(p.dialed, now.Sub(p.joined), now)
	}
	out := w.node.Gone(p.id, now)
	w.connect(now)
	return out
}

func (w *Watcher) handle(p *peerConn, m frame.Message, now time.Time) []gossip.Action {
	if w.conns[p.id] != p {
		return nil
	}
	p.heard = now
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

// send queues a message; it never waits, since the loop serves all peers.
func (w *Watcher) send(id gossip.PeerID, m frame.Message) {
	p, ok := w.conns[id]
	if !ok {
		return
	}
	select {
	case p.out <- m:
	default:
		p.end()
	}
}

// closeSilent ends the connections from which nothing has come for long. A
// process that was paused itself has heard nobody: it gives its peers a new
// term instead of cutting all of them at once.
func (w *Watcher) closeSilent(now time.Time) {
	paused := now.Sub(w.last) > silentAfter/2
	w.last = now
	for _, p := range w.conns {
		if paused {
			p.heard = now
		}
		if now.Sub(p.heard) > silentAfter {
			p.end()
		}
	}
}

func (w *Watcher) closeAll() {
	for _, p := range w.conns {
		p.end()
	}
}

func (w *Watcher) peerName(id gossip.PeerID) string {
	if p, ok := w.conns[id]; ok {
		return p.link.Peer.VM.Name
	}
	return ""
}
