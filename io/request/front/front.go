// Package front is the entry's side towards callers: it takes their HTTP
// requests, chooses a target for each, carries the call over a session to the
// target's side process, and tells the caller the outcome.
package front

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/route"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/conn/sessn"
	"hawthornferry/io/process/gauge"
)

// Chooser picks the target of a call among the candidates.
type Chooser interface {
	Choose(now time.Time, r route.Request, candidates []route.Candidate) (route.Choice, error)
}

// Front serves callers. Set the exported fields before Run; zero limits take
// their defaults.
type Front struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope
	// Gauge takes the measures of slow decline; it may be nil.
	Gauge  *gauge.Gauge
	Source view.Source
	// Listen is where callers connect. Net, when set, is used in its place.
	Listen netip.AddrPort
	Net    net.Listener
	// Chooser picks targets; nil takes the project's own.
	Chooser Chooser
	Timing  sessn.Timing
	Limits  Limits

	setup    sync.Once
	server   *http.Server
	pool     *pool
	outcomes *outcomes
	// places bounds the calls in flight, bodies the bytes of their requests.
	places   chan struct{}
	bodies   *semaphore.Weighted
	draining atomic.Bool
	running  atomic.Bool
	chooseMu sync.Mutex
	policy   *policy
}

func (f *Front) init() { f.setup.Do(f.prepare) }

func (f *Front) prepare() {
	f.Limits = f.Limits.orDefault()
	f.policy = newPolicy(f.Clock, f.Self.VM)
	if f.Chooser == nil {
		f.Chooser = f.policy
	}
	f.outcomes = newOutcomes(f.Metrics)
	f.places = make(chan struct{}, f.Limits.MaxInFlight)
	f.bodies = semaphore.NewWeighted(int64(f.Limits.MaxBodies))
	f.pool = newPool(f)
	f.watchTables()
	f.server = &http.Server{
		Handler:           f.router(),
		ConnState:         track,
		ReadHeaderTimeout: f.Limits.HeaderTimeout,
		IdleTimeout:       f.Limits.IdleTimeout,
		MaxHeaderBytes:    f.Limits.MaxHeader,
	}
}

// Run serves callers until ctx ends. To stop without cutting requests, call
// Drain before ctx ends.
func (f *Front) Run(ctx context.Context) error {
	f.init()
	nl, err := f.listener()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { f.pool.run(ctx) })
	wg.Go(func() { f.policy.run(ctx) })
	stop := context.AfterFunc(ctx, func() { f.server.Close() })
	defer stop()
	f.running.Store(true)
	defer f.running.Store(false)
	err = f.server.Serve(callerListener{nl})
	if !errors.Is(err, http.ErrServerClosed) {
		return fault.At("serve callers", nl.Addr().String(), err)
	}
	// After Drain the calls in flight still need their sessions.
	<-ctx.Done()
	return nil
}

func (f *Front) listener() (net.Listener, error) {
	if f.Net != nil {
		return f.Net, nil
	}
	nl, err := net.Listen("tcp", f.Listen.String())
	return nl, fault.At("listen for callers", f.Listen.String(), err)
}

// Drain makes the entry not ready, stops taking callers once the balancer has
// had notice, and returns when the calls in flight have finished or ctx ends.
//
// Closing at once would cut the callers whose request is just arriving on an
// idle connection: they would see it break without an answer. During the
// notice they are served, and told to close their connections.
func (f *Front) Drain(ctx context.Context) error {
	f.init()
	f.draining.Store(true)
	notice := f.Clock.NewTimer(f.Limits.Notice)
	defer notice.Stop()
	select {
	case <-notice.Chan():
	case <-ctx.Done():
	}
	return fault.At("drain", "", f.server.Shutdown(ctx))
}

// Ready reports whether the balancer may send callers: the entry serves, has
// a document, and is not draining.
func (f *Front) Ready() bool {
	return f.running.Load() && !f.draining.Load() && f.Source.Current().Document != nil
}

// Targets lists the targets that the entry has sessions with, by name.
func (f *Front) Targets() []TargetStatus {
	f.init()
	return f.pool.targets()
}

// Outcomes lists how many calls of each customer and service ended how.
func (f *Front) Outcomes() []OutcomeCount {
	f.init()
	return f.outcomes.list()
}
