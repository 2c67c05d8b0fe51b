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
	"hawthornferry/io/conn/bound"
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
	pooledTransport bound.Transport
	onceTransport   bound.Transport
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

func (p *Proxy) init() { p.setup.Do(p.initialize) }

func (p *Proxy) initialize() {
	if p.LedgerLimits == (calls.Limits{}) {
		p.LedgerLimits = calls.DefaultLimits()
	}
	if p.MaxInFlight == 0 {
		p.MaxInFlight = DefaultMaxInFlight
	}
	if p.MaxStoredBytes == 0 {
		p.MaxStoredBytes = DefaultMaxStoredBytes
	}
	p.bootTime = p.Clock.Now()
	p.ledger = calls.NewLedger(p.Self.Boot, p.LedgerLimits)
	p.executions = map[calls.ID]*execution{}
	p.changed = make(chan struct{})
	p.pooledTransport = newPooledTransport()
	p.onceTransport = newOnceTransport()
	p.watchTables()
	p.server = &sessn.Server{Service: p, Clock: p.Clock, Timing: p.Timing}
}

// Handler returns the handler for entries' connections.
func (p *Proxy) Handler() link.Handler {
	p.init()
	return p.server.Handler()
}

// Run keeps the state of the target up to date until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	p.init()
	tick := p.Clock.NewTicker(stateInterval)
	defer tick.Stop()
	defer p.pooledTransport.CloseIdleConnections()
	for {
		viewChanged := p.Source.Changed()
		p.updateTarget(ctx)
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
func (p *Proxy) Drain(ctx context.Context) error {
	p.init()
	p.mu.Lock()
	p.draining = true
	p.idle = make(chan struct{})
	idle := p.idle
	p.signalIdleLocked()
	p.announceLocked()
	p.mu.Unlock()
	select {
	case <-idle:
		return p.server.Flush(ctx, p.announce)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdleLocked lets Drain continue if no call is in flight and no answer is
// pending.
func (p *Proxy) signalIdleLocked() {
	if p.inFlight == 0 && p.pendingAnswers == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

// answerPending records that a call or query has arrived that needs an answer.
func (p *Proxy) answerPending() {
	p.mu.Lock()
	p.pendingAnswers++
	p.mu.Unlock()
}

// answerSent records that the answer to a call or query has been sent.
func (p *Proxy) answerSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingAnswers--
	p.signalIdleLocked()
}

// ServedVersion returns the digest of the manifest that the target last reported, or an empty
// digest if it serves none.
func (p *Proxy) ServedVersion() chunk.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target.serving
}

// InFlight returns the number of calls at the target.
func (p *Proxy) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// Heartbeat returns the content of the next heartbeat.
func (p *Proxy) Heartbeat() sessn.Heartbeat {
	p.mu.Lock()
	defer p.mu.Unlock()
	return sessn.Heartbeat{
		Reading:       p.clockReadingLocked(),
		Leaving:       p.draining || p.target.leaving,
		Ready:         p.target.ready,
		ServedVersion: p.target.serving,
		Load:          p.target.load,
	}
}

// HeartbeatChanged returns a channel that is closed when entries should learn the result of
// Heartbeat at once.
func (p *Proxy) HeartbeatChanged() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *Proxy) announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announceLocked()
}

func (p *Proxy) announceLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) clockReadingLocked() fresh.ClockReading {
	return fresh.ClockReading{Boot: p.Self.Boot, At: p.now()}
}

// now returns the time since the gate's boot. It is the clock that readings refer to.
func (p *Proxy) now() time.Duration { return p.Clock.Since(p.bootTime) }

// acquireSlotLocked counts a call as in flight. releaseSlot ends that.
func (p *Proxy) acquireSlotLocked() { p.inFlight++ }

func (p *Proxy) releaseSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.signalIdleLocked()
}

// refusalReasonLocked returns why the target may not get a new call now, or an empty
// reason if it may. version, if set, is the only one that may answer.
func (p *Proxy) refusalReasonLocked(version chunk.Digest) calls.Reason {
	switch {
	case p.draining || p.target.leaving:
		return calls.ReasonLeaving
	case !p.target.ready:
		return calls.ReasonUnserved
	case version != "" && version != p.target.serving:
		return calls.ReasonOtherVersion
	case p.inFlight >= p.MaxInFlight:
		return calls.ReasonBusy
	}
	return ""
}

func (p *Proxy) serviceKind() envdoc.ServiceKind {
	d := p.Source.Current().Document
	if d == nil {
		return ""
	}
	s, ok := d.ServiceByName(p.Service)
	if !ok {
		return ""
	}
	return s.Kind
}

func (p *Proxy) vmLeaving() bool {
	for _, vm := range p.Source.Current().VMs {
		if vm.Name == p.Self.VM.Name {
			return vm.State == fleet.StateLeaving
		}
	}
	return false
}
