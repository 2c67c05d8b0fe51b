// Package watch keeps the configuration document and the VM list of a process
// up to date. It reads both from the platform and exchanges them with peers;
// package gossip decides which state to adopt, what to send and which processes
// read. Package proc runs a Watcher in each process. doc/config-propagation.md
// describes it for operators.
package watch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/gossip"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/io/conn/link"
)

// exchangeInterval is how often peers tell each other which revisions they
// hold. A lost message can keep a process behind for that long, so it must be
// well below the 3 s within which a configuration has to be in force
// everywhere.
const exchangeInterval = time.Second

// maxEvents is the size of the event loop's queue. Connections that bring more
// events block, and so do their peers.
const maxEvents = 256

// Watcher keeps the document in force and the VM list up to date, and is the
// view.Source of its process. Set the exported fields before Run. If ConfigService
// and VMListService are invalid addresses, the process depends on its peers alone.
type Watcher struct {
	Self          *link.Self
	Clock         clockwork.Clock
	Log           trail.Log
	Metrics       tally.Scope
	Environment   string
	ConfigService netip.AddrPort
	VMListService netip.AddrPort
	Seeds         []netip.AddrPort

	initOnce sync.Once
	events   chan event
	stopped  chan struct{}
	// lastAheadDial is when peerAhead last acted, in Unix nanoseconds.
	lastAheadDial atomic.Int64

	// Only the event loop uses the fields from here to closedSent.
	node     gossip.Node
	conns    map[gossip.PeerID]*peerConn
	nextID   gossip.PeerID
	dialer   dialer
	lastTick time.Time
	zoneVMs  []string
	// accepted and acceptedVMs are the last document and VM list that accept
	// validated. The node adopts them right afterwards.
	accepted    *envdoc.Document
	acceptedVMs []fleet.VM
	decoder     gossip.VMDecoder
	// Bytes of connections that have ended.
	closedReceived uint64
	closedSent     uint64

	documents readerState
	vmList    readerState

	mu      sync.Mutex
	view    view.View
	changed chan struct{}
	stats   Stats
}

var _ view.Source = (*Watcher)(nil)

// event is run by the event loop, which then performs the returned actions.
type event func(now time.Time) []gossip.Action

func (w *Watcher) init() {
	w.initOnce.Do(func() {
		w.events = make(chan event, maxEvents)
		w.stopped = make(chan struct{})
		w.conns = map[gossip.PeerID]*peerConn{}
		w.dialer.retries = map[netip.AddrPort]*redial{}
		w.dialer.dialing = map[netip.AddrPort]bool{}
		w.node.Zone = w.Self.VM.Zone
		w.node.Accept = w.accept
		w.documents.fetcher = newFetcher(w.ConfigService)
		w.vmList.fetcher = newFetcher(w.VMListService)
		w.documents.wake = make(chan struct{}, 1)
		w.vmList.wake = make(chan struct{}, 1)
		w.Self.OnPeerAhead(w.peerAhead)
	})
}

// Run keeps the view up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	now := w.Clock.Now()
	w.node.Start(now)
	w.lastTick = now
	var wg sync.WaitGroup
	wg.Go(func() { w.readDocuments(ctx) })
	wg.Go(func() { w.readVMs(ctx) })
	w.dialer.ctx, w.dialer.wg = ctx, &wg
	w.loop(ctx)
	wg.Wait()
	return nil
}

func (w *Watcher) loop(ctx context.Context) {
	ticker := w.Clock.NewTicker(exchangeInterval)
	defer ticker.Stop()
	defer close(w.stopped)
	w.connect(w.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			w.closeAll()
			return
		case e := <-w.events:
			w.performActions(e(w.Clock.Now()))
		case <-ticker.Chan():
			w.tick(w.Clock.Now())
		}
	}
}

// post passes an event to the event loop. It returns false if ctx or the loop
// has ended.
func (w *Watcher) post(ctx context.Context, e event) bool {
	select {
	case w.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-w.stopped:
		return false
	}
}

func (w *Watcher) tick(now time.Time) {
	w.closeSilent(now)
	w.electReader(now)
	w.performActions(w.node.Tick(now))
	w.connect(now)
	w.updateStats()
}

// electReader decides whether this process reads from the platform.
func (w *Watcher) electReader(now time.Time) {
	reads := w.node.IsReader(w.Self.VM.Name, w.zoneVMs, now)
	if reads {
		w.node.MarkReader(now)
	}
	w.documents.setReading(reads)
	w.vmList.setReading(reads)
}

// Current returns the view in force.
func (w *Watcher) Current() view.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// Changed returns a channel that is closed at the next change of the view.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

// peerAhead is called when a peer has shown a higher revision on a connection
// for any purpose, and connects to that peer. Otherwise a process whose
// configuration connections all lead to processes that are behind would wait
// for these, although a caller's connection already shows that there is a newer
// revision.
func (w *Watcher) peerAhead(peer fleet.VM, revision uint64) {
	now := w.Clock.Now().UnixNano()
	last := w.lastAheadDial.Load()
	if now-last < int64(exchangeInterval) || !w.lastAheadDial.CompareAndSwap(last, now) {
		return
	}
	ask := func(now time.Time) []gossip.Action {
		if revision > w.Self.Revision.Load() && !w.peerNames()[peer.Name] {
			w.dial(peer.Address, true, now)
		}
		return nil
	}
	select {
	case w.events <- ask:
	default:
	}
}

// update changes the view and closes the channel of Changed.
func (w *Watcher) update(change func(*view.View)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.view)
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// liveVMsInZone returns the names of the zone's live VMs.
func liveVMsInZone(vms []fleet.VM, zone string) []string {
	var names []string
	for _, v := range vms {
		if v.Zone == zone && v.State == fleet.StateLive {
			names = append(names, v.Name)
		}
	}
	return names
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.Clock.After(d):
	}
}

// random returns a number in [0, 1). It is only used to spread retries.
func random() float64 { return rand.Float64() }
