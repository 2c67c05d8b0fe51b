// Package relay passes TCP connections on to a process and brings about the
// faults of a network: delay, connections that close, and connections that
// go silent for good while new ones work.
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

// Bounds of a route.
const (
	maxConns    = 1024
	readSize    = 16 << 10
	maxSegments = 64
	dialTimeout = 2 * time.Second
)

// Faults are the faults of a route; each control call replaces them all.
// Delay holds every byte back, each way. Hold passes nothing on any
// connection until the faults are replaced; what is sent meanwhile arrives
// then. HoldThere and HoldBack do the same one way, towards To and back.
type Faults struct {
	Delay     serve.Span `json:"delay"`
	Hold      bool       `json:"hold"`
	HoldThere bool       `json:"holdThere,omitempty"`
	HoldBack  bool       `json:"holdBack,omitempty"`
}

// holds reports whether bytes of one way are held back.
func (f Faults) holds(reverse bool) bool {
	return f.Hold || (f.HoldBack && reverse) || (f.HoldThere && !reverse)
}

// Route passes the connections that Listen accepts on to To. Set the exported
// fields before Run.
type Route struct {
	Listen netip.AddrPort
	To     netip.AddrPort
	Clock  clockwork.Clock

	faults serve.Observable[Faults]
	mu     sync.Mutex
	pipes  map[*pipe]struct{}
}

// pipe is one connection through the route.
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

// reset closes both ends with a reset: an end that was cut off must not take
// what it got for the whole.
func (p *pipe) reset() {
	for _, nc := range []net.Conn{p.client, p.upstream} {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	p.close()
}

// Run accepts on nl until ctx ends.
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

// open are the connections that are open now.
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

// Reset ends the open connections with a reset at both ends and returns how
// many there were.
func (t *Route) Reset() int {
	open := t.openPipes()
	for _, p := range open {
		p.reset()
	}
	return len(open)
}

// Silence stops the open connections from passing anything for good. Neither
// end is told; connections made later work. It returns how many there were.
func (t *Route) Silence() int {
	open := t.openPipes()
	for _, p := range open {
		p.silenceOnce.Do(func() { close(p.silent) })
	}
	return len(open)
}

// SetFaults replaces the faults.
func (t *Route) SetFaults(f Faults) { t.faults.Set(f) }
