package front

import (
	"net"
	"net/netip"
	"sync"
	"testing"
)

// proxy forwards connections between entries and a side. freeze makes the open
// connections stay open without forwarding anything; new connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxiedConn
}

// proxiedConn is a proxied connection. Data is forwarded once open is closed.
type proxiedConn struct {
	client, server net.Conn
	open           chan struct{}
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
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		open := make(chan struct{})
		close(open)
		pr := &proxiedConn{client: client, server: server, open: open}
		p.mu.Lock()
		p.conns = append(p.conns, pr)
		p.mu.Unlock()
		go p.copy(pr, server, client)
		go p.copy(pr, client, server)
	}
}

// maxHeldPieces is the maximum number of reads that one direction of a connection holds
// back.
const maxHeldPieces = 4096

// copy forwards data in order while the connection is not frozen. It keeps reading
// while it is frozen: data left in the kernel could be discarded by a reset from the
// other end.
func (p *proxy) copy(pr *proxiedConn, to, from net.Conn) {
	held := make(chan []byte, maxHeldPieces)
	go p.forward(pr, to, held)
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

func (p *proxy) forward(pr *proxiedConn, to net.Conn, held <-chan []byte) {
	defer to.Close()
	for b := range held {
		p.waitOpen(pr)
		_, _ = to.Write(b)
	}
	p.waitOpen(pr)
}

func (p *proxy) waitOpen(pr *proxiedConn) {
	p.mu.Lock()
	open := pr.open
	p.mu.Unlock()
	<-open
}

// freeze stops forwarding on the connections that are open now. The returned function
// forwards what they have held back and resumes them.
func (p *proxy) freeze() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(chan struct{})
	for _, pr := range p.conns {
		pr.open = open
	}
	return sync.OnceFunc(func() { close(open) })
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.conns {
		pr.client.Close()
		pr.server.Close()
	}
}
