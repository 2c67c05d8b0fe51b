package hosted

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/io/conn/link"
	"hawthornferry/io/process/admin"
	"hawthornferry/io/process/alert"
	"hawthornferry/io/process/awake"
	"hawthornferry/io/process/feed"
	"hawthornferry/io/process/trace"
	"hawthornferry/io/request/direct"
)

// Platform is what the processes need of the platform.
type Platform struct {
	Store  feed.Store
	Reader feed.Reader
	// Settings reads the settings anew; nil when they cannot change.
	Settings func() (Settings, error)
}

// Sizes and times of a process.
const (
	// logLines is how many lines wait for an output that is slow; a burst of
	// a second writes about two hundred.
	logLines = 2048
	// logBudget is how many lines of one kind are written in a second, and
	// routineBudget the same for requests that go well: four times and twice the
	// requests that an entry has at the load of a busy day, sixty a second. Callers
	// who are refused come back, so that refusals in a second are more than that.
	logBudget     = 240
	routineBudget = 120
	// collectAt makes the collector run when the heap has grown by this many
	// percent. Memory is priced by its peak and the live heap is a few
	// megabytes, so that collecting often costs little.
	collectAt = 60
	// memoryShare is the part of the limit above which the collector works
	// harder.
	memoryShare = 0.8
)

// part is one component of a process.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// frame is what an entry and a side have in common.
type frame struct {
	settings Settings
	self     *link.Self
	clock    clockwork.Clock
	logger   *logrus.Logger
	log      trail.Log
	metrics  tally.Scope
	feed     *feed.Feed
	watch    *awake.Watch
	alerts   *alert.Registry

	sink     *trace.Sink
	closer   io.Closer
	expose   http.Handler
	handlers map[link.Purpose]link.Handler
	parts    []part
	started  time.Time
	// read reads the settings anew; latest are those that were read last.
	read   func() (Settings, error)
	mu     sync.Mutex
	latest Settings
	// ready says why the process takes no callers, and drain stops new work.
	ready func() error
	drain func(ctx context.Context) error
	// served is what this process takes the engines to serve.
	served func() []place.Served
	// ends are the answers and attempts that this process has ended itself.
	ends func() []trail.EndCount
}

func newFrame(s Settings, p Platform, out io.Writer) (*frame, error) {
	debug.SetGCPercent(collectAt)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	}
	f := &frame{settings: s, latest: s, read: p.Settings, clock: clockwork.NewRealClock(), ready: func() error { return nil }, served: func() []place.Served { return nil }, ends: func() []trail.EndCount { return nil }}
	f.started = f.clock.Now()
	f.self = &link.Self{VM: s.VM, Boot: uuid.NewString()}
	f.metrics, f.expose, f.closer = admin.NewMetrics()
	f.sink = &trace.Sink{Out: out, Buffer: logLines, Metrics: f.metrics}
	logger, err := trace.NewLogger(f.sink, logrus.InfoLevel.String())
	if err != nil {
		return nil, err
	}
	f.logger = logger
	f.log = &trace.Log{Process: s.Node, Clock: f.clock, Logger: logger, Routine: direct.Routine, Budget: &trace.Budget{PerSecond: logBudget, RoutinePerSecond: routineBudget, Metrics: f.metrics}}
	f.watch = &awake.Watch{Clock: f.clock, Now: awake.Now, Log: f.log, Metrics: f.metrics}
	wait, told := entryWaits(s.Bounds)
	if s.VM.Role == fleet.RoleSide {
		wait, told = sideWait, sideTold
	}
	f.feed = &feed.Feed{
		Self: f.self, Clock: f.clock, Log: f.log, Metrics: f.metrics,
		Store: p.Store, Reader: p.Reader, Awake: awake.Now, RanSince: f.watch.RanSince, Wait: wait,
		Drain: s.Bounds.Drain, Peers: f.peers, Readers: f.seeds,
	}
	if !f.reads() {
		f.feed.Tellers, f.feed.TellWait = f.seeds, told
		if s.VM.Role == fleet.RoleSide {
			f.feed.StoreRest = sideRest
		}
	}
	f.alerts = &alert.Registry{Clock: f.clock, Log: f.log, Metrics: f.metrics}
	f.handlers = map[link.Purpose]link.Handler{link.PurposeConfig: f.feed.Handler(), link.PurposeAlerts: f.alerts.Handler()}
	return f, nil
}

// reads reports whether this process watches the store for others: the entries
// that the settings name to all do. The store's rate does not grow with the number
// of processes, and each call costs.
func (f *frame) reads() bool {
	return len(f.settings.Seeds) == 0 || slices.Contains(f.settings.Seeds, f.settings.Control)
}

// peers are the processes that may know what the store says: the seeds, and
// the sides of all engines.
func (f *frame) peers() []feed.Peer {
	out := f.seeds()
	for _, a := range f.sides() {
		if a != f.settings.VM.Address {
			out = append(out, feed.Peer{Address: a})
		}
	}
	return out
}

// seeds are the entries that the settings name, but for this process.
func (f *frame) seeds() []feed.Peer {
	var out []feed.Peer
	for _, a := range f.current().Seeds {
		if a != f.settings.Control {
			out = append(out, feed.Peer{Address: a})
		}
	}
	return out
}

// sides are the addresses of the sides of all engines.
func (f *frame) sides() []netip.AddrPort {
	var out []netip.AddrPort
	known := f.feed.Current()
	if known.Table == nil {
		return nil
	}
	for _, t := range known.Targets {
		if s, ok := known.Table.ServiceByName(t.Service); ok && s.Engine != nil {
			out = append(out, netip.AddrPortFrom(t.Address.Addr(), f.settings.SidePort))
		}
	}
	return out
}

// listen opens a listener; the error names the setting.
func listen(what string, addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	return l, fault.At("listen for "+what, addr.String(), err)
}

// run runs the parts until ctx ends, then drains within the grace period.
func (f *frame) run(ctx context.Context, peers []net.Listener, api []net.Listener) error {
	sinkCtx, stopSink := context.WithCancel(context.Background())
	var sink errgroup.Group
	sink.Go(func() error { return f.sink.Run(sinkCtx) })
	f.logger.WithFields(logrus.Fields{
		"vm": f.settings.Node, "address": f.settings.VM.Name, "role": f.settings.VM.Role, "zone": f.settings.VM.Zone,
		"boot": f.self.Boot, "pid": os.Getpid(),
	}).Info("started")
	err := f.runParts(ctx, peers, api)
	f.logger.WithField("vm", f.settings.Node).WithField("reason", reasonOf(err)).Info("stopped")
	stopSink()
	return errors.CombineErrors(err, errors.CombineErrors(f.flushed(&sink), f.closer.Close()))
}

// flushWait bounds the wait for the last lines at the end: an output that nobody
// reads would keep a process that has drained until it is killed.
const flushWait = killReserve / 2

// flushed waits for the last lines to be written.
func (f *frame) flushed(sink *errgroup.Group) error {
	done := make(chan error, 1)
	go func() { done <- sink.Wait() }()
	select {
	case err := <-done:
		return err
	case <-f.clock.After(flushWait):
		return nil
	}
}

func reasonOf(err error) string {
	if err == nil {
		return "asked to stop"
	}
	return err.Error()
}

func (f *frame) runParts(ctx context.Context, peers, api []net.Listener) error {
	partCtx, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	g, partCtx := errgroup.WithContext(partCtx)
	parts := append([]part{{"store feed", f.feed.Run}, {"settings", f.followSettings}, {"gauges", f.gauges}, {"state lines", f.restate}, {"standstills", f.watch.Run}}, f.parts...)
	for _, nl := range peers {
		l := &link.Listener{Self: f.self, Net: nl, Handlers: f.handlers, Rejected: f.rejected}
		parts = append(parts, part{"peers", l.Run})
	}
	for _, nl := range api {
		a := &admin.Server{Listener: nl, Status: f.status, Ready: f.ready, Metrics: f.expose}
		parts = append(parts, part{"administration", a.Run})
	}
	for _, p := range parts {
		g.Go(func() error { return fault.At("run "+p.name, "", p.run(partCtx)) })
	}
	select {
	case <-partCtx.Done():
		return g.Wait()
	case <-ctx.Done():
	}
	f.logger.WithField("vm", f.settings.Node).Info("draining")
	err := f.drainWithin()
	stopParts()
	return errors.CombineErrors(err, g.Wait())
}

// killReserve is how long before the kill a process ends by itself.
const killReserve = 200 * time.Millisecond

func (f *frame) drainWithin() error {
	if f.drain == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.settings.Bounds.Grace-killReserve)
	defer cancel()
	return fault.At("drain within the grace period", "", f.drain(ctx))
}

func (f *frame) rejected(err error) {
	f.metrics.Counter("peers_rejected_total").Inc(1)
	f.logger.WithError(err).Debug("peer rejected")
}

func (f *frame) status() admin.Status {
	vm := f.settings.VM
	s := admin.Status{Process: admin.Process{
		Name: vm.Name, Role: vm.Role, Zone: vm.Zone, Region: vm.Region,
		Boot: f.self.Boot, Started: f.started, Ready: true,
	}}
	if err := f.ready(); err != nil {
		s.Process.Ready, s.Process.Reason = false, err.Error()
	}
	s.Config = admin.Config{Revision: f.self.Revision.Load(), VMs: len(f.feed.Current().Targets)}
	return s
}
