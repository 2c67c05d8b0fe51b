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
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// faultyPeer is a side that claims to hold all chunks of a manifest and
// answers each block request with answer.
type faultyPeer struct {
	manifest chunk.Digest
	chunks   int
	answer   func(c *link.Conn, nc net.Conn, w *blockRequest) error
}

// serve announces all chunks and then offers and answers until the connection
// fails.
func (l *faultyPeer) serve(c *link.Conn, nc net.Conn) {
	all := spread.NewBits(l.chunks)
	for i := range l.chunks {
		all.Set(i)
	}
	err := c.Send(&chunkSets{Manifest: l.manifest, Have: all})
	for err == nil {
		err = c.Send(&offer{})
		var m frame.Message
		for err == nil && m == nil {
			m, err = c.Receive()
			if w, ok := m.(*blockRequest); ok {
				err = l.answer(c, nc, w)
			} else if _, ok := m.(*refuseOffer); ok {
				time.Sleep(5 * time.Millisecond)
			} else {
				m = nil
			}
		}
	}
}

// recordingListener keeps the last accepted connection, so that a test can
// write bytes to it that link.Conn would not send.
type recordingListener struct {
	net.Listener
	mu   sync.Mutex
	last net.Conn
}

// Accept waits for the next connection.
func (l *recordingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = nc
	return nc, err
}

func (l *recordingListener) conn() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// join adds the peer to the cluster as a side of region r1 in zone r1-a and
// returns its name.
func (l *faultyPeer) join(c *cluster) string {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	vm := c.vms[0]
	vm.Name = "liar"
	vm.State = fleet.StateLive
	vm.Address = netip.MustParseAddrPort(nl.Addr().String())
	c.vms = append(c.vms, vm)
	recorder := &recordingListener{Listener: nl}
	h := link.Handler{Kinds: messageKinds(), Serve: func(_ context.Context, lc *link.Conn) { l.serve(lc, recorder.conn()) }}
	ll := &link.Listener{
		Self:     &link.Self{VM: vm, Boot: "liar-boot"},
		Net:      recorder,
		Handlers: map[link.Purpose]link.Handler{link.PurposeWeights: h},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { ll.Run(ctx) })
	c.stops = append(c.stops, sync.OnceFunc(func() { cancel(); wg.Wait() }))
	return vm.Name
}

// A peer claims to hold every chunk and then refuses requests, sends a wrong
// offset, too many bytes, wrong bytes or an oversized frame. Each fault must
// be logged with the name of the peer. The side must get the version from
// elsewhere and stage nothing unverified.
func TestFaultyPeer(t *testing.T) {
	tests := []struct {
		name, step string
		answer     func(c *link.Conn, nc net.Conn, w *blockRequest) error
	}{
		{"refuses what it claims to hold", "transfer chunk", func(c *link.Conn, _ net.Conn, w *blockRequest) error {
			return c.Send(&refuseRequest{transferID: w.transferID})
		}},
		{"wrong offset", "transfer chunk", func(c *link.Conn, _ net.Conn, w *blockRequest) error {
			return c.Send(&block{transferID: w.transferID, Offset: w.Offset + 1, Data: make([]byte, w.Length)})
		}},
		{"too long", "transfer chunk", func(c *link.Conn, _ net.Conn, w *blockRequest) error {
			return c.Send(&block{transferID: w.transferID, Offset: w.Offset, Data: make([]byte, MaxBlockSize)})
		}},
		{"wrong bytes", "transfer chunk", func(c *link.Conn, _ net.Conn, w *blockRequest) error {
			return c.Send(&block{transferID: w.transferID, Offset: w.Offset, Data: make([]byte, w.Length)})
		}},
		{"oversized frame", "serve connection", func(_ *link.Conn, nc net.Conn, _ *blockRequest) error {
			_, err := nc.Write(binary.BigEndian.AppendUint32(nil, frame.MaxFrame+1))
			return err
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			// The faulty peer is also asked for the manifest and does not
			// answer, which takes ten seconds.
			t.Parallel()
			p := newFakeOrigin(t)
			d := p.publish(t, "1", 8<<10, seq(0, 8)...)
			// The faulty peer never fetches the chunks that it ranks first
			// for; with a short timeout the side soon fetches them itself.
			c := newClusterWithTimeout(t, p, 50*time.Millisecond, "r1")
			honest := c.nodes[0]
			l := &faultyPeer{manifest: d, chunks: 8, answer: tc.answer}
			name := l.join(c)
			c.setWanted(d, honest)
			c.awaitVerified(honest)
			c.checkStaged(d, honest)
			checkLogged(t, c, tc.step, name)
		})
	}
}
