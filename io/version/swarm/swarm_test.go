package swarm

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/version/stage"
)

// fakeOrigin serves manifests as the store and chunks as the origin.
type fakeOrigin struct {
	server    *httptest.Server
	manifests map[chunk.Digest][]byte

	mu            sync.Mutex
	chunks        map[chunk.Digest][]byte
	chunkRequests map[chunk.Digest]int
	// answerChunk, when set, may answer the k-th request for a chunk; it
	// returns whether it did.
	answerChunk func(w http.ResponseWriter, d chunk.Digest, k int) bool
	// answerManifest, when set, may answer a request for a manifest; it
	// returns whether it did.
	answerManifest   func(w http.ResponseWriter) bool
	stopOnce         sync.Once
	manifestRequests atomic.Int64
}

func newFakeOrigin(t *testing.T) *fakeOrigin {
	t.Helper()
	p := &fakeOrigin{manifests: map[chunk.Digest][]byte{}, chunks: map[chunk.Digest][]byte{}, chunkRequests: map[chunk.Digest]int{}}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

func (p *fakeOrigin) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.server.Listener.Addr().String())
}

func (p *fakeOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d, ok := strings.CutPrefix(r.URL.Path, "/v1/manifests/"); ok {
		p.manifestRequests.Add(1)
		if p.answerManifest == nil || !p.answerManifest(w) {
			w.Write(p.manifests[chunk.Digest(d)])
		}
		return
	}
	d := chunk.Digest(strings.TrimPrefix(r.URL.Path, "/v1/chunks/"))
	p.mu.Lock()
	p.chunkRequests[d]++
	k, b, answerChunk := p.chunkRequests[d], p.chunks[d], p.answerChunk
	p.mu.Unlock()
	if answerChunk != nil && answerChunk(w, d, k) {
		return
	}
	if b == nil {
		http.NotFound(w, r)
		return
	}
	w.Write(b)
}

// totalChunkRequests returns the number of requests for chunks.
func (p *fakeOrigin) totalChunkRequests() (total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, count := range p.chunkRequests {
		total += count
	}
	return total
}

// publish adds a version with one chunk of size bytes per seed and returns the
// digest of its manifest. Versions share the chunks of equal seeds.
func (p *fakeOrigin) publish(t *testing.T, version string, size int, seeds ...uint64) chunk.Digest {
	t.Helper()
	m := chunk.Manifest{Model: "m", Version: version, ContentDigest: chunk.DigestOf([]byte(version))}
	for _, seed := range seeds {
		b := make([]byte, size)
		src := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
		src.Read(b)
		d := chunk.DigestOf(b)
		p.chunks[d] = b
		m.Size += int64(size)
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: d, Size: int64(size)})
	}
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d := chunk.DigestOf(b)
	p.manifests[d] = b
	return d
}

// seq returns n consecutive numbers.
func seq(from, n uint64) []uint64 {
	out := make([]uint64, 0, n)
	for i := range n {
		out = append(out, from+i)
	}
	return out
}

// testTimeout is long enough that no transfer over loopback is treated as
// stalled, however busy the machine is.
const testTimeout = time.Minute

// cluster is a set of sides that are connected over loopback.
type cluster struct {
	t     *testing.T
	p     *fakeOrigin
	logs  *test.Hook
	nodes []*Node
	stops []func()
	vms   []fleet.VM

	minTimeout time.Duration
	// configure, when set, changes a node before it starts.
	configure func(n *Node)
}

func newCluster(t *testing.T, p *fakeOrigin, regions ...string) *cluster {
	t.Helper()
	return newClusterWithTimeout(t, p, testTimeout, regions...)
}

// newClusterWithTimeout sets the minimum time before a transfer is treated as
// stalled.
func newClusterWithTimeout(t *testing.T, p *fakeOrigin, minTimeout time.Duration, regions ...string) *cluster {
	t.Helper()
	return newConfiguredCluster(t, p, minTimeout, nil, regions...)
}

func newConfiguredCluster(t *testing.T, p *fakeOrigin, timeout time.Duration, configure func(n *Node), regions ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, p: p, minTimeout: timeout, configure: configure}
	logger, hook := test.NewNullLogger()
	c.logs = hook
	for i, region := range regions {
		c.add(logger, i, region)
	}
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
	})
	return c
}

func (c *cluster) add(logger logrus.FieldLogger, i int, region string) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	vm := fleet.VM{
		Name:    fmt.Sprintf("side%02d", i),
		Role:    fleet.RoleSide,
		Zone:    region + "-a",
		Region:  region,
		Service: "svc",
		Address: netip.MustParseAddrPort(nl.Addr().String()),
		State:   fleet.StateLive,
	}
	n := &Node{
		Self:         &link.Self{VM: vm, Boot: vm.Name + "-boot"},
		Clock:        clockwork.NewRealClock(),
		Log:          trail.Discard{},
		Logger:       logger,
		Staging:      &stage.Memory{},
		Origin:       c.p.addr(),
		Store:        c.p.addr(),
		OriginRegion: "r1",
		BlockSize:    4 << 10,
		Spread:       spread.Config{MinTimeout: c.minTimeout},
	}
	if c.configure != nil {
		c.configure(n)
	}
	l := &link.Listener{Self: n.Self, Net: nl, Handlers: map[link.Purpose]link.Handler{link.PurposeWeights: n.Handler()}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	wg.Go(func() { n.Run(ctx) })
	c.nodes = append(c.nodes, n)
	c.vms = append(c.vms, vm)
	c.stops = append(c.stops, sync.OnceFunc(func() { cancel(); wg.Wait() }))
}

func (c *cluster) view(d chunk.Digest) view.View {
	return view.View{
		Document: &envdoc.Document{
			Goal:   envdoc.GoalOriginBytes,
			Models: []envdoc.Model{{Name: "m", Version: "1", Manifest: d}},
			Services: []envdoc.Service{{Name: "svc", Kind: envdoc.KindEngine, Model: "m", Replicas: []envdoc.Placement{
				{Zone: "r1-a", Replicas: 9},
				{Zone: "r2-a", Replicas: 9},
				{Zone: "r3-a", Replicas: 9},
			}}},
		},
		VMs: c.vms,
	}
}

// setWanted makes a manifest the only wanted version of the nodes.
func (c *cluster) setWanted(d chunk.Digest, nodes ...*Node) {
	for _, n := range nodes {
		n.Update(c.view(d), []WantedVersion{{Model: "m", Version: "1", Manifest: d}})
	}
}

// awaitVerified waits until the nodes hold their only wanted version.
func (c *cluster) awaitVerified(nodes ...*Node) {
	c.t.Helper()
	for _, n := range nodes {
		for {
			changed := n.ProgressChanged()
			if p := n.Progress(); len(p) == 1 && p[0].Verified {
				break
			}
			<-changed
		}
	}
}

// checkStaged checks that the nodes have staged every chunk of a version with
// the right digest.
func (c *cluster) checkStaged(d chunk.Digest, nodes ...*Node) {
	c.t.Helper()
	m, err := chunk.Decode(c.p.manifests[d], d)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, n := range nodes {
		for _, ref := range m.Chunks {
			b, err := n.Staging.Get(context.Background(), ref.Digest)
			if err != nil {
				c.t.Errorf("%s: %v", n.Self.VM.Name, err)
				continue
			}
			if diff := cmp.Diff(ref.Digest, chunk.DigestOf(b)); diff != "" {
				c.t.Errorf("%s chunk (-want +got):\n%s", n.Self.VM.Name, diff)
			}
		}
	}
}

// Every side of three regions must get the whole version while the origin
// sends each chunk only once: the side that ranks first fetches it, each
// region imports it once, and the sides of a region exchange it. The store is
// read once per region.
func TestAllSidesGetVersionFromOneOriginCopy(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 10<<10, seq(0, 40)...)
	c := newCluster(t, p, "r1", "r1", "r1", "r2", "r2", "r3", "r3")
	c.setWanted(d, c.nodes...)
	c.awaitVerified(c.nodes...)
	c.checkStaged(d, c.nodes...)
	if diff := cmp.Diff(40, p.totalChunkRequests()); diff != "" {
		t.Errorf("chunks fetched from the origin (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(3), p.manifestRequests.Load()); diff != "" {
		t.Errorf("manifests read from the store (-want +got):\n%s", diff)
	}
}
