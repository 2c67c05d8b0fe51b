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
	// drainTimes is set once a drain with a deadline has begun.
	drainTimes atomic.Pointer[drainTimes]
	// stopping ends when the calls under way must be answered, because the process is about to
	// end. endCalls ends it.
	stopping context.Context
	endCalls context.CancelFunc
	running  atomic.Bool
	chooseMu sync.Mutex
	policy   *policy
}

func (s *Server) init() { s.setup.Do(s.initialize) }

func (s *Server) initialize() {
	s.Limits = s.Limits.withDefaults()
	s.policy = newPolicy(s.Clock, s.Self.VM)
	s.stopping, s.endCalls = context.WithCancel(context.Background())
	if s.Chooser == nil {
		s.Chooser = s.policy
	}
	s.outcomes = newOutcomeTable(s.Metrics)
	s.callSlots = make(chan struct{}, s.Limits.MaxInFlight)
	s.bodyBudget = semaphore.NewWeighted(int64(s.Limits.MaxBodyBytesTotal))
	s.pool = newPool(s)
	s.watchTables()
	s.server = &http.Server{
		Handler:           s.limitBodyTime(s.newRouter()),
		ConnState:         trackConnState,
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
	}
}

// Run serves callers until ctx ends, and then closes their connections. Call Drain
// first to let the requests in flight finish.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	nl, err := s.listener()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { s.pool.run(ctx) })
	wg.Go(func() { s.policy.run(ctx) })
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	s.running.Store(true)
	defer s.running.Store(false)
	err = s.server.Serve(callerListener{nl})
	if !errors.Is(err, http.ErrServerClosed) {
		return operr.Wrap("serve callers", nl.Addr().String(), err)
	}
	// After Drain, the calls in flight still need their sessions.
	<-ctx.Done()
	return nil
}

func (s *Server) listener() (net.Listener, error) {
	if s.Listener != nil {
		return s.Listener, nil
	}
	nl, err := net.Listen("tcp", s.ListenAddr.String())
	return nl, operr.Wrap("listen for callers", s.ListenAddr.String(), err)
}

// Ready reports whether the load balancer may send callers here: the entry is serving,
// has a document and is not draining.
func (s *Server) Ready() bool {
	return s.running.Load() && !s.draining.Load() && s.Source.Current().Document != nil
}

// Targets returns the targets that the entry has sessions with, sorted by name.
func (s *Server) Targets() []TargetStatus {
	s.init()
	return s.pool.targets()
}

// Outcomes returns the number of calls for each customer, service and outcome.
func (s *Server) Outcomes() []OutcomeCount {
	s.init()
	return s.outcomes.list()
}
