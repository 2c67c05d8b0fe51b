// Package gate stands in a side process before its target: every call to the
// target passes it. It runs once-calls at most once, refuses work that the
// target may not get, and tells the entries how the target stands.
package gate

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/conn/lease"
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/conn/sessn"
	"hawthornferry/io/process/gauge"
)

// Gate carries the calls of entries to one target. Set the exported fields
// before Run or Handler; zero limits take their defaults.
type Gate struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope
	// Gauge takes the measures of slow decline; it may be nil.
	Gauge  *gauge.Gauge
	Source view.Source
	// Target is where the target speaks HTTP, Service whose replica it is.
	Target  netip.AddrPort
	Service string

	Timing sessn.Timing
	Limits calls.Limits
	// MaxInFlight bounds the calls at the target and in its queue.
	MaxInFlight int
	// MaxKept bounds the bytes of answers held for callers who ask again.
	MaxKept int

	setup  sync.Once
	server *sessn.Server
	// plain pools connections for calls that may be repeated; once opens one
	// for each call.
	plain *http.Transport
	once  *http.Transport
	boot  time.Time

	mu       sync.Mutex
	ledger   *calls.Ledger
	runs     map[calls.ID]*run
	kept     []calls.ID
	keptSize int
	inFlight int
	// answering counts the calls and queries whose answer is not sent yet.
	answering int
	idle      chan struct{}
	draining  bool
	target    targetState
	cache     cacheEvents
	members   string
	changed   chan struct{}
}

// Defaults of the limits.
const (
	DefaultMaxInFlight = 256
	DefaultMaxKept     = 16 << 20
)

func (g *Gate) init() { g.setup.Do(g.prepare) }

func (g *Gate) prepare() {
	if g.Limits == (calls.Limits{}) {
		g.Limits = calls.DefaultLimits()
	}
	if g.MaxInFlight == 0 {
		g.MaxInFlight = DefaultMaxInFlight
	}
	if g.MaxKept == 0 {
		g.MaxKept = DefaultMaxKept
	}
	g.boot = g.Clock.Now()
	g.ledger = calls.NewLedger(g.Self.Boot, g.Limits)
	g.runs = map[calls.ID]*run{}
	g.changed = make(chan struct{})
	g.plain = pooledTransport()
	g.once = onceTransport()
	g.watchTables()
	g.server = &sessn.Server{Service: g, Clock: g.Clock, Timing: g.Timing}
}

// Handler returns the handler for the connections of entries.
func (g *Gate) Handler() link.Handler {
	g.init()
	return g.server.Handler()
}

// Run watches the target and the view until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	g.init()
	tick := g.Clock.NewTicker(watchEvery)
	defer tick.Stop()
	defer g.plain.CloseIdleConnections()
	for {
		moved := g.Source.Changed()
		g.watch(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-moved:
		case <-tick.Chan():
		}
	}
}

// Drain refuses new calls and waits until those in flight have finished and
// the entries have read their answers, or until ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.init()
	g.mu.Lock()
	g.draining = true
	g.idle = make(chan struct{})
	idle := g.idle
	g.wakeIdleLocked()
	g.announceLocked()
	g.mu.Unlock()
	select {
	case <-idle:
		return g.server.Flush(ctx, g.announce)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wakeIdleLocked lets a drain go on once nothing is in flight.
func (g *Gate) wakeIdleLocked() {
	if g.inFlight == 0 && g.answering == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// hold notes that a call or query is to be answered.
func (g *Gate) hold() {
	g.mu.Lock()
	g.answering++
	g.mu.Unlock()
}

// answered notes that the answer of a call or query has been sent.
func (g *Gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answering--
	g.wakeIdleLocked()
}

// Serving is the digest of the manifest that the target last reported, and
// empty when it serves none.
func (g *Gate) Serving() chunk.Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.serving
}

// InFlight is the number of calls at the target.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Beat returns what the next heartbeat says.
func (g *Gate) Beat() sessn.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	return sessn.Heartbeat{
		Reading: g.readingLocked(),
		Leaving: g.draining || g.target.leaving,
		Ready:   g.target.ready,
		Serving: g.target.serving,
		Load:    g.target.load,
	}
}

// Changed returns a channel that is closed when Beat says something new.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Gate) announce() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announceLocked()
}

func (g *Gate) announceLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gate) readingLocked() lease.Reading {
	return lease.Reading{Boot: g.Self.Boot, At: g.now()}
}

// now is the gate's own clock: the time since its boot.
func (g *Gate) now() time.Duration { return g.Clock.Since(g.boot) }

// enter takes a place at the target.
func (g *Gate) enterLocked() { g.inFlight++ }

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.wakeIdleLocked()
}

// refusalLocked is the reason why the target may get no new call now, and ""
// when it may. version, when set, is the only one that may answer.
func (g *Gate) refusalLocked(version chunk.Digest) calls.Reason {
	switch {
	case g.draining || g.target.leaving:
		return calls.ReasonLeaving
	case !g.target.ready:
		return calls.ReasonUnserved
	case version != "" && version != g.target.serving:
		return calls.ReasonVersion
	case g.inFlight >= g.MaxInFlight:
		return calls.ReasonBusy
	}
	return ""
}

func (g *Gate) kind() envdoc.Kind {
	d := g.Source.Current().Document
	if d == nil {
		return ""
	}
	s, ok := d.ServiceByName(g.Service)
	if !ok {
		return ""
	}
	return s.Kind
}

func (g *Gate) selfLeaving() bool {
	for _, vm := range g.Source.Current().VMs {
		if vm.Name == g.Self.VM.Name {
			return vm.State == fleet.StateLeaving
		}
	}
	return false
}
