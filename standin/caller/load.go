// Package caller is a load test by simulated customers. It checks that each
// answer is complete, belongs to its request and comes from one version, and
// counts the outcome that the system reported for each call. The callers command
// of standin runs it, and package demo reads its summary.
package caller

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"hawthornferry/core/version/chunk"
)

// Kind is the kind of a call.
type Kind string

// The kinds of call: chat completions that are streamed and that are not,
// lookups, which may be executed any number of times, and calls that must be
// executed at most once (once-calls).
const (
	KindStream Kind = "stream"
	KindWhole  Kind = "whole"
	KindLookup Kind = "lookup"
	KindOnce   Kind = "once"
)

// Workload is the number of concurrent workers that make calls of a kind, and the
// number of calls a second that they make together; Rate 0 is no limit.
type Workload struct {
	Kind    Kind
	Workers int
	Rate    float64
}

// LoadTest is one run of the load test. Set the exported fields before Run.
//
// Calls go over the route Entries. Unless Direct is empty, they go over Direct
// in every other Slice, so that the two can be compared. Calls are begun for
// Duration; each has at most Attempts attempts, each of at most Timeout. A
// once-call gets a ticket if its serial, which counts the calls of all kinds, is
// a multiple of TicketEvery, and an idempotency key if its serial has the
// remainder keyRemainder modulo KeyEvery; 0 is none. An answer must come from
// one of Manifests, or, if there are none, from the one that its response names.
// Replicas are the stand-ins for plain services whose executions are read at the
// end. Progress gets a line every second unless it is nil.
type LoadTest struct {
	Entries       Route
	Direct        Route
	Slice         time.Duration
	Workloads     []Workload
	Duration      time.Duration
	Timeout       time.Duration
	Attempts      int
	Tokens        int
	TicketEvery   int
	KeyEvery      int
	ChatService   string
	LookupService string
	OnceService   string
	LookupPath    string
	OncePath      string
	Customers     []Customer
	Manifests     []chunk.Digest
	Replicas      []netip.AddrPort
	Clock         clockwork.Clock
	Progress      io.Writer

	client       *http.Client
	runID        string
	start        time.Time
	serial       atomic.Uint64
	counts       counts
	onceOutcomes onceOutcomes
}

// Limits of a run: the idle connections to one address, and the calls, since the
// outcome of each once-call is kept in memory until the end.
const (
	maxIdleConns = 256
	maxCalls     = 4 << 20
)

// Run begins calls until Duration is over or ctx ends, waits for the calls under
// way and returns the summary.
func (l *LoadTest) Run(ctx context.Context) (Summary, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	defer transport.CloseIdleConnections()
	l.client = &http.Client{Transport: transport}
	l.runID = uuid.NewString()[:8]
	l.start = l.Clock.Now()
	stopped := make(chan struct{})
	stop := sync.OnceFunc(func() { close(stopped) })
	timer := l.Clock.AfterFunc(l.Duration, stop)
	defer timer.Stop()
	defer context.AfterFunc(ctx, stop)()
	var g errgroup.Group
	for _, w := range l.Workloads {
		l.startWorkers(&g, w, stopped)
	}
	progressed := l.startProgress(stopped)
	err := g.Wait()
	stop()
	<-progressed
	if err != nil {
		return Summary{}, err
	}
	return l.summary()
}

func (l *LoadTest) startWorkers(g *errgroup.Group, w Workload, stopped <-chan struct{}) {
	limit := rate.Inf
	if w.Rate > 0 {
		limit = rate.Limit(w.Rate)
	}
	limiter := rate.NewLimiter(limit, 1)
	for range w.Workers {
		g.Go(func() error {
			for l.waitTurn(limiter, stopped) {
				l.call(w.Kind)
			}
			return nil
		})
	}
}

// waitTurn waits until the rate allows the next call. It returns false once the
// run has stopped or has made maxCalls calls.
func (l *LoadTest) waitTurn(limiter *rate.Limiter, stopped <-chan struct{}) bool {
	now := l.Clock.Now()
	t := l.Clock.NewTimer(limiter.ReserveN(now, 1).DelayFrom(now))
	defer t.Stop()
	select {
	case <-stopped:
		return false
	case <-t.Chan():
	}
	select {
	case <-stopped:
		return false
	default:
		return l.serial.Load() < maxCalls
	}
}

// call makes one call and counts its result. The end of the run doesn't cancel
// it, so that the calls under way get their answers.
func (l *LoadTest) call(k Kind) {
	n := l.serial.Add(1)
	c := &call{
		load:     l,
		kind:     k,
		route:    l.currentRoute(),
		serial:   n,
		customer: l.customerFor(n),
		start:    l.Clock.Now(),
	}
	l.counts.begin(c)
	c.run()
	l.counts.end(c, l.Clock.Now())
	l.onceOutcomes.record(c)
}

// currentRoute returns the route of the current slice.
func (l *LoadTest) currentRoute() *Route {
	if l.Direct.Name == "" {
		return &l.Entries
	}
	if (l.Clock.Since(l.start)/l.Slice)%2 == 1 {
		return &l.Direct
	}
	return &l.Entries
}
