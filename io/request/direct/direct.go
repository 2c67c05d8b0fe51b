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
	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/spend"
)

// Source is the belief that requests are served by.
type Source interface {
	facts.Source
	Changed() <-chan struct{}
}

// Rules are the operator's bounds on how requests are served.
type Rules struct {
	// KeyAge is how old the belief may be for a key to be honoured, zero for
	// any age; TableAge is the same for a caller to be told that a route or a
	// key does not exist.
	KeyAge   time.Duration
	TableAge time.Duration
	// Grace is the time from the request to stop to the kill.
	Grace time.Duration
	// Version is how long after its naming a version is demanded of targets.
	Version time.Duration
	// Retry bounds the requests sent once more to a service.
	Retry spend.Budget
}

// Times and sizes of the server.
const (
	headerTimeout = 3 * time.Second
	bodyTimeout   = 5 * time.Second
	// idleTimeout is above the idle time that any configuration grants: a
	// connection that the entry closes while its caller reuses it costs that
	// caller a request.
	idleTimeout = 90 * time.Second
	// maxHeader bounds a request's header, in bytes; callers are granted 16
	// KiB and the server counts generously.
	maxHeader = 64 << 10
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
)

// Server serves callers. Set the exported fields before Run.
type Server struct {
	Net     net.Listener
	Clock   clockwork.Clock
	Log     trail.Log
	Metrics tally.Scope
	Source  Source
	Dialect Dialect
	Placer  *place.Placer
	Rules   Rules
	// Suspects lets all requests through when it is nil.
	Suspects Suspects

	setup    sync.Once
	desk     *desk
	sender   *sender
	server   *http.Server
	meter    meter
	draining atomic.Bool
	// leave is set once the entry drains.
	leave atomic.Pointer[leave]

	budgetMu sync.Mutex
	budgets  map[string]*spend.Budget
	// entries is the most entries that there were; budgetMu guards it.
	entries  int
	patience patience
	moves    moves
	ends     ends
	// demandedNow holds the version of each model that was last demanded.
	demandedNow sync.Map
}

func (s *Server) init() {
	s.setup.Do(func() {
		if s.Metrics == nil {
			s.Metrics = tally.NoopScope
		}
		if s.Suspects == nil {
			s.Suspects = noSuspects{}
		}
		s.meter = newMeter(s.Metrics)
		s.desk = newDesk(s.Clock, s.Placer)
		s.sender = newSender(s.Clock)
		s.sender.ways.learnt = s.desk.way
		s.budgets = map[string]*spend.Budget{}
		s.server = &http.Server{
			Handler:           http.HandlerFunc(s.serve),
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
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
	wg.Go(func() { s.desk.run(ctx) })
	wg.Go(func() { s.follow(ctx) })
	stop := context.AfterFunc(ctx, func() { s.server.Close() })
	defer stop()
	err := s.server.Serve(s.Net)
	if !errors.Is(err, http.ErrServerClosed) {
		return fault.At("serve callers", s.Net.Addr().String(), err)
	}
	<-ctx.Done()
	return nil
}

// follow hands each new belief to the placer.
func (s *Server) follow(ctx context.Context) {
	for {
		changed := s.Source.Changed()
		if f := s.Source.Current(); f.Table != nil {
			s.desk.update(f)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Report takes what a target says of its own load.
func (s *Server) Report(target string, r place.Report) {
	s.init()
	s.hearEntries(r.Fleet)
	s.desk.report(target, r)
	s.moveFrom(target, r)
}

// hearEntries takes how many entries there are. The most that was ever heard
// counts: targets out of touch with some of them tell of fewer.
func (s *Server) hearEntries(n int) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.entries = max(s.entries, n)
}

// Served returns what the targets of engines serve.
func (s *Server) Served() []place.Served {
	s.init()
	return s.desk.served()
}

// Ready reports whether the balancer may send callers here.
func (s *Server) Ready() error {
	if s.draining.Load() {
		return errors.New("draining")
	}
	if s.Source.Current().Table == nil {
		return errors.New("no configuration yet")
	}
	return nil
}

// Times of a drain.
const (
	// mostNotice is how long a draining entry still takes new requests: the
	// balancer asks once a second and takes an entry out after two misses, so
	// callers come for up to three seconds. It is no more than noticeShare of
	// the grace period, whose rest is for the requests in flight.
	mostNotice  = 3500 * time.Millisecond
	noticeShare = 0.45
	// lateNotice is from when on only requests are taken that end before the
	// entry does, however long they last: callers have been sent elsewhere for
	// two missed questions, and a stream that begins now may be cut.
	lateNotice = 2900 * time.Millisecond
)

// leave is when a drain began and by when the process ends.
type leave struct {
	began time.Time
	ends  time.Time
}

// leavesBefore reports whether the entry may end before a request does that has
// come late in its drain.
func (s *Server) leavesBefore(q *request) bool {
	l := s.leave.Load()
	return l != nil && q.arrived.Sub(l.began) > lateNotice && q.deadline.After(l.ends)
}

// Drain makes the entry not ready, serves those who still come until the
// balancer has taken it out, and returns when the requests in flight have
// ended or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.init()
	if ends, ok := ctx.Deadline(); ok {
		s.leave.Store(&leave{began: s.Clock.Now(), ends: ends})
	}
	s.draining.Store(true)
	select {
	case <-s.Clock.After(min(mostNotice, time.Duration(noticeShare*float64(s.Rules.Grace)))):
	case <-ctx.Done():
	}
	return fault.At("drain", "", s.server.Shutdown(ctx))
}

// retry reports whether a request to the service may be sent once more.
func (s *Server) retry(service string) bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget(service).Take(s.Clock.Now())
}

func (s *Server) earn(service string) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget(service).Earn(s.Clock.Now())
}

func (s *Server) budget(service string) *spend.Budget {
	b, ok := s.budgets[service]
	if !ok {
		b = &spend.Budget{Ratio: s.Rules.Retry.Ratio, Slack: s.Rules.Retry.Slack, Window: s.Rules.Retry.Window}
		s.budgets[service] = b
	}
	b.Entries = s.entries
	return b
}
