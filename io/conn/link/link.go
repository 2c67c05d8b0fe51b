// Package link opens and accepts connections between processes of the
// system. The first message each way is a Hello; its purpose selects who
// handles the connection, so that bulk transfers never share a connection
// with calls.
package link

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/operr"
	"hawthornferry/io/conn/frame"
)

// Purpose says what a connection is for.
type Purpose string

// The purposes of a connection.
const (
	PurposeCalls   Purpose = "calls"
	PurposeWeights Purpose = "weights"
	PurposeConfig  Purpose = "config"
	PurposeOrders  Purpose = "orders"
	// PurposeLoad carries an engine's load from its side to the entries, and
	// PurposeEditions the manifests of versions between sides.
	PurposeLoad     Purpose = "load"
	PurposeEditions Purpose = "editions"
	// PurposeAlerts carries which requests crash targets.
	PurposeAlerts Purpose = "alerts"
)

// HelloTimeout bounds the wait for the peer's Hello.
const HelloTimeout = 5 * time.Second

// Hello is the first message each way. Boot is drawn anew by each start of a
// process, so that a replaced process is never taken for the old one.
type Hello struct {
	Purpose Purpose  `msgpack:"purpose"`
	Boot    string   `msgpack:"boot"`
	VM      fleet.VM `msgpack:"vm"`
}

// Kind names the message.
func (*Hello) Kind() frame.Kind { return "hello" }

// Check reports the first field that is out of its domain.
func (h *Hello) Check() error {
	if !slices.Contains(Purposes(), h.Purpose) {
		return errors.Newf("hello: unknown purpose %q", h.Purpose)
	}
	if h.Boot == "" {
		return errors.New("hello: boot is empty")
	}
	return h.VM.Check()
}

// Self is what a process tells its peers of itself. Revision is the highest
// configuration revision held; it is raised as documents arrive.
type Self struct {
	VM       fleet.VM
	Boot     string
	Revision atomic.Uint64
	Totals   Totals

	ahead atomic.Pointer[AheadFunc]
}

// AheadFunc is told of a peer that has shown a revision above the one held
// here. It must not block.
type AheadFunc func(peer fleet.VM, revision uint64)

// NotifyAhead sets who is told of peers that are ahead, on connections of
// every purpose.
func (s *Self) NotifyAhead(f AheadFunc) { s.ahead.Store(&f) }

// see compares the revision of a frame with the one held here.
func (s *Self) see(peer fleet.VM, revision uint64) {
	if revision <= s.Revision.Load() {
		return
	}
	if f := s.ahead.Load(); f != nil {
		(*f)(peer, revision)
	}
}

// Conn is one connection after both Hellos. Send is safe for concurrent use,
// Receive is for one goroutine.
type Conn struct {
	Peer Hello

	self *Self
	nc   *counted
	w    *frame.Writer
	r    *frame.Reader
	// PeerRevision is the highest revision that the peer has shown.
	PeerRevision atomic.Uint64
}

// Send writes one message.
func (c *Conn) Send(m frame.Message) error {
	err := c.w.Write(m, c.self.Revision.Load())
	return operr.Wrap("send "+string(m.Kind()), c.Peer.VM.Name, err)
}

// Receive returns the next message.
func (c *Conn) Receive() (frame.Message, error) {
	m, h, err := c.r.Read()
	if err != nil {
		return nil, operr.Wrap("receive", c.Peer.VM.Name, err)
	}
	if h.Revision > c.PeerRevision.Load() {
		c.PeerRevision.Store(h.Revision)
	}
	c.self.see(c.Peer.VM, h.Revision)
	return m, nil
}

// SetReadDeadline bounds the next Receive; the zero time removes the bound.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.nc.SetReadDeadline(t) }

// SetWriteDeadline bounds the next Send; the zero time removes the bound.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.nc.SetWriteDeadline(t) }

// Close closes the connection; a blocked Receive returns.
func (c *Conn) Close() error { return c.nc.Close() }

// Dial connects to the process at addr for purpose and exchanges Hellos.
// kinds are the messages that the caller accepts.
func Dial(ctx context.Context, self *Self, addr netip.AddrPort, purpose Purpose, kinds frame.Kinds) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, operr.Wrap("dial", addr.String(), err)
	}
	c := newConn(self, nc, kinds)
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	if err := c.greet(purpose); err != nil {
		nc.Close()
		return nil, operr.Wrap("greet", addr.String(), err)
	}
	if err := c.awaitHello(); err != nil {
		nc.Close()
		return nil, operr.Wrap("await hello", addr.String(), err)
	}
	c.nc.belong(self, purpose, c.Peer.VM)
	return c, nil
}

func newConn(self *Self, nc net.Conn, kinds frame.Kinds) *Conn {
	all := frame.Kinds{}
	for k, f := range kinds {
		all[k] = f
	}
	all.Register(func() frame.Message { return &Hello{} })
	cc := &counted{Conn: nc}
	return &Conn{self: self, nc: cc, w: frame.NewWriter(cc), r: frame.NewReader(cc, all)}
}

func (c *Conn) greet(p Purpose) error {
	return c.w.Write(&Hello{Purpose: p, Boot: c.self.Boot, VM: c.self.VM}, c.self.Revision.Load())
}

func (c *Conn) awaitHello() error {
	if err := c.nc.SetReadDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return err
	}
	m, h, err := c.r.Read()
	if err != nil {
		return err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return errors.Newf("first message is %s, want hello", m.Kind())
	}
	c.Peer = *hello
	c.PeerRevision.Store(h.Revision)
	c.self.see(c.Peer.VM, h.Revision)
	return c.nc.SetReadDeadline(time.Time{})
}
