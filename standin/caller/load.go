// Package caller is a load of many simulated customers. Each answer is
// checked to be whole, the caller's own and of one version, and each call's
// outcome is counted as the caller was told it.
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

// Kind is what a worker asks for.
type Kind string

// The kinds of call: chat completions streamed and whole, lookups, and calls
// that must run at most once.
const (
	KindStream Kind = "stream"
	KindWhole  Kind = "whole"
	KindLookup Kind = "lookup"
	KindOnce   Kind = "once"
)

// Work is how many workers make calls of a kind, and how many calls a second
// they make together; Rate 0 is as many as they can.
type Workload struct {
	Kind    Kind
	Workers int
	Rate    float64
}

// LoadTest is one run. Set the exported fields before Run. Direct is empty
// unless the same calls go past the entries in every other Slice. TicketEvery
// makes every so manyth once-call take a ticket, KeyEvery every so manyth carry
// an idempotency key; 0 makes none. Replicas are
// the stand-ins whose executions are read at the end.
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

// Bounds of a run: the idle connections to one address, and the calls, of
// which each once-call is kept until the end.
const (
	maxIdleConns = 256
	maxCalls     = 4 << 20
)

// Run makes calls until Duration is over or ctx ends, lets the calls under
// way finish and returns the counts.
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

// turn waits for the rate and returns false once the run has stopped.
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

// call makes one call and counts how it ended. It is not tied to the end of
// the run, so that the calls under way get their answers.
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

// lane is the lane of the current slice.
func (l *LoadTest) currentRoute() *Route {
	if l.Direct.Name == "" {
		return &l.Entries
	}
	if (l.Clock.Since(l.start)/l.Slice)%2 == 1 {
		return &l.Direct
	}
	return &l.Entries
}
