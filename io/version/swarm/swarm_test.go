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
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/version/stage"
)

// platform is a store and an origin for tests. answer may take over the
// answer to the k-th request for a chunk.
type platform struct {
	server    *httptest.Server
	manifests map[chunk.Digest][]byte

	mu     sync.Mutex
	chunks map[chunk.Digest][]byte
	drawn  map[chunk.Digest]int
	answer func(w http.ResponseWriter, d chunk.Digest, k int) bool
	// manifest may take over the answer to a request for a manifest.
	manifest func(w http.ResponseWriter) bool
	once     sync.Once
	reads    atomic.Int64 // of manifests
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{manifests: map[chunk.Digest][]byte{}, chunks: map[chunk.Digest][]byte{}, drawn: map[chunk.Digest]int{}}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

func (p *platform) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.server.Listener.Addr().String())
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d, ok := strings.CutPrefix(r.URL.Path, "/v1/manifests/"); ok {
		p.reads.Add(1)
		if p.manifest == nil || !p.manifest(w) {
			w.Write(p.manifests[chunk.Digest(d)])
		}
		return
	}
	d := chunk.Digest(strings.TrimPrefix(r.URL.Path, "/v1/chunks/"))
	p.mu.Lock()
	p.drawn[d]++
	k, b, answer := p.drawn[d], p.chunks[d], p.answer
	p.mu.Unlock()
	if answer != nil && answer(w, d, k) {
		return
	}
	if b == nil {
		http.NotFound(w, r)
		return
	}
	w.Write(b)
}

func (p *platform) draws() (total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.drawn {
		total += k
	}
	return total
}

// publish adds a version of n chunks of size bytes; chunks with equal seeds
// are shared between versions.
func (p *platform) publish(t *testing.T, version string, size int, seeds ...uint64) chunk.Digest {
	t.Helper()
	m := chunk.Manifest{Model: "m", Version: version, Whole: chunk.Sum([]byte(version))}
	for _, seed := range seeds {
		b := make([]byte, size)
		src := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
		src.Read(b)
		d := chunk.Sum(b)
		p.chunks[d] = b
		m.Size += int64(size)
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: d, Size: int64(size)})
	}
	b, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	d := chunk.Sum(b)
	p.manifests[d] = b
	return d
}

func seq(from, n uint64) []uint64 {
	out := make([]uint64, 0, n)
	for i := range n {
		out = append(out, from+i)
	}
	return out
}

// patience is long enough that no transfer on the loopback is taken for
// stalled, however busy the machine.
const patience = time.Minute

// cluster is a set of sides over real sockets.
type cluster struct {
	t     *testing.T
	p     *platform
	logs  *test.Hook
	nodes []*Node
	stops []func()
	vms   []fleet.VM

	patience time.Duration
	// tune, when set, changes a side before it starts.
	tune func(n *Node)
}

func newCluster(t *testing.T, p *platform, regions ...string) *cluster {
	t.Helper()
	return newClusterWith(t, p, patience, regions...)
}

func newClusterWith(t *testing.T, p *platform, least time.Duration, regions ...string) *cluster {
	t.Helper()
	return newTunedCluster(t, p, least, nil, regions...)
}

func newTunedCluster(t *testing.T, p *platform, least time.Duration, tune func(n *Node), regions ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, p: p, patience: least, tune: tune}
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
		Burst:        burst.Config{LeastPatience: c.patience},
	}
	if c.tune != nil {
		c.tune(n)
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
			Weigh:  envdoc.WeighOrigin,
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

func (c *cluster) want(d chunk.Digest, nodes ...*Node) {
	for _, n := range nodes {
		n.Update(c.view(d), []Wanted{{Model: "m", Version: "1", Manifest: d}})
	}
}

func (c *cluster) awaitWhole(nodes ...*Node) {
	c.t.Helper()
	for _, n := range nodes {
		for {
			changed := n.Changed()
			if p := n.Progress(); len(p) == 1 && p[0].Verified {
				break
			}
			<-changed
		}
	}
}

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
			if diff := cmp.Diff(ref.Digest, chunk.Sum(b)); diff != "" {
				c.t.Errorf("%s chunk (-want +got):\n%s", n.Self.VM.Name, diff)
			}
		}
	}
}

// Every side of three regions ends with the whole version, and the origin
// sent each chunk once: the side that ranks first drew it, each region took
// it in once, and the sides traded the rest.
func TestAllSidesGetWholeFromOneCopy(t *testing.T) {
	p := newPlatform(t)
	d := p.publish(t, "1", 10<<10, seq(0, 40)...)
	c := newCluster(t, p, "r1", "r1", "r1", "r2", "r2", "r3", "r3")
	c.want(d, c.nodes...)
	c.awaitWhole(c.nodes...)
	c.checkStaged(d, c.nodes...)
	if diff := cmp.Diff(40, p.draws()); diff != "" {
		t.Errorf("chunks drawn from the origin (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(3), p.reads.Load()); diff != "" {
		t.Errorf("manifests read from the store (-want +got):\n%s", diff)
	}
}
