// Package swarm carries out the distribution of weights between sides: it
// keeps connections to peers, moves blocks under the pacing of the links,
// verifies each chunk and stages it at the engine.
package swarm

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/burst"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/version/pace"
)

// Customary values.
const (
	DefaultBlockSize  = 64 << 10
	DefaultCacheBytes = 48 << 20
	tickEvery         = 100 * time.Millisecond
)

// Staging is where verified chunks are kept: the engine beside the side.
type Staging interface {
	List(ctx context.Context) ([]chunk.Digest, error)
	Put(ctx context.Context, d chunk.Digest, b []byte) error
	Get(ctx context.Context, d chunk.Digest) ([]byte, error)
	Delete(ctx context.Context, d chunk.Digest) error
}

// Source is where manifests and chunks come from that no peer has.
type Source interface {
	// Manifest returns a manifest with its canonical bytes.
	Manifest(ctx context.Context, d chunk.Digest) (chunk.Manifest, []byte, error)
	// Chunk draws one chunk and checks its size and digest. progress is told
	// of each piece.
	Chunk(ctx context.Context, ref chunk.Ref, progress func(n int)) ([]byte, error)
}

// Wanted is a version that this side is to hold.
type Wanted struct {
	Model    string
	Version  string
	Manifest chunk.Digest
}

// Progress is how far a wanted version has come. Verified is set once every
// chunk of it is verified and staged; Manifest is empty until it was read.
type Progress struct {
	Wanted   Wanted
	Have     int
	Total    int
	Bytes    int64
	Verified bool
	Manifest chunk.Manifest
}

// Shaper delays a block by links beyond this machine. The load tool sets one
// for the region links that it stands in for; in service the network does it.
type Shaper interface {
	Shape(ctx context.Context, from, to fleet.VM, n int) error
}

// Node distributes weights on behalf of one side. Set the exported fields
// before Run; Burst.Self and Burst.OriginRegion are filled from Self and
// OriginRegion. Pacer may be shared with the call path, which tells it of
// live traffic; when nil, one is made from Pace. BlockSize and CacheBytes may
// be left zero.
type Node struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Logger  logrus.FieldLogger
	Metrics tally.Scope
	Staging Staging
	// Inflow bounds what is on its way to this side; nil for no bound.
	Inflow *pace.Window
	// Members, when set, lists the other sides that are to hold a version; the
	// document does otherwise.
	Members func(d chunk.Digest) []fleet.VM
	// Source, when set, takes the place of Origin and Store. Such a source
	// has the manifests at hand, and peers are not asked for them.
	Source       Source
	Origin       netip.AddrPort
	Store        netip.AddrPort
	OriginRegion string
	Pace         pace.Config
	Pacer        *pace.Pacer
	Burst        burst.Config
	BlockSize    int64
	// BlockTime is what one block may take on the machine's link: a live call may
	// wait behind a block of each transfer.
	BlockTime  time.Duration
	CacheBytes int64
	Shaper     Shaper

	start    sync.Once
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
	pacer    *pace.Pacer
	source   Source
	cache    *cache
	uploads  *uploads
	counters counters

	mu      sync.Mutex
	state   state
	changed chan struct{}
}

// state is what mu guards.
type state struct {
	core      *burst.State
	now       time.Time
	pending   []burst.Action
	view      view.View
	wanted    []Wanted
	manifests map[chunk.Digest]*known
	conns     map[string]*conn
	dialing   map[string]chan struct{}
	incoming  map[chunk.Digest]*incoming
	transfers uint64 // begun
	asks      map[chunk.Digest]*manifestAsk
	early     map[chunk.Digest][]*conn
	earlyAsks int
	// closed is set once the node waits for what it started.
	closed bool
}

func (s *state) add(a []burst.Action) { s.pending = append(s.pending, a...) }

func (n *Node) init() {
	n.start.Do(func() {
		n.ctx, n.stop = context.WithCancel(context.Background())
		n.pacer = n.Pacer
		if n.pacer == nil {
			n.pacer = pace.New(n.Pace, n.Clock)
		}
		if n.BlockSize <= 0 {
			n.BlockSize = DefaultBlockSize
		}
		if n.BlockTime <= 0 {
			n.BlockTime = DefaultBlockTime
		}
		if n.CacheBytes <= 0 {
			n.CacheBytes = DefaultCacheBytes
		}
		n.source = n.Source
		if n.source == nil {
			n.source = &source{store: n.Store, origin: n.Origin, http: &http.Client{Transport: newTransport()}, pacer: n.pacer}
		}
		n.cache = newCache(n.CacheBytes)
		n.uploads = &uploads{node: n, wake: make(chan struct{}, 1)}
		n.counters = newCounters(n.Metrics)
		n.changed = make(chan struct{})
		cfg := n.Burst
		cfg.Self = burst.Member{Name: n.Self.VM.Name, Region: n.Self.VM.Region}
		cfg.OriginRegion = n.OriginRegion
		n.state = state{
			core:      burst.New(cfg),
			manifests: map[chunk.Digest]*known{},
			conns:     map[string]*conn{},
			dialing:   map[string]chan struct{}{},
			incoming:  map[chunk.Digest]*incoming{},
			asks:      map[chunk.Digest]*manifestAsk{},
		}
	})
}

// Run distributes until ctx ends; it then closes every connection and waits
// for what it started.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	defer n.wg.Wait()
	defer n.close()
	defer n.stop()
	stop := context.AfterFunc(ctx, n.stop)
	defer stop()
	n.wg.Go(func() { n.uploads.run(n.ctx) })
	tick := n.Clock.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
			n.do(func(s *state) { s.add(s.core.Tick(s.now)) })
			n.uploads.signal()
		}
	}
}

// close has nothing more start.
func (n *Node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.closed = true
}

// spawn starts f unless the node ends; it is called with the state locked.
func (n *Node) spawn(s *state, f func()) {
	if !s.closed {
		n.wg.Go(f)
	}
}

// do runs f on the locked state and carries out the actions that come of it.
// Nothing in it blocks.
func (n *Node) do(f func(s *state)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &n.state
	s.now = n.Clock.Now()
	f(s)
	for len(s.pending) > 0 {
		a := s.pending[0]
		s.pending = s.pending[1:]
		n.act(s, a)
	}
}

// Changed returns a channel that is closed once Progress is worth a look: a
// manifest was read or a version became whole.
func (n *Node) Changed() <-chan struct{} {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Progress tells of each wanted version, in the order of Update.
func (n *Node) Progress() []Progress {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Progress, 0, len(n.state.wanted))
	for _, w := range n.state.wanted {
		out = append(out, n.progressOf(w))
	}
	return out
}

func (n *Node) progressOf(w Wanted) Progress {
	p := Progress{Wanted: w}
	k, ok := n.state.manifests[w.Manifest]
	if !ok || !k.ready {
		return p
	}
	p.Manifest = k.manifest
	t, ok := n.state.core.Tally(w.Manifest)
	if !ok {
		return p
	}
	p.Have, p.Total, p.Bytes = t.Have, t.Total, t.Bytes
	p.Verified = t.Total > 0 && t.Have == t.Total
	return p
}
