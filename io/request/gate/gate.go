// Package gate forwards the calls of entries to one target. It runs in the side process
// next to the target, and every call to the target passes through it. Package side
// (io/process/side) builds and runs the Proxy; package front is its counterpart in the
// entry.
//
// The proxy runs once-calls at most once, refuses calls that the target may not get, and
// reports the target's state to the entries in heartbeats.
package gate

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/conn/sessn"
	"hawthornferry/io/process/trends"
)

// Proxy forwards the calls of entries to one target. Set the exported fields before
// calling Run or Handler; limits that are zero get their defaults.
type Proxy struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope
	// Recorder records counts and table sizes to detect slow degradation. It may be nil.
	Recorder *trends.Recorder
	Source   view.Source
	// Target is the HTTP address of the target, and Service the service that it is a
	// replica of.
	Target  netip.AddrPort
	Service string

	Timing       sessn.Timing
	LedgerLimits calls.Limits
	// MaxInFlight limits the calls at the target, including those in its queue.
	MaxInFlight int
	// MaxStoredBytes limits the total size of the once-calls' answers that are stored
	// for callers that repeat their call.
	MaxStoredBytes int

	setup  sync.Once
	server *sessn.Server
	// pooledTransport reuses connections, for calls that may be repeated. onceTransport
	// opens a connection for each call.
	pooledTransport *http.Transport
	onceTransport   *http.Transport
	bootTime        time.Time

	mu          sync.Mutex
	ledger      *calls.Ledger
	executions  map[calls.ID]*execution
	storedIDs   []calls.ID
	storedBytes int
	inFlight    int
	// pendingAnswers counts the calls and queries whose answer has not been sent yet.
	pendingAnswers int
	idle           chan struct{}
	draining       bool
	target         targetState
	cache          cacheEventLog
	members        string
	changed        chan struct{}
}

// Default limits.
const (
	DefaultMaxInFlight    = 256
	DefaultMaxStoredBytes = 16 << 20
)

func (g *Proxy) init() { g.setup.Do(g.initialize) }

func (g *Proxy) initialize() {
	if g.LedgerLimits == (calls.Limits{}) {
		g.LedgerLimits = calls.DefaultLimits()
	}
	if g.MaxInFlight == 0 {
		g.MaxInFlight = DefaultMaxInFlight
	}
	if g.MaxStoredBytes == 0 {
		g.MaxStoredBytes = DefaultMaxStoredBytes
	}
	g.bootTime = g.Clock.Now()
	g.ledger = calls.NewLedger(g.Self.Boot, g.LedgerLimits)
	g.executions = map[calls.ID]*execution{}
	g.changed = make(chan struct{})
	g.pooledTransport = newPooledTransport()
	g.onceTransport = newOnceTransport()
	g.watchTables()
	g.server = &sessn.Server{Service: g, Clock: g.Clock, Timing: g.Timing}
}

// Handler returns the handler for entries' connections.
func (g *Proxy) Handler() link.Handler {
	g.init()
	return g.server.Handler()
}

// Run keeps the state of the target up to date until ctx ends.
func (g *Proxy) Run(ctx context.Context) error {
	g.init()
	tick := g.Clock.NewTicker(stateInterval)
	defer tick.Stop()
	defer g.pooledTransport.CloseIdleConnections()
	for {
		viewChanged := g.Source.Changed()
		g.updateTarget(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-viewChanged:
		case <-tick.Chan():
		}
	}
}

// Drain refuses new calls and waits until the calls in flight have finished and the
// entries have read their answers, or until ctx ends.
func (g *Proxy) Drain(ctx context.Context) error {
	g.init()
	g.mu.Lock()
	g.draining = true
	g.idle = make(chan struct{})
	idle := g.idle
	g.signalIdleLocked()
	g.announceLocked()
	g.mu.Unlock()
	select {
	case <-idle:
		return g.server.Flush(ctx, g.announce)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdleLocked lets Drain continue if no call is in flight and no answer is
// pending.
func (g *Proxy) signalIdleLocked() {
	if g.inFlight == 0 && g.pendingAnswers == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// answerPending records that a call or query has arrived that needs an answer.
func (g *Proxy) answerPending() {
	g.mu.Lock()
	g.pendingAnswers++
	g.mu.Unlock()
}

// answerSent records that the answer to a call or query has been sent.
func (g *Proxy) answerSent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingAnswers--
	g.signalIdleLocked()
}

// ServedVersion returns the digest of the manifest that the target last reported, or an empty
// digest if it serves none.
func (g *Proxy) ServedVersion() chunk.Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.serving
}

// InFlight returns the number of calls at the target.
func (g *Proxy) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

// Heartbeat returns the content of the next heartbeat.
func (g *Proxy) Heartbeat() sessn.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	return sessn.Heartbeat{
		Reading:       g.clockReadingLocked(),
		Leaving:       g.draining || g.target.leaving,
		Ready:         g.target.ready,
		ServedVersion: g.target.serving,
		Load:          g.target.load,
	}
}

// HeartbeatChanged returns a channel that is closed when entries should learn the result of
// Heartbeat at once.
func (g *Proxy) HeartbeatChanged() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Proxy) announce() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announceLocked()
}

func (g *Proxy) announceLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Proxy) clockReadingLocked() fresh.ClockReading {
	return fresh.ClockReading{Boot: g.Self.Boot, At: g.now()}
}

// now returns the time since the gate's boot. It is the clock that readings refer to.
func (g *Proxy) now() time.Duration { return g.Clock.Since(g.bootTime) }

// acquireSlotLocked counts a call as in flight. releaseSlot ends that.
func (g *Proxy) acquireSlotLocked() { g.inFlight++ }

func (g *Proxy) releaseSlot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.signalIdleLocked()
}

// refusalReasonLocked returns why the target may not get a new call now, or an empty
// reason if it may. version, if set, is the only one that may answer.
func (g *Proxy) refusalReasonLocked(version chunk.Digest) calls.Reason {
	switch {
	case g.draining || g.target.leaving:
		return calls.ReasonLeaving
	case !g.target.ready:
		return calls.ReasonUnserved
	case version != "" && version != g.target.serving:
		return calls.ReasonOtherVersion
	case g.inFlight >= g.MaxInFlight:
		return calls.ReasonBusy
	}
	return ""
}

func (g *Proxy) serviceKind() envdoc.ServiceKind {
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

func (g *Proxy) vmLeaving() bool {
	for _, vm := range g.Source.Current().VMs {
		if vm.Name == g.Self.VM.Name {
			return vm.State == fleet.StateLeaving
		}
	}
	return false
}
