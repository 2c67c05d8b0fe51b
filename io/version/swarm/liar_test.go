package swarm

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// liar is a side that claims to hold all chunks of a manifest and answers
// each want as the test says.
type liar struct {
	manifest chunk.Digest
	chunks   int
	answer   func(c *link.Conn, nc net.Conn, w *want) error
}

func (l *liar) serve(c *link.Conn, nc net.Conn) {
	all := burst.NewBits(l.chunks)
	for i := range l.chunks {
		all.Set(i)
	}
	err := c.Send(&maps{Manifest: l.manifest, Have: all})
	for err == nil {
		err = c.Send(&offer{})
		var m frame.Message
		for err == nil && m == nil {
			m, err = c.Receive()
			if w, ok := m.(*want); ok {
				err = l.answer(c, nc, w)
			} else if _, ok := m.(*pass); ok {
				time.Sleep(5 * time.Millisecond)
			} else {
				m = nil
			}
		}
	}
}

// keeper remembers the raw connection that was accepted last, so that a test
// can write to it what no Conn would.
type keeper struct {
	net.Listener
	mu   sync.Mutex
	last net.Conn
}

// Accept waits for the next connection.
func (k *keeper) Accept() (net.Conn, error) {
	nc, err := k.Listener.Accept()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last = nc
	return nc, err
}

func (k *keeper) conn() net.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.last
}

// join adds the liar to the cluster as a side of region r1 in zone r1-a.
func (l *liar) join(c *cluster) string {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	vm := c.vms[0]
	vm.Name = "liar"
	vm.State = fleet.StateLive
	vm.Address = netip.MustParseAddrPort(nl.Addr().String())
	c.vms = append(c.vms, vm)
	k := &keeper{Listener: nl}
	h := link.Handler{Kinds: kinds(), Serve: func(_ context.Context, lc *link.Conn) { l.serve(lc, k.conn()) }}
	ll := &link.Listener{
		Self:     &link.Self{VM: vm, Boot: "liar-boot"},
		Net:      k,
		Handlers: map[link.Purpose]link.Handler{link.PurposeWeights: h},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { ll.Run(ctx) })
	c.stops = append(c.stops, sync.OnceFunc(func() { cancel(); wg.Wait() }))
	return vm.Name
}

// A peer claims every chunk and then says that it lacks them, sends bytes of
// another place, sends more than was asked for, sends wrong bytes, or a frame
// over the bound. Each is logged with the peer's name; the side gets whole
// from elsewhere and stages nothing that does not verify.
func TestPeerThatLies(t *testing.T) {
	tests := []struct {
		name, step string
		answer     func(c *link.Conn, nc net.Conn, w *want) error
	}{
		{"lacks what it claims", "transfer chunk", func(c *link.Conn, _ net.Conn, w *want) error {
			return c.Send(&lacks{transferID: w.transferID})
		}},
		{"wrong place", "transfer chunk", func(c *link.Conn, _ net.Conn, w *want) error {
			return c.Send(&block{transferID: w.transferID, Offset: w.Offset + 1, Data: make([]byte, w.Length)})
		}},
		{"too long", "transfer chunk", func(c *link.Conn, _ net.Conn, w *want) error {
			return c.Send(&block{transferID: w.transferID, Offset: w.Offset, Data: make([]byte, MaxBlock)})
		}},
		{"wrong bytes", "transfer chunk", func(c *link.Conn, _ net.Conn, w *want) error {
			return c.Send(&block{transferID: w.transferID, Offset: w.Offset, Data: make([]byte, w.Length)})
		}},
		{"frame over the bound", "serve connection", func(_ *link.Conn, nc net.Conn, _ *want) error {
			_, err := nc.Write(binary.BigEndian.AppendUint32(nil, frame.MaxFrame+1))
			return err
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			// The liar is also asked for the manifest and does not answer,
			// which takes ten seconds.
			t.Parallel()
			p := newPlatform(t)
			d := p.publish(t, "1", 8<<10, seq(0, 8)...)
			// The liar never draws what it ranks first for; the side is to
			// step in soon.
			c := newClusterWith(t, p, 50*time.Millisecond, "r1")
			honest := c.nodes[0]
			l := &liar{manifest: d, chunks: 8, answer: tc.answer}
			name := l.join(c)
			c.want(d, honest)
			c.awaitWhole(honest)
			c.checkStaged(d, honest)
			checkLogged(t, c, tc.step, name)
		})
	}
}
