// Package watch keeps the configuration in force and the VM list of a
// process up to date. doc/config-propagation.md tells operators how.
package watch

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

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

	mu      sync.Mutex
	view    view.View
	changed chan struct{}
}

var _ view.Source = (*Watcher)(nil)

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

// Handler serves the configuration connections of peers.
func (w *Watcher) Handler() link.Handler {
	return link.Handler{
		Kinds: frame.Kinds{},
		Serve: func(ctx context.Context, _ *link.Conn) { <-ctx.Done() },
	}
}

// Run keeps the view up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { w.watchDocument(ctx) })
	wg.Go(func() { w.pollVMs(ctx) })
	wg.Wait()
	return nil
}

// Pauses between reads.
const (
	vmPause    = time.Second
	retryPause = 500 * time.Millisecond
)

func (w *Watcher) watchDocument(ctx context.Context) {
	if !w.Config.IsValid() {
		return
	}
	s := newService(w.Config)
	var seen uint64
	for ctx.Err() == nil {
		text, revision, err := s.document(ctx, w.Environment, seen)
		if err != nil {
			w.Log.Decide(trail.Decision{Area: trail.AreaConfig, Action: "read", Reason: err.Error()})
			w.sleep(ctx, retryPause)
			continue
		}
		if revision > seen {
			seen = revision
			w.offer(revision, text)
		}
	}
}

// offer puts a document in force when its revision is the highest so far.
func (w *Watcher) offer(revision uint64, text []byte) {
	doc, err := envdoc.Parse("revision", revision, text)
	d := trail.Decision{Area: trail.AreaConfig, Revision: revision}
	if err != nil {
		d.Action, d.Reason = "refuse", err.Error()
		w.Log.Decide(d)
		return
	}
	w.mu.Lock()
	held := w.view.Revision()
	if revision > held {
		w.view.Document = doc
		w.Self.Revision.Store(revision)
		w.announce()
	}
	w.mu.Unlock()
	d.Action = "inForce"
	if revision <= held {
		d.Action, d.Reason = "ignore", "not above the revision in force"
	}
	w.Log.Decide(d)
}

func (w *Watcher) pollVMs(ctx context.Context) {
	if !w.VMList.IsValid() {
		return
	}
	s := newService(w.VMList)
	for ctx.Err() == nil {
		vms, err := s.vms(ctx)
		if err == nil {
			w.learn(vms)
		}
		w.sleep(ctx, vmPause)
	}
}

func (w *Watcher) learn(vms []fleet.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if equalVMs(w.view.VMs, vms) {
		return
	}
	w.view.VMs = vms
	w.announce()
}

// announce tells all who wait in Changed; mu is held.
func (w *Watcher) announce() {
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.Clock.After(d):
	}
}
