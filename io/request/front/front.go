// Package front is the HTTP server of an entry process. It accepts callers' requests,
// applies admission control, chooses a target for each call, sends the call over a
// session to the side process next to the target (see package gate), and reports the
// outcome to the caller.
//
// Calls that may be repeated are retried on other targets (repeat.go, relay.go,
// stream.go). Once-calls run at most once (once.go, onceattempt.go, ticket.go). Package
// entry (io/process/entry) builds and runs a Server.
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

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/request/picker"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/conn/sessn"
	"hawthornferry/io/process/trends"
)

// Chooser picks the target of a call from the candidates.
type Chooser interface {
	Choose(now time.Time, r picker.Request, candidates []picker.Candidate) (picker.Choice, error)
}

// Server serves callers. Set the exported fields before Run; limits that are zero get
// their defaults.
type Server struct {
	Self    *link.Self
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope
	// Recorder records latencies, counts and table sizes to detect slow degradation. It
	// may be nil.
	Recorder *trends.Recorder
	Source   view.Source
	// ListenAddr is the address on which to accept callers. If Listener is set, it
	// is used instead.
	ListenAddr netip.AddrPort
	Listener   net.Listener
	// Chooser picks targets. If it is nil, a picker.Chooser is used.
	Chooser Chooser
	Timing  sessn.Timing
	Limits  Limits

	setup    sync.Once
	server   *http.Server
	pool     *pool
	outcomes *outcomeTable
	// callSlots limits the calls in flight, bodyBudget the bytes of their request
	// bodies.
	callSlots  chan struct{}
	bodyBudget *semaphore.Weighted
	draining   atomic.Bool
	running    atomic.Bool
	chooseMu   sync.Mutex
	policy     *policy
}

func (f *Server) init() { f.setup.Do(f.initialize) }

func (f *Server) initialize() {
	f.Limits = f.Limits.withDefaults()
	f.policy = newPolicy(f.Clock, f.Self.VM)
	if f.Chooser == nil {
		f.Chooser = f.policy
	}
	f.outcomes = newOutcomeTable(f.Metrics)
	f.callSlots = make(chan struct{}, f.Limits.MaxInFlight)
	f.bodyBudget = semaphore.NewWeighted(int64(f.Limits.MaxBodyBytesTotal))
	f.pool = newPool(f)
	f.watchTables()
	f.server = &http.Server{
		Handler:           f.newRouter(),
		ConnState:         trackConnState,
		ReadHeaderTimeout: f.Limits.HeaderTimeout,
		IdleTimeout:       f.Limits.IdleTimeout,
		MaxHeaderBytes:    f.Limits.MaxHeaderBytes,
	}
}

// Run serves callers until ctx ends, and then closes their connections. Call Drain
// first to let the requests in flight finish.
func (f *Server) Run(ctx context.Context) error {
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
		return operr.Wrap("serve callers", nl.Addr().String(), err)
	}
	// After Drain, the calls in flight still need their sessions.
	<-ctx.Done()
	return nil
}

func (f *Server) listener() (net.Listener, error) {
	if f.Listener != nil {
		return f.Listener, nil
	}
	nl, err := net.Listen("tcp", f.ListenAddr.String())
	return nl, operr.Wrap("listen for callers", f.ListenAddr.String(), err)
}

// Drain makes the entry report not ready, keeps serving for Limits.DrainNotice so that
// the load balancer stops sending callers, and then stops accepting connections. It
// returns when the calls in flight have finished or ctx ends.
//
// Shutting down at once would close idle connections on which a request is just
// arriving, and its caller would get no response. During the notice such requests are
// served with a Connection: close header.
func (f *Server) Drain(ctx context.Context) error {
	f.init()
	f.draining.Store(true)
	notice := f.Clock.NewTimer(f.Limits.DrainNotice)
	defer notice.Stop()
	select {
	case <-notice.Chan():
	case <-ctx.Done():
	}
	return operr.Wrap("drain", "", f.server.Shutdown(ctx))
}

// Ready reports whether the load balancer may send callers here: the entry is serving,
// has a document and is not draining.
func (f *Server) Ready() bool {
	return f.running.Load() && !f.draining.Load() && f.Source.Current().Document != nil
}

// Targets returns the targets that the entry has sessions with, sorted by name.
func (f *Server) Targets() []TargetStatus {
	f.init()
	return f.pool.targets()
}

// Outcomes returns the number of calls for each customer, service and outcome.
func (f *Server) Outcomes() []OutcomeCount {
	f.init()
	return f.outcomes.list()
}
