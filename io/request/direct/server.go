package direct

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/budget"
	"hawthornferry/core/request/lease"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/space"
	"hawthornferry/io/conn/bound"
)

// Source provides the facts that requests are served by: the process's view of the
// configuration, targets and model versions. Changed returns a channel that is closed
// when the facts change.
type Source interface {
	facts.Source
	Changed() <-chan struct{}
}

// Rules are the operator's limits on how requests are served.
type Rules struct {
	// MaxKeyAge is the maximum age of the facts by which an API key may be accepted, zero
	// for any age.
	MaxKeyAge time.Duration
	// MaxTableAge is the maximum age of the facts by which a caller may be told that a
	// route or a key does not exist.
	MaxTableAge time.Duration
	// GracePeriod is the grace period of a stop: the time from the request to stop until the
	// process is killed.
	GracePeriod time.Duration
	// OldVersionPeriod is how long after the announcement of a model version requests
	// may still begin on older ones.
	OldVersionPeriod time.Duration
	// RetryBudget limits the retries that are sent to each service.
	RetryBudget budget.Budget
}

// Timeouts and size limits of the HTTP server.
const (
	headerTimeout = 3 * time.Second
	bodyTimeout   = 5 * time.Second
	// idleTimeout exceeds the idle time that any configuration allows callers. If the
	// entry closed a connection just when a caller reuses it, that request would fail.
	idleTimeout = 90 * time.Second
	// writeTimeout limits one write to a caller that does not read.
	writeTimeout = 10 * time.Second
)

// Server accepts requests from callers and serves them. Set the exported fields before
// Run.
type Server struct {
	Listener    net.Listener
	Clock       clockwork.Clock
	Log         trail.Log
	Metrics     tally.Scope
	Source      Source
	HeaderCodec HeaderCodec
	Placer      *place.Placer
	Rules       Rules
	// Suspects tells which requests may crash targets. If it is nil, no request is
	// blocked.
	Suspects Suspects
	// Memory limits what is held for callers; nil for no limit.
	Memory *space.Budget
	// CutOffs reports targets that have sent more than they may; nil for none.
	CutOffs *bound.Reporter

	initOnce   sync.Once
	dispatcher *dispatcher
	connector  *connector
	server     *http.Server
	metrics    requestMetrics
	draining   atomic.Bool
	// drainTimes is set once a drain with a deadline has begun.
	drainTimes atomic.Pointer[drainTimes]
	// stopping ends when the requests under way must be answered, because the process is about
	// to end. endRequests ends it.
	stopping    context.Context
	endRequests context.CancelFunc
	// underWay counts the requests under way.
	underWay atomic.Int64

	budgetMu     sync.Mutex
	startedAt    time.Time
	retryBudgets map[string]*budget.Budget
	// maxEntries is the highest number of entries that a report has told of. It is
	// guarded by budgetMu.
	maxEntries      int
	callerDeadlines callerDeadlines
	watchdogs       watchdogSet
	endCounts       endCounts
	eventSteps      eventSteps
	demandTotals    demandTotals
	// loggedImplausible holds the services without a level that were last logged, and why
	// they have none. Only followFacts uses it.
	loggedImplausible map[string]string
	// loggedVersions holds, by model, the minimum version that was last logged.
	loggedVersions sync.Map
}

// init sets up the unexported fields on the first call.
func (s *Server) init() {
	s.initOnce.Do(func() {
		if s.Metrics == nil {
			s.Metrics = tally.NoopScope
		}
		if s.Suspects == nil {
			s.Suspects = noSuspects{}
		}
		s.metrics = newRequestMetrics(s.Metrics)
		s.dispatcher = newDispatcher(s.Clock, s.Placer)
		s.connector = newConnector(s.Clock)
		s.connector.dialTimes.onChange = s.dispatcher.setRoundTrip
		s.startedAt = s.Clock.Now()
		s.stopping, s.endRequests = context.WithCancel(context.Background())
		s.retryBudgets = map[string]*budget.Budget{}
		s.server = &http.Server{
			Handler:           http.HandlerFunc(s.serve),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    bound.MaxHeadBytes,
			// A 2xx status must come from a target.
			DisableGeneralOptionsHandler: true,
		}
	})
}

// Run serves callers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { s.dispatcher.run(ctx) })
	wg.Go(func() { s.followFacts(ctx) })
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	err := s.server.Serve(s.Listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return operr.Wrap("serve callers", s.Listener.Addr().String(), err)
	}
	<-ctx.Done()
	return nil
}

// followFacts hands the current facts to the placer, and again after each change.
func (s *Server) followFacts(ctx context.Context) {
	for {
		changed := s.Source.Changed()
		if f := s.Source.Current(); f.Table != nil {
			s.logImplausible(s.dispatcher.update(f))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Report handles a target's report of its own load.
func (s *Server) Report(target string, r place.LoadReport) {
	s.init()
	s.noteEntryCount(r.TotalEntries)
	s.dispatcher.report(target, r)
	s.moveLastStreams(target, r)
}

// AddPermits handles permits to send requests to a target.
func (s *Server) AddPermits(target string, g lease.Grant) {
	s.init()
	s.dispatcher.addPermits(target, g)
}

// noteEntryCount updates the highest number of entries heard of, by which the slack of
// the retry budgets is divided. The number never goes down, because targets that have
// lost contact with some entries report too few.
func (s *Server) noteEntryCount(n int) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.maxEntries = max(s.maxEntries, n)
}

// Entries returns the highest number of entries heard of, 0 if none.
func (s *Server) Entries() int {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.maxEntries
}

// Served returns the model version that each engine target serves.
func (s *Server) Served() []place.TargetVersion {
	s.init()
	return s.dispatcher.served()
}

// Ready returns nil if the load balancer may send callers to this entry, otherwise an
// error with the reason.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New("draining")
	}
	if s.Source.Current().Table == nil {
		return errors.New("no configuration yet")
	}
	return nil
}
