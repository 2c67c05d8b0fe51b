// Package swarm transfers the chunks of model versions between sides, the
// processes that run beside one target each. core/version/spread decides what
// to transfer; this package carries that out: it connects to peers, reads
// manifests from the store and chunks from the origin, exchanges blocks with
// peers at the rates that package pace allows, verifies each chunk and stores
// it in the staging area of the engine. io/process/side, io/process/hosted and
// the load tool in bench/burst run a Node each.
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
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/version/pace"
)

// Defaults for Node, and the interval at which the distribution checks its
// timeouts and waiting uploads are looked at again.
const (
	DefaultBlockSize  = 64 << 10
	DefaultCacheBytes = 48 << 20
	tickInterval      = 100 * time.Millisecond
)

// Staging stores verified chunks, usually in the engine that runs beside this
// side.
type Staging interface {
	List(ctx context.Context) ([]chunk.Digest, error)
	Put(ctx context.Context, d chunk.Digest, b []byte) error
	Get(ctx context.Context, d chunk.Digest) ([]byte, error)
	Delete(ctx context.Context, d chunk.Digest) error
}

// Source provides manifests and the chunks that no peer has.
type Source interface {
	// Manifest returns a manifest and its canonical encoding.
	Manifest(ctx context.Context, d chunk.Digest) (chunk.Manifest, []byte, error)
	// Chunk reads one chunk and checks its size and digest. It calls progress
	// with the size of each piece read.
	Chunk(ctx context.Context, ref chunk.Ref, progress func(n int)) ([]byte, error)
}

// WantedVersion identifies a model version that this side must hold.
type WantedVersion struct {
	Model    string
	Version  string
	Manifest chunk.Digest
	Priority spread.Priority
}

// Progress reports how much of a wanted version this side holds, in chunks and
// bytes. Verified is set once every chunk is verified and staged. Manifest is
// empty until it has been read.
type Progress struct {
	Wanted   WantedVersion
	Held     int
	Total    int
	Bytes    int64
	Verified bool
	Manifest chunk.Manifest
	// MissingInRegion is how many bytes no side of the region is known to hold.
	MissingInRegion int64
}

// Shaper delays each block as a link outside this machine would. The load tool
// sets one to simulate links between regions; in production there is none.
type Shaper interface {
	Shape(ctx context.Context, from, to fleet.VM, n int) error
}

// Node transfers model versions on behalf of one side. Set the exported fields
// before Run.
//
// Spread.Self and Spread.OriginRegion are overwritten from Self and
// OriginRegion. Pacer may be shared with the code that serves calls, which
// reports live traffic to it; if nil, one is created from LinkRates. BlockSize,
// MaxBlockTime and CacheBytes default to DefaultBlockSize, DefaultMaxBlockTime and
// DefaultCacheBytes.
type Node struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Logger  logrus.FieldLogger
	Metrics tally.Scope
	Staging Staging
	// InflowWindow limits the bytes requested by this side and not yet received; nil
	// means no limit.
	InflowWindow *pace.Window
	// Members, when set, lists the sides that must hold a version. When nil,
	// they are taken from the environment document.
	Members func(d chunk.Digest) []fleet.VM
	// Source, when set, replaces Origin and Store. Manifests are then read
	// from it and never requested from peers.
	Source       Source
	Origin       netip.AddrPort
	Store        netip.AddrPort
	OriginRegion string
	LinkRates    pace.Config
	Pacer        *pace.Pacer
	Spread       spread.Config
	BlockSize    int64
	// MaxBlockTime is the longest time that one block may occupy the machine's
	// link. A live call may have to wait for one block of each transfer.
	MaxBlockTime time.Duration
	CacheBytes   int64
	Shaper       Shaper

	initOnce sync.Once
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

// state holds the fields of Node that mu guards.
type state struct {
	distribution      *spread.State
	now               time.Time
	pendingActions    []spread.Action
	view              view.View
	wanted            []WantedVersion
	manifests         map[chunk.Digest]*manifestEntry
	conns             map[string]*conn
	dialing           map[string]chan struct{}
	incoming          map[chunk.Digest]*incoming
	transfersStarted  uint64 // number of the last transfer
	discarded         int    // chunks discarded and not logged yet
	pendingManifests  map[chunk.Digest]*pendingManifest
	earlyRequests     map[chunk.Digest][]*conn
	earlyRequestCount int
	// stopping is set before Run waits for the goroutines of the node; no
	// goroutine is started after that.
	stopping bool
}

// addActions queues actions for withState to perform.
func (s *state) addActions(a []spread.Action) { s.pendingActions = append(s.pendingActions, a...) }

// init sets defaults and creates the unexported fields on the first call.
func (n *Node) init() {
	n.initOnce.Do(func() {
		n.ctx, n.stop = context.WithCancel(context.Background())
		n.pacer = n.Pacer
		if n.pacer == nil {
			n.pacer = pace.New(n.LinkRates, n.Clock)
		}
		if n.BlockSize <= 0 {
			n.BlockSize = DefaultBlockSize
		}
		if n.MaxBlockTime <= 0 {
			n.MaxBlockTime = DefaultMaxBlockTime
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
		cfg := n.Spread
		cfg.Self = spread.Member{Name: n.Self.VM.Name, Region: n.Self.VM.Region}
		cfg.OriginRegion = n.OriginRegion
		n.state = state{
			distribution:     spread.New(cfg),
			manifests:        map[chunk.Digest]*manifestEntry{},
			conns:            map[string]*conn{},
			dialing:          map[string]chan struct{}{},
			incoming:         map[chunk.Digest]*incoming{},
			pendingManifests: map[chunk.Digest]*pendingManifest{},
		}
	})
}

// Run transfers chunks until ctx ends. It then closes every connection and
// waits for the goroutines that it started.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	defer n.wg.Wait()
	defer n.stopSpawning()
	defer n.stop()
	stop := context.AfterFunc(ctx, n.stop)
	defer stop()
	n.wg.Go(func() { n.uploads.run(n.ctx) })
	tick := n.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
			n.withState(func(s *state) { s.addActions(s.distribution.Tick(s.now)) })
			n.uploads.signal()
		}
	}
}

// stopSpawning makes spawn ignore further calls.
func (n *Node) stopSpawning() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.stopping = true
}

// spawn runs f in a goroutine that Run waits for, unless the node is stopping.
// The caller holds n.mu.
func (n *Node) spawn(s *state, f func()) {
	if !s.stopping {
		n.wg.Go(f)
	}
}

// withState calls f with n.mu held and performs the actions that f queued.
// Neither f nor an action may block.
func (n *Node) withState(f func(s *state)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &n.state
	s.now = n.Clock.Now()
	f(s)
	for len(s.pendingActions) > 0 {
		a := s.pendingActions[0]
		s.pendingActions = s.pendingActions[1:]
		n.perform(s, a)
	}
	n.logDiscarded(s)
}

// ProgressChanged returns a channel that is closed when a manifest has been read or a
// version has become complete. Call it before Progress so that no change is
// missed.
func (n *Node) ProgressChanged() <-chan struct{} {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Progress returns the progress of each wanted version, in the order given to
// Update.
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

// UpstreamsSilent reports whether the region has got no chunk from outside for some time.
func (n *Node) UpstreamsSilent() bool {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.distribution.UpstreamsSilent(n.Clock.Now())
}

// progressOf returns the progress of one version. The caller holds n.mu.
func (n *Node) progressOf(w WantedVersion) Progress {
	p := Progress{Wanted: w}
	k, ok := n.state.manifests[w.Manifest]
	if !ok || !k.ready {
		return p
	}
	p.Manifest = k.manifest
	t, ok := n.state.distribution.Progress(w.Manifest)
	if !ok {
		return p
	}
	p.Held, p.Total, p.Bytes = t.Held, t.Total, t.Bytes
	p.Verified = t.Total > 0 && t.Held == t.Total
	p.MissingInRegion = n.state.distribution.MissingInRegion(w.Manifest)
	return p
}
