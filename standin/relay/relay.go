// Package relay forwards TCP connections to a process and injects network
// faults: delay, connections that are closed or reset, and connections that go
// silent, that is stay open and pass nothing any more, while new ones work. The
// relay command of standin and the soak test use it.
package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/standin/serve"
)

// Limits of a route: the open connections, the bytes of one read, the reads
// that are buffered for each direction of a connection, and the time to connect
// to To.
const (
	maxConns    = 1024
	readSize    = 16 << 10
	maxSegments = 64
	dialTimeout = 2 * time.Second
)

// Faults are the faults of a route; each control call replaces them all. Delay
// is added to every byte in both directions. Hold buffers what is sent on any
// connection until the faults are replaced, and then delivers it. HoldRequests and
// HoldResponses do the same in one direction: towards To, and from To to the client.
type Faults struct {
	Delay         serve.Duration `json:"delay"`
	Hold          bool           `json:"hold"`
	HoldRequests  bool           `json:"holdThere,omitempty"`
	HoldResponses bool           `json:"holdBack,omitempty"`
}

// holds reports whether the bytes of a direction are held. reverse is the
// direction from To to the client.
func (f Faults) holds(reverse bool) bool {
	return f.Hold || (f.HoldResponses && reverse) || (f.HoldRequests && !reverse)
}

// Route forwards the connections that are accepted on Listen to To. Set the
// exported fields before Run.
type Route struct {
	Listen netip.AddrPort
	To     netip.AddrPort
	Clock  clockwork.Clock

	faults serve.Observable[Faults]
	mu     sync.Mutex
	pipes  map[*pipe]struct{}
}

// pipe is one forwarded connection: the one accepted from the client and the
// one made to To.
type pipe struct {
	client   net.Conn
	upstream net.Conn
	// silent is closed when the pipe stops passing bytes for good.
	silent      chan struct{}
	silenceOnce sync.Once
}

func (p *pipe) close() {
	p.client.Close()
	p.upstream.Close()
}

// reset closes both connections with a TCP reset, since a receiver that saw an
// ordinary end could take the bytes before it for the complete message.
func (p *pipe) reset() {
	for _, nc := range []net.Conn{p.client, p.upstream} {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	p.close()
}

// Run accepts connections on nl until ctx ends, and then closes the open ones.
func (t *Route) Run(ctx context.Context, nl net.Listener) error {
	stop := context.AfterFunc(ctx, func() { nl.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer t.Cut()
	for {
		nc, err := nl.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept on %s", t.Listen)
		}
		wg.Go(func() { t.serve(ctx, nc) })
	}
}

func (t *Route) serve(ctx context.Context, client net.Conn) {
	d := net.Dialer{Timeout: dialTimeout}
	upstream, err := d.DialContext(ctx, "tcp", t.To.String())
	if err != nil {
		client.Close()
		return
	}
	p := &pipe{client: client, upstream: upstream, silent: make(chan struct{})}
	defer p.close()
	if !t.add(p) {
		return
	}
	defer t.remove(p)
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { t.forward(ctx, p, client, upstream) })
	wg.Go(func() { t.forward(ctx, p, upstream, client) })
	wg.Wait()
}

func (t *Route) add(p *pipe) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pipes == nil {
		t.pipes = map[*pipe]struct{}{}
	}
	if len(t.pipes) >= maxConns {
		return false
	}
	t.pipes[p] = struct{}{}
	return true
}

func (t *Route) remove(p *pipe) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pipes, p)
}

// openPipes returns the connections that are open now.
func (t *Route) openPipes() []*pipe {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pipe
	for p := range t.pipes {
		out = append(out, p)
	}
	return out
}

// Cut closes the open connections and returns how many there were.
func (t *Route) Cut() int {
	open := t.openPipes()
	for _, p := range open {
		p.close()
	}
	return len(open)
}

// Reset closes the open connections with a TCP reset at both ends and returns
// how many there were.
func (t *Route) Reset() int {
	open := t.openPipes()
	for _, p := range open {
		p.reset()
	}
	return len(open)
}

// Silence makes the open connections drop everything from now on, without
// closing either end. Connections made later work. It returns how many there
// were.
func (t *Route) Silence() int {
	open := t.openPipes()
	for _, p := range open {
		p.silenceOnce.Do(func() { close(p.silent) })
	}
	return len(open)
}

// SetFaults replaces the faults.
func (t *Route) SetFaults(f Faults) { t.faults.Set(f) }
