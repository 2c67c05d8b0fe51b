package front

import (
	"net"
	"net/netip"
	"sync"
	"testing"
)

// proxy stands between entries and a side. Connections that it loses track
// of stay open and carry nothing more; new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
}

// pair is one proxied connection.
type pair struct {
	near, far net.Conn
	gate      chan struct{}
}

func newProxy(t *testing.T, target netip.AddrPort) *proxy {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: nl, target: target.String()}
	t.Cleanup(p.close)
	go p.run()
	return p
}

func (p *proxy) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *proxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		open := make(chan struct{})
		close(open)
		pr := &pair{near: near, far: far, gate: open}
		p.mu.Lock()
		p.pairs = append(p.pairs, pr)
		p.mu.Unlock()
		go p.copy(pr, far, near)
		go p.copy(pr, near, far)
	}
}

// maxHeld is the most pieces that one direction of a pair holds back.
const maxHeld = 4096

// copy passes on what it reads, in order, while the gate is open. It reads on
// while the gate is closed: left in the kernel, what was held back could be
// dropped by a reset from the other end.
func (p *proxy) copy(pr *pair, to, from net.Conn) {
	held := make(chan []byte, maxHeld)
	go p.deliver(pr, to, held)
	defer close(held)
	for {
		buf := make([]byte, 64<<10)
		n, err := from.Read(buf)
		if n > 0 {
			held <- buf[:n]
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) deliver(pr *pair, to net.Conn, held <-chan []byte) {
	defer to.Close()
	for b := range held {
		p.await(pr)
		_, _ = to.Write(b)
	}
	p.await(pr)
}

func (p *proxy) await(pr *pair) {
	p.mu.Lock()
	gate := pr.gate
	p.mu.Unlock()
	<-gate
}

// silence loses track of the connections that are open now. The returned
// function lets go what they have held back.
func (p *proxy) silence() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	gate := make(chan struct{})
	for _, pr := range p.pairs {
		pr.gate = gate
	}
	return sync.OnceFunc(func() { close(gate) })
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.pairs {
		pr.near.Close()
		pr.far.Close()
	}
}
