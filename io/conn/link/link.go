// Package link opens and accepts connections between the entries and sides of the
// system. Each end first sends a Hello. Its Purpose selects the handler at the
// accepting process; bulk transfers have their own purpose, so that calls never
// wait behind them on a connection. Every package that talks to peers uses Dial
// or RoundTrip and provides a Handler for the process's Listener.
package link

import (
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/bound"
	"hawthornferry/io/conn/frame"
)

// Purpose selects the handler of a connection and the messages that it carries.
type Purpose string

// The purposes of a connection.
const (
	// PurposeCalls carries callers' requests from entries to sides (package sessn).
	PurposeCalls Purpose = "calls"
	// PurposeWeights carries chunks of model weights between sides.
	PurposeWeights Purpose = "weights"
	// PurposeConfig carries configuration documents and lists of VMs (package watch)
	// or facts about the platform's state (package feed).
	PurposeConfig Purpose = "config"
	// PurposeOrders carries the question of a side that is to load weights, and the
	// answering side's own load status (package order).
	PurposeOrders Purpose = "orders"
	// PurposeLoad carries an engine's load from its side to the entries.
	PurposeLoad Purpose = "load"
	// PurposeManifests carries the manifests of versions between sides.
	PurposeManifests Purpose = "editions"
	// PurposeAlerts carries which requests crash targets.
	PurposeAlerts Purpose = "alerts"
)

// HelloTimeout is how long either end waits for the peer's Hello. Without it, a
// peer that connects and sends nothing would occupy a goroutine and a socket for
// ever.
const HelloTimeout = 5 * time.Second

// Hello is the first message in each direction. Boot is a new random value at each
// start of a process, so that a restarted process is not mistaken for its
// predecessor.
type Hello struct {
	Purpose Purpose  `msgpack:"purpose"`
	Boot    string   `msgpack:"boot"`
	VM      fleet.VM `msgpack:"vm"`
}

// Kind returns the message's kind on the wire.
func (*Hello) Kind() frame.Kind { return "hello" }

// Check returns an error for the first invalid field.
func (h *Hello) Check() error {
	if !slices.Contains(Purposes(), h.Purpose) {
		return errors.Newf("hello: unknown purpose %q", h.Purpose)
	}
	if h.Boot == "" {
		return errors.New("hello: boot is empty")
	}
	return h.VM.Check()
}

// Self describes this process to its peers and holds its traffic totals. Revision
// is the highest configuration revision that the process has; packages watch and
// feed raise it.
type Self struct {
	VM       fleet.VM
	Boot     string
	Revision atomic.Uint64
	Totals   Totals
	// CutOffs reports peers that have sent more than they may; nil for none. It must not change
	// once there are connections.
	CutOffs *bound.Reporter

	peerAhead atomic.Pointer[PeerAheadFunc]
}

// PeerAheadFunc is called with a peer that has sent a higher configuration revision
// than Self.Revision. It must not block.
type PeerAheadFunc func(peer fleet.VM, revision uint64)

// OnPeerAhead sets the function to call when a peer has a higher revision, on
// connections of every purpose.
func (s *Self) OnPeerAhead(f PeerAheadFunc) { s.peerAhead.Store(&f) }

// compareRevision calls the PeerAheadFunc when a peer's frame has a higher revision than
// this process.
func (s *Self) compareRevision(peer fleet.VM, revision uint64) {
	if revision <= s.Revision.Load() {
		return
	}
	if f := s.peerAhead.Load(); f != nil {
		(*f)(peer, revision)
	}
}

// Conn is a connection on which both Hellos have been exchanged. Send is safe for
// concurrent use, Receive is not.
type Conn struct {
	Peer Hello

	self *Self
	nc   *countingConn
	w    *frame.Writer
	r    *frame.Reader
	// PeerRevision is the highest configuration revision that the peer has sent.
	PeerRevision atomic.Uint64
	deadlines    readDeadlines
}

// Send writes one message.
func (c *Conn) Send(m frame.Message) error {
	err := c.w.Write(m, c.self.Revision.Load())
	return operr.Wrap("send "+string(m.Kind()), c.Peer.VM.Name, err)
}

// Receive returns the next message.
func (c *Conn) Receive() (frame.Message, error) {
	m, h, err := c.read()
	if err != nil {
		return nil, operr.Wrap("receive", c.Peer.VM.Name, err)
	}
	if h.Revision > c.PeerRevision.Load() {
		c.PeerRevision.Store(h.Revision)
	}
	c.self.compareRevision(c.Peer.VM, h.Revision)
	return m, nil
}

// read reads the next message, and reports a peer that has sent more than it may. Whoever uses the
// connection closes it after an error.
func (c *Conn) read() (frame.Message, frame.Header, error) {
	m, h, err := c.r.Read()
	if err == nil {
		return m, h, nil
	}
	if c.deadlines.frameExpired() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = &bound.CutOffError{Bound: c.r.Bound, Reason: "not complete within " + c.deadlines.frameTimeout.String()}
	}
	if _, cut := bound.Of(err); cut {
		c.reportCutOff(err)
	}
	return nil, h, err
}

// CutOff closes the connection and reports the peer, which has exceeded a bound over several
// messages. It returns err.
func (c *Conn) CutOff(err error) error {
	c.reportCutOff(err)
	c.Close()
	return err
}

// reportCutOff reports the peer. Until it has sent its Hello, it is known by its IP address only.
func (c *Conn) reportCutOff(err error) {
	peer, address := c.Peer.VM.Name, c.Peer.VM.Address.String()
	if peer == "" {
		if address, _, _ = net.SplitHostPort(c.nc.RemoteAddr().String()); address == "" {
			address = c.nc.RemoteAddr().String()
		}
		peer = "peer"
	}
	c.self.CutOffs.Record(trail.AreaMember, peer, address, err)
}

// SetReadDeadline sets the deadline of Receive; the zero time removes it.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.deadlines.set(t) }

// SetWriteDeadline sets the deadline of Send; the zero time removes it.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.nc.SetWriteDeadline(t) }

// Close closes the connection; a blocked Receive returns an error.
func (c *Conn) Close() error { return c.nc.Close() }

// Dial connects to the process at addr for purpose and exchanges Hellos. kinds are
// the messages that the caller accepts. ctx applies only until Dial returns.
func Dial(ctx context.Context, self *Self, addr netip.AddrPort, purpose Purpose, kinds frame.Kinds) (*Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, operr.Wrap("dial", addr.String(), err)
	}
	c := newConn(self, nc, kinds)
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	if err := c.sendHello(purpose); err != nil {
		nc.Close()
		return nil, operr.Wrap("greet", addr.String(), err)
	}
	if err := c.receiveHello(); err != nil {
		nc.Close()
		return nil, operr.Wrap("await hello", addr.String(), err)
	}
	c.nc.addToTotals(self, purpose, c.Peer.VM)
	return c, nil
}

func newConn(self *Self, nc net.Conn, kinds frame.Kinds) *Conn {
	all := frame.Kinds{}
	for k, f := range kinds {
		all[k] = f
	}
	all.Register(func() frame.Message { return &Hello{} })
	cc := &countingConn{Conn: nc}
	c := &Conn{self: self, nc: cc, w: frame.NewWriter(cc), r: frame.NewReader(cc, all), deadlines: readDeadlines{conn: cc, frameTimeout: bound.FrameTimeout}}
	c.r.OnPartial = c.deadlines.awaitFrame
	c.r.MaxBytes, c.r.Bound = bound.MaxHelloBytes, bound.Hello
	return c
}

func (c *Conn) sendHello(p Purpose) error {
	return c.w.Write(&Hello{Purpose: p, Boot: c.self.Boot, VM: c.self.VM}, c.self.Revision.Load())
}

func (c *Conn) receiveHello() error {
	if err := c.SetReadDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return err
	}
	m, h, err := c.read()
	if err != nil {
		return err
	}
	hello, ok := m.(*Hello)
	if !ok {
		return errors.Newf("first message is %s, want hello", m.Kind())
	}
	c.Peer = *hello
	c.PeerRevision.Store(h.Revision)
	c.self.compareRevision(c.Peer.VM, h.Revision)
	c.r.MaxBytes, c.r.Bound = bound.MaxFrameBytes, bound.Frame
	return c.SetReadDeadline(time.Time{})
}
