// Package watch keeps the configuration in force and the VM list of a
// process up to date: it carries out what package gossip decides.
// doc/config-propagation.md tells operators how.
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

// exchange is how often peers tell each other what they hold. It bounds how
// long a lost message can keep a process behind, and must leave room under
// the 3 s in which a configuration is in force everywhere.
const exchange = time.Second

// maxEvents bounds the events that wait for the loop; connections that bring
// more wait in turn, and their peers with them.
const maxEvents = 256

// Watcher learns the document in force and the VM list, and is the
// view.Source of its process. Set the exported fields before Run. Config and
// VMList may be invalid: the process then depends on its peers alone.
type Watcher struct {
	Self        *link.Self
	Clock       clockwork.Clock
	Log         trail.Log
	Metrics     tally.Scope
	Environment string
	Config      netip.AddrPort
	VMList      netip.AddrPort
	Seeds       []netip.AddrPort

	once    sync.Once
	events  chan event
	stopped chan struct{}
	// lastAhead is when a peer that is ahead was last asked.
	lastAhead atomic.Int64

	// These belong to the loop.
	node    gossip.Node
	conns   map[gossip.PeerID]*peerConn
	nextID  gossip.PeerID
	dialer  dialer
	last    time.Time
	members []string
	// accepted and acceptedVMs passed the node's last check of a document and
	// of a VM list; the node adopts them right after.
	accepted    *envdoc.Document
	acceptedVMs []fleet.VM
	decoder     gossip.VMs
	// Bytes of connections that have ended.
	closedReceived uint64
	closedSent     uint64

	docs feed
	list feed

	mu      sync.Mutex
	view    view.View
	changed chan struct{}
	stats   Stats
}

var _ view.Source = (*Watcher)(nil)

// event is something that happened; the loop runs it and then carries out
// the actions that it returns.
type event func(now time.Time) []gossip.Action

func (w *Watcher) init() {
	w.once.Do(func() {
		w.events = make(chan event, maxEvents)
		w.stopped = make(chan struct{})
		w.conns = map[gossip.PeerID]*peerConn{}
		w.dialer.retries = map[netip.AddrPort]*redial{}
		w.dialer.dialingTo = map[netip.AddrPort]bool{}
		w.node.Zone = w.Self.VM.Zone
		w.node.Accept = w.accept
		w.docs.service = newService(w.Config)
		w.list.service = newService(w.VMList)
		w.docs.turn = make(chan struct{}, 1)
		w.list.turn = make(chan struct{}, 1)
		w.Self.NotifyAhead(w.ahead)
	})
}

// Run keeps the view up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	now := w.Clock.Now()
	w.node.Start(now)
	w.last = now
	var wg sync.WaitGroup
	wg.Go(func() { w.readDocuments(ctx) })
	wg.Go(func() { w.readVMs(ctx) })
	w.dialer.ctx, w.dialer.wg = ctx, &wg
	w.loop(ctx)
	wg.Wait()
	return nil
}

func (w *Watcher) loop(ctx context.Context) {
	ticker := w.Clock.NewTicker(exchange)
	defer ticker.Stop()
	defer close(w.stopped)
	w.connect(w.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			w.closeAll()
			return
		case e := <-w.events:
			w.perform(e(w.Clock.Now()))
		case <-ticker.Chan():
			w.tick(w.Clock.Now())
		}
	}
}

// post hands an event to the loop. It reports false when ctx or the loop has
// ended.
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
	w.elect(now)
	w.perform(w.node.Tick(now))
	w.connect(now)
	w.record()
}

// elect decides whether this process reads the platform.
func (w *Watcher) elect(now time.Time) {
	reads := w.node.IsReader(w.Self.VM.Name, w.members, now)
	if reads {
		w.node.Reading(now)
	}
	w.docs.set(reads)
	w.list.set(reads)
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

// ahead is told of a peer that has shown a higher revision, on a connection
// of whatever purpose, and asks that peer. Without it a process whose
// configuration connections all lead to others that are behind would wait for
// them, while a caller's connection already shows that there is more.
func (w *Watcher) ahead(peer fleet.VM, revision uint64) {
	now := w.Clock.Now().UnixNano()
	last := w.lastAhead.Load()
	if now-last < int64(exchange) || !w.lastAhead.CompareAndSwap(last, now) {
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

// update changes the view and tells all who wait in Changed.
func (w *Watcher) update(change func(*view.View)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.view)
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// zoneMembers are the names of the zone's live VMs.
func zoneMembers(vms []fleet.VM, zone string) []string {
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

// random is from 0 up to 1; it only spreads retries in time.
func random() float64 { return rand.Float64() }
